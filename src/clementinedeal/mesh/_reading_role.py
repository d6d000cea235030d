"""Chooses the daemons that read the platform for the others.

All daemons choose alike from the listed targets, without talking. Each
availability zone has one reader. The others ask it, and read for themselves
only if no reader can tell what they must know in time. Answers the load of
hundreds of daemons that each follow the platform.
"""

from collections.abc import Callable, Iterable

from clementinedeal._hashing import Candidates
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._types import Target

# How often readers read and the others ask, as a fraction of the shortest
# limit: a fact is at most two intervals old when it is asked for.
INTERVAL_FRACTION = 1 / 3
# Time kept of a limit for the own read that is due when no reader answers.
OWN_READ_SECONDS = 0.4


class ReadingRole:
    """Whether this daemon is a reader, and whom it asks if not.

    ``readers`` are the IP addresses of the readers, in the order in which this
    daemon asks them: that of its own zone first. ``zone_hosts`` are those of
    the daemons in the own zone. ``interval`` is the time between two reads or
    questions, in seconds. Handlers in ``on_change`` are called when this daemon
    becomes a reader or ceases to be one.
    """

    def __init__(self, host: str, zone: str, bounds: Bounds) -> None:
        """Start as a daemon that knows of no others and reads for itself.

        :param host: IP address of this instance.
        :param zone: its availability zone.
        :param bounds: how soon changes must be noticed.
        """
        self._host = host
        self._zone = zone
        limit = min(bounds.drain_seconds, bounds.config_seconds)
        self.interval = INTERVAL_FRACTION * limit
        self.max_declaration_age = bounds.config_seconds - OWN_READ_SECONDS
        self.max_target_age = bounds.drain_seconds - OWN_READ_SECONDS
        self.readers: tuple[str, ...] = ()
        self.zone_hosts: frozenset[str] = frozenset()
        self.on_change: list[Callable[[], None]] = []

    @property
    def is_reader(self) -> bool:
        """Whether other daemons of the zone ask this one."""
        return bool(self.readers) and self.readers[0] == self._host

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Choose the readers among the daemons beside these targets.

        :param targets: all listed targets.
        """
        was_reader = self.is_reader
        hosts_by_zone: dict[str, set[str]] = {}
        for target in targets:
            if not target.draining:
                hosts_by_zone.setdefault(target.zone, set()).add(target.host)
        self.zone_hosts = frozenset(hosts_by_zone.get(self._zone, ()))
        # the other zones follow in a circle, so that none is asked by all
        zones = sorted(hosts_by_zone)
        later_zones = [zone for zone in zones if zone >= self._zone]
        earlier_zones = [zone for zone in zones if zone < self._zone]
        self.readers = tuple(
            Candidates(hosts_by_zone[zone]).heaviest(f'reader:{zone}')
            for zone in later_zones + earlier_zones
        )
        if self.is_reader != was_reader:
            for handler in self.on_change:
                handler()
