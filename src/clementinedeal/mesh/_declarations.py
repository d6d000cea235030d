"""Follows the published declarations and tracks how recent they are."""

from collections.abc import Callable

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._contracts import DeclarationSource, SourceError
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._types import DeclarationUpdate

# Length of one watch. A watch without changes confirms that nothing newer was
# published. Watches are short so that a daemon that loses the platform refuses
# keys well before the operators' limit for withdrawn keys.
WATCH_SECONDS = 1.7
# Length of a watch while there is no declaration: nothing can be stale then.
FIRST_WATCH_SECONDS = 5.0
# Pause after a failed call, and after a read that found no declaration.
RETRY_SECONDS = 0.25
# Subtracted from the operators' limit for withdrawn keys, to allow for
# differences between clocks and for requests in progress.
FRESH_MARGIN_SECONDS = 0.3


class DeclarationFeed:
    """Holds the newest published declaration.

    Invariant: the published revision never decreases, so that an older
    declaration never replaces a newer one. Handlers in ``on_change`` are
    called with each new catalog.
    """

    def __init__(
        self,
        source: DeclarationSource,
        clock: Clock,
        events: EventLog,
        revoke_seconds: float,
        role: ReadingRole | None = None,
    ) -> None:
        """Start without a declaration.

        :param source: where declarations are published.
        :param clock: monotonic time.
        :param events: log of changes and outages.
        :param revoke_seconds: time in which a withdrawn key must be refused.
        :param role: whether other daemons read the source for this one; None
            if it always reads by itself.
        """
        self._source = source
        self._clock = clock
        self._events = events
        self._max_age_seconds = revoke_seconds - FRESH_MARGIN_SECONDS
        self._confirmed_at = float('-inf')
        self._published_revision = 0
        self._role = role
        self._reported_revision = 0
        self._wake = trio.Event()
        if role is not None:
            role.on_change.append(self._check_due)
        self._is_reachable = True
        self.catalog: Catalog | None = None
        self.on_change: list[Callable[[Catalog], None]] = []

    @property
    def version(self) -> int:
        """Version of the declaration in force, 0 before there is one."""
        return self.catalog.declaration.version if self.catalog else 0

    @property
    def published_revision(self) -> int:
        """The source's revision of the declaration in force, 0 if none is."""
        return self._published_revision

    @property
    def age(self) -> float:
        """Seconds since the declaration was last confirmed as the newest."""
        return self._clock.now() - self._confirmed_at

    def is_fresh(self) -> bool:
        """Whether the declaration is recent enough to accept keys by it."""
        return self.age < self._max_age_seconds

    async def run(self) -> None:
        """Follow the source until cancelled."""
        revision = 0
        while True:
            if await self._wait_until_due():
                revision = 0
            started_at = self._clock.now()
            try:
                revision = await self._read_or_wait(revision)
            except SourceError as exc:
                self._report_lost(exc)
                revision = 0
                await trio.sleep(RETRY_SECONDS)
            else:
                # an answer shows all that was published before its call
                self._confirmed_at = max(self._confirmed_at, started_at)
                self._report_recovered()

    def on_reported(self, revision: int, confirmed_at: float) -> None:
        """Take over what another daemon knows of the newest declaration.

        :param revision: the newest published revision that it knows.
        :param confirmed_at: when that certainly was the newest one, monotonic
            seconds.
        """
        if revision > self._published_revision:
            self._reported_revision = revision
            self._check_due()
        elif revision == self._published_revision and self.catalog is not None:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    async def _wait_until_due(self) -> bool:
        """Wait until this daemon must read by itself; return if it waited."""
        has_waited = False
        role = self._role
        while role is not None and not self._is_due(role):
            has_waited = True
            self._wake = trio.Event()
            with trio.move_on_after(
                min(role.ask_interval, role.max_declaration_age - self.age)
            ):
                await self._wake.wait()
        return has_waited

    def _check_due(self) -> None:
        self._wake.set()

    def _is_due(self, role: ReadingRole) -> bool:
        return (
            role.is_reader
            or self.catalog is None
            or self._reported_revision > self._published_revision
            or self.age >= role.max_declaration_age
        )

    async def _read_or_wait(self, revision: int) -> int:
        """Make one call to the source and apply its answer.

        :param revision: the newest revision known, 0 for a first read.
        :return: the revision to wait from, 0 to read again.
        """
        if revision:
            sent_at = self._clock.now()
            seconds = self._watch_seconds()
            update = await self._source.wait(revision, seconds)
            if not update.published_revision:
                # a call held for the whole time found nothing up to its end,
                # one answered early only up to its start
                is_complete = self._clock.now() - sent_at >= seconds
                confirmed_at = sent_at + seconds if is_complete else sent_at
                self._confirmed_at = max(self._confirmed_at, confirmed_at)
        else:
            update = await self._source.read()
        self._apply(update)
        if not update.published_revision and not update.revision:
            await trio.sleep(RETRY_SECONDS)
            return 0
        return max(revision, update.revision)

    def _watch_seconds(self) -> float:
        if self.catalog is None:
            return FIRST_WATCH_SECONDS
        role = self._role
        is_reader = role is not None and role.is_reader
        return role.read_interval if role and is_reader else WATCH_SECONDS

    def _apply(self, update: DeclarationUpdate) -> None:
        if update.declaration is None:
            return
        if update.published_revision <= self._published_revision:
            if update.declaration.version != self.version:
                self._events.emit(
                    'config-ignored',
                    version=update.declaration.version,
                    revision=update.published_revision,
                    in_force=self.version,
                    published=self._published_revision,
                )
            return
        self._published_revision = update.published_revision
        self.catalog = Catalog(update.declaration)
        self._events.emit(
            'config-in-force',
            version=update.declaration.version,
            revision=update.published_revision,
            routes=len(update.declaration.routes),
            accounts=len(update.declaration.accounts),
            unknown_kinds=','.join(update.declaration.unknown_kinds),
        )
        for handler in self.on_change:
            handler(self.catalog)

    def _report_lost(self, exc: SourceError) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._events.emit(
                'platform-lost',
                part='declarations',
                reason=exc,
                age=f'{self.age:.2f}',
            )

    def _report_recovered(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            self._events.emit('platform-back', part='declarations')
