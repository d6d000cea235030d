"""Follows the target registry.

The whole list is polled, which is cheap and may lag. The own target, the one on
this instance, is watched, because its owner must act on changes quickly.
"""

from collections.abc import Callable

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._absences import Absences
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._contracts import Registry, SourceError
from clementinedeal.mesh._owner import MeshOwner
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._restores import Restores
from clementinedeal.mesh._types import Listing, Revision, Target

# Minimum time between two reads of the list. A long list is read less often, in
# proportion to its approximate size, so that control traffic stays within its
# limit.
LIST_INTERVAL_SECONDS = 1.0
BYTES_PER_TARGET = 310
MAX_LIST_BYTES_PER_SECOND = 10_000
# The own target's entry changes at each heartbeat. After a change the watch is
# renewed only after a pause, which is much shorter than the time in which a
# leaving target must be noticed.
OWN_WATCH_TIMEOUT_SECONDS = 5.0
OWN_PAUSE_SECONDS = 1.0
# How long a reader's report on a target just found is waited for, before this
# daemon reads for itself.
OWN_REPORT_SECONDS = 0.15
RETRY_SECONDS = 0.25
# Entries expire while the registry is unreachable. Targets that still run are
# registered again within this time after it is back.
REREGISTRATION_SECONDS = 2.3


