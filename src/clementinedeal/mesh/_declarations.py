"""Follows the published declarations and tracks how recent they are."""

from collections.abc import Callable

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._contracts import DeclarationSource, SourceError
from clementinedeal.mesh._declaration_report import DeclarationReport
from clementinedeal.mesh._metrics import DaemonMetrics
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._types import DeclarationUpdate, Revision
from clementinedeal.mesh._watch_proof import shown_until

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


class DeclarationFeed:
    """Holds the newest published declaration.

    Invariant: the version never decreases, so that an older declaration never
    replaces a newer one, not even if the source was restored from a copy and
    shows it as its newest. Handlers in ``on_change`` are called with each new
    catalog, those in ``on_update`` with each answer of the source.
    """

    def __init__(
        self,
        source: DeclarationSource,
        clock: Clock,
        events: EventLog,
        revoke_seconds: float,
        role: ReadingRole | None = None,
        metrics: DaemonMetrics | None = None,
    ) -> None:
        """Start without a declaration.

        :param source: where declarations are published.
        :param clock: monotonic time.
        :param events: log of changes and outages.
        :param revoke_seconds: time in which a withdrawn key must be refused.
        :param role: whether other daemons read the source for this one; None
            if it always reads by itself.
        :param metrics: gets the time of each step, if there are any.
        """
        self._source = source
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
            role.on_change.append(self._check_due)
        self.catalog: Catalog | None = None
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

    def is_outdated(self) -> bool:
        """Whether another daemon has a newer version that cannot be read.

        The source has lost it, and this daemon never had it.
        """
        return (
            self._reported_version > self.version
            and self._shown_at > self._reported_at
        )

    async def run(self) -> None:
        """Follow the source until cancelled."""
        revision: Revision | None = None
        while True:
            if await self._wait_until_due():
                revision = None
            try:
                update, shown_at = await self._call(revision)
            except SourceError as exc:
                self._report.on_call_failed(exc, self.age)
                revision = None
                self._shown_at = float('-inf')
                await trio.sleep(RETRY_SECONDS)
                continue
            self._report.on_call_answered()
            for handler in self.on_update:
                handler(update)
            self._apply(update)
            self._shown_at = shown_at
            self._confirm(shown_at)
            revision = update.revision
            if not revision.number:
                revision = None
                await trio.sleep(RETRY_SECONDS)

    def on_reported(self, version: int, confirmed_at: float) -> None:
        """Take over what another daemon knows of the newest declaration.

        :param version: the version that it has in force, 0 if none.
        :param confirmed_at: when that certainly was the newest one, monotonic
            seconds.
        """
        if version > self.version:
            if version > self._reported_version:
                self._reported_version = version
                self._reported_at = self._clock.now()
                self._report.on_noticed(version)
            self._check_due()
        elif version == self.version and self.catalog is not None:
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
            or self._reported_version > self.version
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
        sent_at = self._clock.now()
        if revision is None:
            return await self._source.read(), sent_at
        seconds = self._watch_seconds()
        update = await self._source.wait(revision, seconds)
        shown_at = shown_until(
            sent_at, self._clock.now(), seconds, is_empty=update.is_empty
        )
        return update, shown_at

    def _watch_seconds(self) -> float:
        if self.catalog is None:
            return FIRST_WATCH_SECONDS
        role = self._role
        is_reader = role is not None and role.is_reader
        return role.read_interval if role and is_reader else WATCH_SECONDS

    def _apply(self, update: DeclarationUpdate) -> None:
        self._observe_era(update.revision.era)
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
        started_at = self._clock.now()
        self.catalog = Catalog(declaration)
        self._report.on_in_force(
            declaration,
            update.revision,
            update.transfer,
            self._clock.now() - started_at,
        )
        for handler in self.on_change:
            handler(self.catalog)

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
