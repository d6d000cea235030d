"""Chooses the daemons that read the platform for the others.

All daemons choose alike from the listed targets, without talking: two readers
in different availability zones, and more in a large fleet. The others ask them,
and read for themselves only if no reader can tell what they must know in time.
A daemon that is asked although it is no reader becomes one for a while, so that
readers that fall silent are replaced, and daemons whose lists differ agree.
Answers the load of hundreds of daemons that each follow the platform: the
calls of a fleet no longer grow with its size.

A reader on a slow link takes long to receive a large declaration. So it has the
daemon with the fastest link among those that ask it follow the declarations,
too: its delegate.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

from clementinedeal._hashing import Candidates
from clementinedeal._timers import Clock
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._types import Target

# A reader answers this many daemons, so that replies take it little time.
MAX_DAEMONS_PER_READER = 120
MIN_READERS = 2
# Daemons next in rank, which are asked while the readers are silent.
SPARE_READERS = 2
# How many daemons of its zone a daemon passes declarations on to.
RELAY_FANOUT = 3
# A daemon that is asked goes on reading for this long.
ASKED_SECONDS = 2.5
# How often a daemon asks, as a fraction of the shortest limit.
ASK_FRACTION = 1 / 3
# Time kept of a limit for the own read that is due when no reader answers.
OWN_READ_SECONDS = 0.4
# Time kept for the reader's call, the question and the reply.
EXCHANGE_SECONDS = 0.1
# A delegate's link is faster than its reader's by this factor at least.
MIN_DELEGATE_GAIN = 2
_READERS_KEY = 'readers'


class ReadingRole:
    """Whether this daemon is a reader, and whom it asks if not.

    ``host`` is the IP address of this daemon, ``hosts`` are those of all
    daemons with a listed target. ``readers`` are the readers and, behind them,
    spare ones, in the order in which this daemon asks them. ``relays`` are
    daemons of the own availability zone that are asked for a declaration,
    nearest first; the root of the zone's tree has none. Times are in seconds:
    a daemon asks every ``ask_interval``, a reader calls the platform every
    ``read_interval``, and a declaration must be in force everywhere within
    ``declaration_limit``. ``link_mbps`` is the rate of the instance's link in
    Mbit/s, 0 if it is not known.
    What it learns is then never older than ``max_declaration_age`` and
    ``max_target_age``. Handlers in ``on_change`` are called when this daemon
    becomes a reader or delegate, or ceases to be a reader.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        bounds: Bounds,
        clock: Clock,
        link_mbps: float = 0,
    ) -> None:
        """Start as a daemon that knows of no others and reads for itself.

        :param host: IP address of this instance.
        :param zone: its availability zone.
        :param bounds: how soon changes must be noticed.
        :param clock: monotonic time.
        :param link_mbps: rate of the instance's link, 0 if it is not known.
        """
        self._clock = clock
        self.link_mbps = link_mbps
        self._askers: dict[str, tuple[float, float]] = {}
        self._delegated_until = float('-inf')
        self.host = host
        self._zone = zone
        declaration_limit = bounds.config_seconds
        if bounds.evacuate_seconds is not None:
            declaration_limit = min(declaration_limit, bounds.evacuate_seconds)
        self.declaration_limit = declaration_limit
        self.max_declaration_age = declaration_limit - OWN_READ_SECONDS
        self.max_target_age = bounds.drain_seconds - OWN_READ_SECONDS
        limit = min(bounds.drain_seconds, declaration_limit)
        self.ask_interval = ASK_FRACTION * limit
        self.read_interval = (
            limit - OWN_READ_SECONDS - self.ask_interval - EXCHANGE_SECONDS
        )
        self.readers: tuple[str, ...] = ()
        self.relays: tuple[str, ...] = ()
        self.hosts: frozenset[str] = frozenset()
        self._is_chosen = False
        self._asked_until = float('-inf')
        self.on_change: list[Callable[[], None]] = []

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads the platform for others now."""
        return self._is_chosen or self._clock.now() < self._asked_until

    @property
    def follows_declarations(self) -> bool:
        """Whether this daemon is a reader or the delegate of one."""
        return self.is_reader or self._clock.now() < self._delegated_until

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Choose the readers among the daemons beside these targets.

        :param targets: all listed targets.
        """
        was_reader = self.is_reader
        zones = {one.host: one.zone for one in targets if not one.draining}
        self.hosts = frozenset(zones)
        ranked = _rank_hosts(zones)
        zone_hosts = [host for host in ranked if zones[host] == self._zone]
        self.relays = _find_relays(zone_hosts, self.host)
        count = max(MIN_READERS, math.ceil(len(zones) / MAX_DAEMONS_PER_READER))
        order = Candidates(ranked[:count]).rank(self.host)
        order.sort(key=lambda host: zones[host] != self._zone)
        spares = ranked[count : count + SPARE_READERS]
        self.readers = (*order, *spares)
        self._is_chosen = self.host in order
        self._report_change(was_reader=was_reader)

    def on_asked(self, host: str = '', link_mbps: float = 0) -> None:
        """Read for a while, since another daemon relies on this one.

        :param host: IP address of that daemon.
        :param link_mbps: rate of its link, 0 if it is not known.
        """
        was_reader = self.is_reader
        now = self._clock.now()
        self._asked_until = now + ASKED_SECONDS
        self._askers[host] = (link_mbps, now)
        self._report_change(was_reader=was_reader)

    def is_delegate(self, host: str) -> bool:
        """Whether another daemon is the delegate of this reader.

        :param host: IP address of that daemon.
        """
        return bool(host) and host == self._find_delegate()

    @property
    def has_delegate(self) -> bool:
        """Whether another daemon follows the declarations for this reader."""
        return bool(self._find_delegate())

    def _find_delegate(self) -> str:
        """Return the IP address of the delegate, empty if there is none."""
        since = self._clock.now() - ASKED_SECONDS
        self._askers = {
            other: (rate, asked_at)
            for other, (rate, asked_at) in self._askers.items()
            if asked_at >= since
        }
        fastest, rate = max(
            ((other, rate) for other, (rate, _) in self._askers.items()),
            key=lambda one: (one[1], one[0]),
            default=('', 0.0),
        )
        if not self.link_mbps or rate < MIN_DELEGATE_GAIN * self.link_mbps:
            return ''
        return fastest

    def on_delegated(self) -> None:
        """Follow the declarations for a while, as a reader asks."""
        had_part = self.follows_declarations
        self._delegated_until = self._clock.now() + ASKED_SECONDS
        if not had_part:
            self._call_handlers()

    def _report_change(self, *, was_reader: bool) -> None:
        if self.is_reader != was_reader:
            self._call_handlers()

    def _call_handlers(self) -> None:
        for handler in self.on_change:
            handler()


def _find_relays(hosts: Sequence[str], host: str) -> tuple[str, ...]:
    """Return the daemons above one in the tree of its availability zone.

    :param hosts: the daemons of the zone by rank, the root of the tree first.
    :param host: the daemon; one that is not listed is below the last.
    """
    place = hosts.index(host) if host in hosts else len(hosts)
    relays = []
    while place > 0:
        place = (place - 1) // RELAY_FANOUT
        relays.append(hosts[place])
    return tuple(relays)


def _rank_hosts(zones: Mapping[str, str]) -> list[str]:
    """Return hosts by rank as readers; the first are in different zones.

    :param zones: the availability zone of each host.
    """
    ranked = Candidates(zones).rank(_READERS_KEY)
    first_of_zone = {zones[host]: host for host in reversed(ranked)}
    heads = set(first_of_zone.values())
    ranked.sort(key=lambda host: host not in heads)
    return ranked
