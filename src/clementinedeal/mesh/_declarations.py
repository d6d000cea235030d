"""Follows the published declarations and tracks how recent they are."""

from collections.abc import Callable
from typing import Protocol

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._contracts import DeclarationSource, SourceError
from clementinedeal.mesh._declaration_relay import RelayedDeclaration
from clementinedeal.mesh._declaration_report import DeclarationReport
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._types import (
    DeclarationUpdate,
    Revision,
    Transfer,
)
from clementinedeal.mesh._watch_proof import shown_until

# Length of a watch that only proves that what is known is the newest.
PROOF_WATCH_SECONDS = 0.02
# Length of one watch. A watch without changes confirms that nothing newer was
# published. Watches are short so that a daemon that loses the platform refuses
# keys well before the operators' limit for withdrawn keys.
WATCH_SECONDS = 1.7
# Length of a watch while there is no declaration: nothing can be stale then.
FIRST_WATCH_SECONDS = 5.0
# Pause after a failed call, and after a read that found no declaration.
RETRY_SECONDS = 0.25
# A restored store may have lost a newer declaration. Operators publish it again
# soon; until then an answer proves nothing. Shorter than the time in which keys
# are accepted without a proof, so that a short outage refuses none.
RESTORE_SECONDS = 2.0
# Era of a store that was never restored.
FIRST_ERA = 1
# Subtracted from the operators' limit for withdrawn keys, to allow for
# differences between clocks and for requests in progress.
FRESH_MARGIN_SECONDS = 0.3


class DeclarationPeers(Protocol):
    """Other daemons, which may have a newer declaration."""

    async def fetch(
        self, catalog: Catalog | None, teller: str
    ) -> RelayedDeclaration | None:
        """Return a newer declaration that another daemon has, if any.

        :param catalog: the own declaration, if any.
        :param teller: IP address of the daemon that is known to have one.
        """
        ...


