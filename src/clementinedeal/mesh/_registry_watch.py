"""A reader's copy of the target registry, as recent as its last call."""

from collections.abc import Callable

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._contracts import Registry, SourceError
from clementinedeal.mesh._reading_role import ReadingRole
from clementinedeal.mesh._types import (
    Listing,
    ListingChanges,
    Revision,
    Target,
)
from clementinedeal.mesh._watch_proof import shown_until


class RegistryWatch:
    """Follows all targets while this daemon is a reader.

    Each call returns the changes since the one before, so that heartbeats of
    many targets cost one call. ``era`` is the registry's era that the list is
    from. Handlers in ``on_change`` are called with the
    IP addresses whose target appeared, left or changed its state.
    """

    def __init__(
        self,
        registry: Registry,
        role: ReadingRole,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create a watch that knows no targets.

        :param registry: lists the targets.
        :param role: whether this daemon is a reader.
        :param clock: monotonic time that goes on during a suspension.
        :param events: log of changes of the role and of outages.
        """
        self._registry = registry
        self._role = role
        self._clock = clock
        self._events = events
        self._revision: Revision | None = None
        self.era = 0
        self._targets: dict[str, Target] = {}
        self._confirmed_at = float('-inf')
        self._is_reachable = True
        self._role_changed = trio.Event()
        role.on_change.append(self._on_role_change)
        self.on_change: list[Callable[[set[str]], None]] = []
        self.on_confirmed: list[Callable[[], None]] = []

    @property
    def age(self) -> float:
        """Seconds since the registry showed these targets."""
        return self._clock.now() - self._confirmed_at

    def find_target(self, address: str) -> Target | None:
        """Return the newest process listed at an address.

        :param address: ``ip:port``.
        """
        listed = [
            one for one in self._targets.values() if one.address == address
        ]
        return max(listed, key=lambda one: one.started_ms, default=None)

    async def run(self) -> None:
        """Follow the registry while this daemon is a reader."""
        was_reader = False
        while True:
            if self._role.is_reader != was_reader:
                was_reader = self._role.is_reader
                self._events.emit('reading-role', reader=was_reader)
                # changes since an earlier watch may be forgotten
                self._revision = None
            called_at = self._clock.now()
            if self._role.is_reader:
                await self._read_changes()
            elapsed = self._clock.now() - called_at
            self._role_changed = trio.Event()
            with trio.move_on_after(max(0, self._role.read_interval - elapsed)):
                await self._role_changed.wait()

    def _on_role_change(self) -> None:
        self._role_changed.set()

    async def _read_changes(self) -> None:
        """Make one call and apply its answer."""
        try:
            changed, shown_at = await self._call()
        except SourceError as exc:
            self._revision = None
            if self._is_reachable:
                self._is_reachable = False
                self._events.emit('platform-lost', part='registry', reason=exc)
            return
        if not self._is_reachable:
            self._is_reachable = True
            self._events.emit('platform-back', part='registry')
        self._confirmed_at = max(self._confirmed_at, shown_at)
        for confirmed_handler in self.on_confirmed:
            confirmed_handler()
        if changed:
            for change_handler in self.on_change:
                change_handler(changed)

    async def _call(self) -> tuple[set[str], float]:
        """Make one call to the registry.

        :return: the IP addresses where something has changed, and until when
            the answer shows all changes, monotonic seconds.
        :raises SourceError: the registry gave no answer.
        """
        sent_at = self._clock.now()
        if self._revision is None:
            return self._take_listing(
                await self._registry.list_targets(may_lag=False)
            ), sent_at
        seconds = self._role.read_interval
        changes = await self._registry.wait_changes(self._revision, seconds)
        shown_at = shown_until(
            sent_at, self._clock.now(), seconds, is_empty=not changes.targets
        )
        return self._take_changes(changes), shown_at

    def _take_listing(self, listing: Listing) -> set[str]:
        """Replace the targets; return the IP addresses with a change."""
        former = self._targets
        self._targets = dict(listing.targets)
        self._revision = listing.revision
        self.era = listing.revision.era
        return {
            one.host
            for one in (*former.values(), *self._targets.values())
            if former.get(one.name) != self._targets.get(one.name)
        }

    def _take_changes(self, changes: ListingChanges) -> set[str]:
        """Apply changes; return the IP addresses with a change."""
        self._revision = changes.revision
        hosts: set[str] = set()
        for name, target in changes.targets.items():
            former = self._targets.pop(name, None)
            if target is not None:
                self._targets[name] = target
            if former != target:
                hosts.update(
                    one.host for one in (former, target) if one is not None
                )
        return hosts
