"""Read-only client of the platform's store."""

from dataclasses import replace
from typing import Any

import msgspec
import trio

from clementinedeal._errors import DECODE_ERRORS
from clementinedeal._events import EventLog
from clementinedeal._http import TooLongError
from clementinedeal._pool import ConnPool
from clementinedeal.mesh._contracts import HistoryGoneError, SourceError
from clementinedeal.mesh._types import (
    DeclarationUpdate,
    EvacuationChanges,
    Listing,
    ListingChanges,
    Revision,
    Target,
    TargetUpdate,
    Transfer,
)
from clementinedeal.platform._declaration import (
    UnreadableError,
    decode_declaration,
)
from clementinedeal.platform._items import (
    Changes,
    Item,
    ItemPage,
    StoreRevision,
)
from clementinedeal.platform._orders import (
    CONFIG_KEY,
    ORDERS_PREFIX,
    evacuated_zones,
)
from clementinedeal.platform._registration import decode_target
from clementinedeal.platform._store_call import Answer, StoreCall

_TARGETS_PREFIX = 'servers/'
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_MS_PER_SECOND = 1000

# A page has some 500 items, so that up to 50,000 targets can be listed.
MAX_PAGES = 100


class PlatformStore:
    """Reads declarations and targets from the platform's store.

    Implements ``Platform``. A value that cannot be decoded is logged once for
    each of its revisions and treated as missing.
    """

    def __init__(
        self,
        address: str,
        pool: ConnPool,
        events: EventLog,
        *,
        has_evacuations: bool = False,
    ) -> None:
        """Create a client.

        :param address: ``ip:port`` of the store.
        :param pool: connections.
        :param events: log of values that cannot be decoded.
        :param has_evacuations: whether operators evacuate zones, so that these
            are read with the declaration.
        """
        self._address = address
        self._pool = pool
        self._events = events
        self._has_evacuations = has_evacuations
        self._unreadable_revisions: dict[str, Revision] = {}
        self._newest_era: int | None = None
        self.calls = 0

    async def read(self) -> DeclarationUpdate:
        """Return the newest declaration.

        :raises SourceError: the store gave no answer.
        """
        if self._has_evacuations:
            items, shown_at = await self._read_all({'prefix': ORDERS_PREFIX})
            return self._convert_orders(items, shown_at, is_complete=True)
        answer = await self._get('/-/kv-key', {'key': CONFIG_KEY})
        if answer.status == _NOT_FOUND:
            return DeclarationUpdate(
                revision=_missing_revision(answer), changed=True
            )
        item = _decode(answer, Item)
        return self._convert_declaration(
            item, Revision(answer.era, item.at_rev), answer.receive_seconds
        )

    async def wait(
        self, revision: Revision, seconds: float
    ) -> DeclarationUpdate:
        """Wait for a declaration newer than a revision.

        :param revision: the newest revision known.
        :param seconds: how long the store holds the call.
        :raises SourceError: the store gave no answer.
        """
        prefix = ORDERS_PREFIX if self._has_evacuations else CONFIG_KEY
        events, shown_at, receive_seconds = await self._watch(
            prefix, revision, seconds
        )
        return self._convert_orders(
            events, shown_at, receive_seconds, is_complete=False
        )

    async def list_targets(self, *, may_lag: bool) -> Listing:
        """Return every listed target.

        :param may_lag: accept a cheaper answer that may be seconds old.
        :raises SourceError: the store gave no answer.
        """
        query: dict[str, Any] = {'prefix': _TARGETS_PREFIX}
        if may_lag:
            query['serializable'] = 1
        items, shown_at = await self._read_all(query)
        targets = [self._convert_target(item, shown_at.era) for item in items]
        return Listing(
            revision=shown_at,
            targets={one.name: one for one in targets if one is not None},
        )

    async def wait_changes(
        self, revision: Revision, seconds: float
    ) -> ListingChanges:
        """Wait for changes of any target after a revision.

        :param revision: the newest revision known.
        :param seconds: how long the store holds the call.
        :raises SourceError: the store gave no answer.
        """
        events, shown_at, _ = await self._watch(
            _TARGETS_PREFIX, revision, seconds
        )
        return ListingChanges(
            revision=shown_at,
            targets={
                item.key.removeprefix(_TARGETS_PREFIX): self._convert_target(
                    item, revision.era
                )
                for item in events
            },
        )

    async def read_target(self, name: str) -> TargetUpdate:
        """Return the current entry of one target.

        :param name: the name of the target.
        :raises SourceError: the store gave no answer.
        """
        answer = await self._get('/-/kv-key', {'key': _TARGETS_PREFIX + name})
        if answer.status == _NOT_FOUND:
            return TargetUpdate(
                revision=_missing_revision(answer),
                changed=True,
            )
        item = _decode(answer, Item)
        return TargetUpdate(
            revision=Revision(answer.era, item.at_rev),
            changed=True,
            target=self._convert_target(item, answer.era),
        )

    async def wait_target(
        self,
        name: str,
        revision: Revision,
        seconds: float,
    ) -> TargetUpdate:
        """Wait for a change of one target's entry.

        :param name: the name of the target.
        :param revision: the newest revision known.
        :param seconds: how long the store holds the call.
        :raises SourceError: the store gave no answer.
        """
        key = _TARGETS_PREFIX + name
        events, shown_at, _ = await self._watch(key, revision, seconds)
        own_items = [item for item in events if item.key == key]
        return TargetUpdate(
            revision=shown_at,
            changed=bool(own_items),
            target=self._convert_target(own_items[-1], revision.era)
            if own_items
            else None,
        )

    async def _read_all(
        self, query: dict[str, Any]
    ) -> tuple[list[Item], Revision]:
        """Return the items of all pages, and the revision of the oldest page.

        :param query: the parameters of the first page's query.
        :raises SourceError: the store gave no answer.
        """
        items: list[Item] = []
        revisions: list[Revision] = []
        for _ in range(MAX_PAGES):
            page, shown_at, has_more = await self._read_page(query)
            items.extend(page)
            revisions.append(shown_at)
            if revisions[0].era != shown_at.era:
                raise HistoryGoneError('restored between two pages')
            if not has_more:
                # pages are read one after the other: the first is the oldest
                return items, min(revisions)
            query['after'] = page[-1].key
        raise SourceError(f'more than {MAX_PAGES} pages of {query["prefix"]}')

    async def _read_page(
        self, query: dict[str, Any]
    ) -> tuple[list[Item], Revision, bool]:
        """Return the items of a page, its revision and whether more follow.

        :raises SourceError: the store gave no answer, or no item from which
            to continue.
        """
        answer = await self._get('/-/kv-range', query)
        page = _decode(answer, ItemPage)
        shown_at = Revision(answer.era, page.at_rev)
        items = self._decode_items(page.items, shown_at)
        if page.has_more and not items:
            raise SourceError('a page without a readable item')
        return items, shown_at, page.has_more

    async def _watch(
        self,
        prefix: str,
        revision: Revision,
        seconds: float,
    ) -> tuple[list[Item], Revision, float]:
        """Return the changes after a revision, and up to which revision.

        The third part is how long the answer took to arrive, in seconds.
        """
        answer = await self._get(
            '/-/kv-watch',
            {
                'prefix': prefix,
                'after': revision.number,
                'wait_ms': int(seconds * _MS_PER_SECOND),
            },
            seconds,
        )
        if answer.status == _GONE or answer.era != revision.era:
            raise HistoryGoneError(
                f'{prefix}: no history after revision {revision.number}'
                f' of era {revision.era}, now {answer.era}'
            )
        changes = _decode(answer, Changes)
        shown_at = Revision(answer.era, changes.at_rev)
        events = self._decode_items(changes.events, shown_at)
        return events, shown_at, answer.receive_seconds

    def _decode_items(
        self, encoded: list[msgspec.Raw], revision: Revision
    ) -> list[Item]:
        """Decode items one by one: one that cannot be read hides no other."""
        items = []
        for blob in encoded:
            try:
                items.append(msgspec.json.decode(blob, type=Item))
            except DECODE_ERRORS as exc:
                unnamed = Item(key='', revision=revision.number)
                self._report_unreadable(unnamed, revision.era, exc)
        return items

    async def _get(
        self,
        path: str,
        query: dict[str, Any],
        wait_seconds: float = 0,
    ) -> Answer:
        """Make one call.

        :param path: path of the call, without its query.
        :param query: the parameters of the query.
        :param wait_seconds: how long the store may hold the call.
        :raises SourceError: the call failed or timed out.
        """
        self.calls += 1
        call = StoreCall(self._address, path, query, wait_seconds)
        try:
            answer = await call.run(self._pool)
        except SourceError as exc:
            if isinstance(exc.__cause__, TooLongError):
                self._events.emit(
                    'answer-cut',
                    address=self._address,
                    bytes=exc.__cause__.size,
                    limit=exc.__cause__.limit,
                )
            raise
        self._report_era(answer.era)
        return answer

    def _convert_orders(
        self,
        items: list[Item],
        revision: Revision,
        receive_seconds: float = 0,
        *,
        is_complete: bool,
    ) -> DeclarationUpdate:
        """Convert the items of a read, or the events of a watch.

        :param items: the items, the newest of a key last.
        :param revision: the store's revision that they show.
        :param receive_seconds: how long they took to arrive.
        :param is_complete: whether they are all there are, as in a read.
        """
        update = DeclarationUpdate(revision=revision, changed=is_complete)
        for item in reversed(items):
            if item.key == CONFIG_KEY and not item.deleted:
                update = self._convert_declaration(
                    item, revision, receive_seconds
                )
                break
        zones = evacuated_zones(items)
        if not (zones or is_complete):
            return update
        changes = EvacuationChanges(zones=zones, is_complete=is_complete)
        return replace(update, evacuations=changes)

    def _convert_declaration(
        self, item: Item, revision: Revision, receive_seconds: float
    ) -> DeclarationUpdate:
        started_at = trio.current_time()
        try:
            blob = item.blob()
            declaration = decode_declaration(blob)
        except UnreadableError as exc:
            self._report_unreadable(item, revision.era, exc)
            return DeclarationUpdate(revision=revision, changed=True)
        return DeclarationUpdate(
            revision=revision,
            changed=True,
            declaration=declaration,
            transfer=Transfer(
                size=len(blob),
                receive_seconds=receive_seconds,
                decode_seconds=trio.current_time() - started_at,
            ),
        )

    def _convert_target(self, item: Item, era: int) -> Target | None:
        if item.deleted:
            return None
        name = item.key.removeprefix(_TARGETS_PREFIX)
        try:
            return decode_target(name, item.blob())
        except UnreadableError as exc:
            self._report_unreadable(item, era, exc)
            return None

    def _report_era(self, era: int) -> None:
        """Log that the store was restored from a copy."""
        newest = self._newest_era
        if newest is None or era > newest:
            self._newest_era = era
        if newest is not None and era > newest:
            self._events.emit('platform-restored', era=era, former=newest)

    def _report_unreadable(self, item: Item, era: int, exc: Exception) -> None:
        """Log a value that cannot be decoded, once for each revision."""
        revision = Revision(era, item.revision)
        if self._unreadable_revisions.get(item.key) == revision:
            return
        self._unreadable_revisions[item.key] = revision
        self._events.emit(
            'value-unreadable',
            key=item.key,
            revision=item.revision,
            reason=exc,
        )


def _decode(answer: Answer, kind: type[Any]) -> Any:
    if answer.status != _OK:
        raise SourceError(f'expected status 200, not {answer.status}')
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except DECODE_ERRORS as exc:
        raise SourceError(f'unreadable answer: {exc}') from exc


def _missing_revision(answer: Answer) -> Revision:
    """Return the store's revision from an answer without an item."""
    try:
        shown = msgspec.json.decode(answer.body, type=StoreRevision)
    except DECODE_ERRORS:
        return Revision(answer.era, 0)
    return Revision(answer.era, shown.at_rev)
