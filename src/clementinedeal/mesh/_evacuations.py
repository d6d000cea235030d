"""Which availability zones operators have evacuated.

Nothing more may be sent to the targets of such a zone until operators take the
evacuation back. Daemons learn of it from the platform or from each other.
"""

from collections.abc import Callable

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._declarations import RESTORE_SECONDS
from clementinedeal.mesh._types import (
    DeclarationUpdate,
    Evacuations,
    Target,
)


class EvacuationTracker:
    """Holds the evacuated zones as shown at the newest revision.

    Reports may arrive in any order: an older revision never replaces a newer
    one. After the source was restored from a copy, which may lack them, the
    zones evacuated until then stay so until operators had the time to publish
    them again. ``known`` is what the source showed, None before it did.
    Handlers in ``on_change`` are called with the zones evacuated at present.
    """

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Start without evacuated zones.

        :param clock: monotonic time.
        :param events: log of evacuations.
        """
        self._clock = clock
        self._events = events
        self._kept: frozenset[str] = frozenset()
        self._kept_until = float('-inf')
        self.known: Evacuations | None = None
        self.zones: frozenset[str] = frozenset()
        self.on_change: list[Callable[[frozenset[str]], None]] = []

    def includes(self, target: Target | None) -> bool:
        """Whether a target is in an evacuated zone.

        :param target: the target, if any.
        """
        return target is not None and target.zone in self.zones

    def on_update(self, update: DeclarationUpdate) -> None:
        """Apply what the source answered to a read or watch.

        :param update: the answer.
        """
        changes = update.evacuations
        if changes is None:
            self._refresh()
            return
        zones = {name for name, evacuated in changes.zones.items() if evacuated}
        if self.known is not None and not changes.is_complete:
            zones |= self.known.zones - changes.zones.keys()
        self.on_reported(
            Evacuations(revision=update.revision, zones=frozenset(zones))
        )

    def on_reported(self, reported: Evacuations) -> None:
        """Take over what the source showed, unless it is older.

        :param reported: the zones and the revision at which it did.
        """
        known = self.known
        if known is None or reported.revision > known.revision:
            if known and reported.revision.era > known.revision.era:
                self._kept = self.zones
                self._kept_until = self._clock.now() + RESTORE_SECONDS
            self.known = reported
        self._refresh()

    def _refresh(self) -> None:
        """Report which zones are evacuated now, if they have changed."""
        if self.known is None:
            return
        former = self.zones
        self.zones = self.known.zones
        if self._clock.now() < self._kept_until:
            self.zones |= self._kept
        if self.zones == former:
            return
        for zone in sorted(self.zones ^ former):
            self._events.emit(
                'zone-evacuated' if zone in self.zones else 'zone-restored',
                zone=zone,
                era=self.known.revision.era,
                revision=self.known.revision.number,
            )
        for handler in self.on_change:
            handler(self.zones)