class TargetFeed:
    """Passes the listed targets to the balancer, the own one to the owner.

    Handlers in ``on_own_found`` are called when the list shows a new process
    at the own address.
    """

    def __init__(
        self,
        registry: Registry,
        balancer: Balancer,
        owner: MeshOwner,
        clock: Clock,
        events: EventLog,
        role: ReadingRole | None = None,
    ) -> None:
        """Create a feed without targets.

        :param registry: lists the targets.
        :param balancer: receives all listed targets.
        :param owner: receives the own target.
        :param clock: monotonic time.
        :param events: log of changes and outages.
        :param role: whether other daemons read the registry for this one;
            None if it always reads by itself.
        """
        self._registry = registry
        self._balancer = balancer
        self._owner = owner
        self._clock = clock
        self._events = events
        self._revision = Revision(0, 0)
        self._restores = Restores(clock)
        self._targets: dict[str, Target] = {}
        # listed ones and those that were until lately
        self._known: dict[str, Target] = {}
        self._absences = Absences(clock)
        self._hosts: frozenset[str] = frozenset()
        self._own: Target | None = None
        self._restored_at = float('-inf')
        self._role = role
        self._reported_at = float('-inf')
        self._is_doubted = False
        self._own_found_at = float('-inf')
        self.on_own_found: list[Callable[[], None]] = []
        self._own_doubted = trio.Event()
        self._is_reachable = True
        self._own_listed = trio.Event()

    @property
    def hosts(self) -> frozenset[str]:
        """IP addresses of the instances with a listed target."""
        return self._hosts

    async def follow_list(self, own_address: str) -> None:
        """Poll the whole list until cancelled.

        :param own_address: ``ip:port`` of the target on this instance.
        """
        while True:
            try:
                listing = await self._registry.list_targets(may_lag=True)
            except SourceError as exc:
                self._report_lost(exc)
                await trio.sleep(RETRY_SECONDS)
                continue
            self._report_restored()
            self._apply_listing(listing, own_address)
            size = len(listing.targets) * BYTES_PER_TARGET
            await trio.sleep(
                max(LIST_INTERVAL_SECONDS, size / MAX_LIST_BYTES_PER_SECOND)
            )

    async def follow_own(self) -> None:
        """Watch the own target's entry until cancelled."""
        while True:
            await self._own_listed.wait()
            own = self._own
            if own is None:
                self._own_listed = trio.Event()
                continue
            if self._is_own_reported() or self._awaits_report():
                self._own_doubted = trio.Event()
                pause = (
                    OWN_REPORT_SECONDS
                    if self._awaits_report()
                    else OWN_PAUSE_SECONDS / 2
                )
                with trio.move_on_after(pause):
                    await self._own_doubted.wait()
                continue
            try:
                await self._watch_own(own)
            except SourceError as exc:
                self._report_lost(exc)
                await trio.sleep(RETRY_SECONDS)

    @property
    def own_state(self) -> str:
        """State of the own target as known here, empty if there is none."""
        return self._own.state if self._own else ''

    def on_own_confirmed(self, state: str, confirmed_at: float) -> None:
        """Record that a reader knows the own target in the same state.

        :param state: the state that it knows.
        :param confirmed_at: when the registry showed it, monotonic seconds.
        """
        if self._own is not None and state == self._own.state:
            self._reported_at = max(self._reported_at, confirmed_at)
            self._set_own(self._own)

    def on_own_reported(
        self, target: Target | None, confirmed_at: float, era: int
    ) -> None:
        """Take over what a reader knows of the own target.

        A process that the reader does not list is looked up before it is given
        up.

        :param target: the newest process listed at the own address, if any.
        :param confirmed_at: when the registry showed it, monotonic seconds.
        :param era: the registry's era in which it did.
        """
        self._observe_era(era)
        if confirmed_at <= self._reported_at or self._is_outdated(target):
            return
        own = self._own
        is_missing = own is not None and (
            target is None or target.started_ms < own.started_ms
        )
        self._is_doubted = is_missing
        if is_missing:
            self._reported_at = float('-inf')
            self._own_doubted.set()
            return
        self._reported_at = confirmed_at
        if target is not None:
            self._set_own(target)

    def _is_own_reported(self) -> bool:
        """Whether a reader knows the own target's entry well enough."""
        role = self._role
        age = self._clock.now() - self._reported_at
        return role is not None and age < role.max_target_age

    def _awaits_report(self) -> bool:
        """Whether a reader will soon tell of a target just found here."""
        role = self._role
        if role is None or not role.readers or self._is_doubted:
            return False
        age = self._clock.now() - self._own_found_at
        return age < OWN_REPORT_SECONDS

    async def _watch_own(self, own: Target) -> None:
        update = await self._registry.read_target(own.name)
        while (
            self._own is not None
            and self._own.name == own.name
            and not self._is_own_reported()
        ):
            self._report_restored()
            self._observe_era(update.revision.era)
            if update.changed:
                await self._update_own(own.name, update.target)
                if update.target is None:
                    return
                await trio.sleep(OWN_PAUSE_SECONDS)
            update = await self._registry.wait_target(
                own.name,
                update.revision,
                OWN_WATCH_TIMEOUT_SECONDS,
            )

    async def _update_own(self, name: str, target: Target | None) -> None:
        if self._is_outdated(target):
            if self._owner.target is not None:
                return
            await trio.sleep(self._restores.lapse_seconds())
            target = (await self._registry.read_target(name)).target
        if target is not None:
            self._set_own(target)
            return
        # the entry may have expired while the registry was unreachable: give a
        # running target time to register again
        wait = self._restored_at + REREGISTRATION_SECONDS - self._clock.now()
        if wait > 0:
            await trio.sleep(wait)
            update = await self._registry.read_target(name)
            if update.target is not None:
                self._set_own(update.target)
                return
        if self._own is not None and self._own.name == name:
            self._targets.pop(name, None)
            self._restores.on_removed(self._own)
            self._set_own(None)

    def _apply_listing(self, listing: Listing, own_address: str) -> None:
        if listing.revision < self._revision:
            return
        self._revision = listing.revision
        self._observe_era(listing.revision.era)
        now = self._clock.now()
        is_restored = self._restores.lapse_seconds() > 0
        targets = {
            name: one.supersede(self._known.get(name), is_restored=is_restored)
            for name, one in listing.targets.items()
        }
        if now < self._restored_at + REREGISTRATION_SECONDS:
            # a missing entry may only have expired: keep the former targets
            targets = {**self._targets, **targets}
        self._targets = targets
        self._known.update(targets)
        for name in self._absences.update(targets, self._known):
            del self._known[name]
        self._hosts = frozenset(one.host for one in targets.values())
        self._balancer.set_targets(targets.values())
        if self._role is not None:
            self._role.set_targets(targets.values())
        self._find_own(listing, own_address)

    def _find_own(self, listing: Listing, own_address: str) -> None:
        """Follow the newest process that is listed at the own address."""
        own = [
            one
            for one in listing.targets.values()
            if one.address == own_address
        ]
        if not own:
            return
        newest = max(own, key=lambda one: one.started_ms)
        if self._own is None or newest.started_ms > self._own.started_ms:
            # the list may lag: the owner accepts requests for this target
            # only once a recent report or an own read confirms it
            self._own = newest
            self._own_found_at = self._clock.now()
            self._is_doubted = False
            self._reported_at = float('-inf')
            self._own_listed.set()
            for handler in self.on_own_found:
                handler()

    def _observe_era(self, era: int) -> None:
        """Expect missing and outdated entries after a restore."""
        if self._restores.observe(era):
            self._restored_at = self._clock.now()

    def _is_outdated(self, target: Target | None) -> bool:
        return self._restores.may_bring_back(target, self._owner.target)

    def _set_own(self, target: Target | None) -> None:
        former = self._owner.target
        if target is not None and former is not None:
            target = target.supersede(
                former if former.name == target.name else None,
                is_restored=self._restores.lapse_seconds() > 0,
            )
        self._own = target
        self._owner.set_target(target)
        if target is not None:
            self._own_listed.set()
        if former != target:
            self._events.emit(
                'own-target',
                target=target.name if target else '',
                draining=target.draining if target else '',
                former=former.name if former else '',
            )

    def _report_lost(self, exc: SourceError) -> None:
        if self._is_reachable:
            self._is_reachable = False
            self._events.emit('platform-lost', part='targets', reason=exc)

    def _report_restored(self) -> None:
        if not self._is_reachable:
            self._is_reachable = True
            self._restored_at = self._clock.now()
            self._events.emit('platform-back', part='targets')