class DeclarationFeed:
    """Holds the newest published declaration.

    Invariant: the version never decreases, so that an older declaration never
    replaces a newer one, not even if the source was restored from a copy and
    shows it as its newest. Handlers in ``on_change`` are called with each new
    catalog, those in ``on_update`` with each answer of the source.
    ``revision`` is the source's revision at which the declaration was last
    shown as the newest.
    """

    def __init__(
        self,
        source: DeclarationSource,
        clock: Clock,
        events: EventLog,
        revoke_seconds: float,
        role: ReadingRole | None = None,
        metrics: DaemonMetrics | None = None,
        peers: DeclarationPeers | None = None,
    ) -> None:
        """Start without a declaration.

        :param source: where declarations are published.
        :param clock: monotonic time.
        :param events: log of changes and outages.
        :param revoke_seconds: time in which a withdrawn key must be refused.
        :param role: whether other daemons read the source for this one; None
            if it always reads by itself.
        :param metrics: gets the time of each step, if there are any.
        :param peers: other daemons that may have a newer declaration; None if
            each is read from the source.
        """
        self._source = source
        self._peers = peers
        self._teller = ''
        self._read_revision: Revision | None = None
        self._call_scope = trio.CancelScope()
        self._called_at = float('-inf')
        self._tells_evacuations = False
        self._clock = clock
        self._report = DeclarationReport(clock, events, metrics)
        self._max_age_seconds = revoke_seconds - FRESH_MARGIN_SECONDS
        self._confirmed_at = float('-inf')
        self._era = FIRST_ERA
        self._settled_at = float('-inf')
        self._source_version: int | None = None
        self._shown_at = float('-inf')
        self._role = role
        self._reported_version = 0
        self._reported_at = float('-inf')
        self._wake = trio.Event()
        if role is not None:
            role.on_change.append(lambda: self._wake.set())
        self.catalog: Catalog | None = None
        self.revision = Revision(0, 0)
        self.on_change: list[Callable[[Catalog], None]] = []
        self.on_update: list[Callable[[DeclarationUpdate], None]] = []

    @property
    def version(self) -> int:
        """Version of the declaration in force, 0 before there is one."""
        return self.catalog.declaration.version if self.catalog else 0

    @property
    def age(self) -> float:
        """Seconds since the declaration was last confirmed as the newest."""
        return self._clock.now() - self._confirmed_at

    def is_fresh(self) -> bool:
        """Whether the declaration is recent enough to accept keys by it."""
        return self.age < self._max_age_seconds

    def is_behind(self) -> bool:
        """Whether another daemon has a newer version in force."""
        return self._reported_version > self.version

    def is_outdated(self) -> bool:
        """Whether another daemon has a newer version that cannot be read.

        The source has lost it, and this daemon never had it.
        """
        return self.is_behind() and self._shown_at > self._reported_at

    async def run(self) -> None:
        """Follow the source until cancelled."""
        while True:
            if await self._wait_until_due():
                self._read_revision = self._known_revision()
            if not self.is_behind() or not await self._take_relayed():
                await self._take_from_source()

    def on_reported(
        self,
        version: int,
        confirmed_at: float,
        teller: str = '',
        revision: Revision | None = None,
    ) -> None:
        """Take over what another daemon knows of the newest declaration.

        :param version: the version that it has in force, 0 if none.
        :param confirmed_at: when that certainly was the newest one, monotonic
            seconds.
        :param teller: IP address of that daemon.
        :param revision: the source's revision at which it was shown last.
        """
        if version > self.version:
            if version > self._reported_version:
                self._reported_version = version
                self._reported_at = self._clock.now()
                self._teller = teller
                self._report.on_noticed(version)
                if self._peers is not None:
                    # others have what the call under way may take long to get
                    self._call_scope.cancel()
            self._wake.set()
        elif version == self.version and self.catalog is not None:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
            if revision is not None:
                self.revision = max(self.revision, revision)

    def _known_revision(self) -> Revision | None:
        """Return from where a watch shows all that is not known here.

        None if only a read of everything does.
        """
        if self.catalog is None or self._tells_evacuations:
            return None
        self._source_version = self.version
        return self.revision

    async def _take_relayed(self) -> bool:
        """Take a newer declaration over from another daemon, if one has it.

        :return: whether there was one.
        """
        if self._peers is None:
            return False
        relayed = await self._peers.fetch(self.catalog, self._teller)
        if relayed is None:
            return False
        if relayed.catalog.declaration.version <= self.version:
            return False
        self._bring_into_force(
            relayed.catalog, relayed.revision, relayed.transfer
        )
        self._read_revision = self._known_revision()
        self._confirmed_at = max(self._confirmed_at, relayed.confirmed_at)
        return True

    async def _take_from_source(self) -> None:
        """Make one call to the source and apply its answer."""
        answer = None
        self._call_scope = trio.CancelScope()
        try:
            with self._call_scope:
                answer = await self._call(self._read_revision)
        except SourceError as exc:
            self._report.on_call_failed(exc, self.age)
            self._read_revision = None
            self._shown_at = float('-inf')
            await trio.sleep(RETRY_SECONDS)
            return
        if answer is None:
            return
        update, shown_at = answer
        self._report.on_call_answered()
        for handler in self.on_update:
            handler(update)
        self._apply(update)
        self._shown_at = shown_at
        self._confirm(shown_at)
        self._read_revision = update.revision
        if self._source_version == self.version:
            self.revision = update.revision
        if not update.revision.number:
            self._read_revision = None
            await trio.sleep(RETRY_SECONDS)

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

    def _is_due(self, role: ReadingRole) -> bool:
        return (
            role.follows_declarations
            or self.catalog is None
            or self.is_behind()
            or self.age >= role.max_declaration_age
        )

    async def _call(
        self, revision: Revision | None
    ) -> tuple[DeclarationUpdate, float]:
        """Make one call to the source.

        :param revision: the newest revision known, None for a first read.
        :return: the answer, and until when it shows all that was published,
            monotonic seconds.
        :raises SourceError: the source gave no answer.
        """
        if revision is None:
            sent_at = self._clock.now()
            return await self._source.read(), sent_at
        if self._role is not None and self._role.has_delegate:
            # a large declaration would fill the slow link of this reader
            pause = self._role.read_interval - self._call_age()
            await trio.sleep(max(0, pause))
        seconds = self._watch_seconds()
        sent_at = self._clock.now()
        self._called_at = sent_at
        update = await self._source.wait(revision, seconds)
        shown_at = shown_until(
            sent_at, self._clock.now(), seconds, is_empty=update.is_empty
        )
        return update, shown_at

    def _call_age(self) -> float:
        """Return the seconds since the last watch began."""
        return self._clock.now() - self._called_at

    def _watch_seconds(self) -> float:
        if self.catalog is None:
            return FIRST_WATCH_SECONDS
        role = self._role
        if role is None:
            return WATCH_SECONDS
        if min(self.age, self._call_age()) >= role.read_interval:
            return PROOF_WATCH_SECONDS
        if role.has_delegate:
            return PROOF_WATCH_SECONDS
        return role.read_interval if role.is_reader else WATCH_SECONDS

    def _apply(self, update: DeclarationUpdate) -> None:
        self._observe_era(update.revision.era)
        self._tells_evacuations |= update.evacuations is not None
        if not update.changed:
            return
        declaration = update.declaration
        self._source_version = declaration.version if declaration else None
        shown_version = self._source_version or 0
        if declaration is None or shown_version <= self.version:
            if shown_version < self.version:
                self._report.on_ignored(
                    shown_version, self.version, update.revision
                )
            return
        catalog = Catalog(declaration)
        self._bring_into_force(catalog, update.revision, update.transfer)

    def _bring_into_force(
        self, catalog: Catalog, revision: Revision, transfer: Transfer
    ) -> None:
        self.catalog = catalog
        self.revision = revision
        self._report.on_in_force(catalog.declaration, revision, transfer)
        for handler in self.on_change:
            handler(catalog)

    def _observe_era(self, era: int) -> None:
        """Distrust the source for a while after it was restored."""
        if era > self._era:
            self._era = era
            self._settled_at = self._clock.now() + RESTORE_SECONDS

    def _confirm(self, shown_at: float) -> None:
        """Record that the source showed the version in force as its newest.

        :param shown_at: until when it showed all, monotonic seconds.
        """
        is_newest = self.catalog and self._source_version == self.version
        if is_newest and shown_at >= self._settled_at:
            self._confirmed_at = max(self._confirmed_at, shown_at)
