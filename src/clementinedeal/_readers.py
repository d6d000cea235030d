"""Which instances read the platform for the fleet, and when."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from clementinedeal._hashing import rank
from clementinedeal._model import Instance
from clementinedeal._publication import ROOT_NAME
from clementinedeal._view_actions import ReadPlatform, WatchRoot

READERS = 8
LIST_NAME = 'instances'
START_JITTER_SECONDS = 3.0
START_RETRY_SECONDS = 4.0
WATCH_SECONDS = 1.0
MIN_WATCH_SECONDS = 0.25  # where the root shown can't be settled yet
REREAD_SECONDS = 30.0  # shows a version published twice, or a stale replica
READ_TIMEOUT_SECONDS = 5.0
RETRY_SECONDS = 1.0
MIN_LIST_SECONDS = 3.0
LIST_READS_PER_SECOND = 100.0  # over the whole fleet
MIN_LONE_SECONDS = 2.0
LONE_READS_PER_SECOND = 200.0  # over the whole fleet, by daemons cut off


@dataclass(frozen=True, slots=True)
class RootRead:
    """A read of the root: when it was sent, and above which version."""

    sent_at: float
    after: int


def reader_order(instances: Mapping[str, Instance]) -> list[str]:
    """Order instances by how early they are to read, zones taking turns.

    :param instances: the published instances.
    """
    turns: dict[str, int] = {}
    placed: list[tuple[int, int, str]] = []
    for place, name in enumerate(rank('platform-readers', instances)):
        zone = instances[name].zone
        placed.append((turns.get(zone, 0), place, name))
        turns[zone] = turns.get(zone, 0) + 1
    return [entry[-1] for entry in sorted(placed)]


class ReadSchedule:
    """Decides when this daemon reads the root and the list of instances."""

    def __init__(self, rng: random.Random, now: float) -> None:
        """Create the schedule of a daemon that has just started.

        :param rng: source of jitter.
        :param now: monotonic seconds.
        """
        self._rng = rng
        self._root_due = now + rng.uniform(0, START_JITTER_SECONDS)
        self._root_sent: float | None = None
        self._watched = 0
        self._reread_due = now
        self._list_due = now + rng.uniform(0, MIN_LIST_SECONDS)
        self.list_sent = now

    def start(self, now: float) -> list[ReadPlatform | WatchRoot]:
        """Return the reads due while no version is in force.

        :param now: monotonic seconds.
        """
        if not self._is_due(now):
            return []
        self._watched = 0
        self._root_sent = now
        return [ReadPlatform(ROOT_NAME)]

    def watch(
        self,
        now: float,
        after: int,
        *,
        is_reader: bool,
        published: int,
    ) -> list[ReadPlatform | WatchRoot]:
        """Return the watch or read due while a version is in force.

        :param now: monotonic seconds.
        :param after: the version that needn't be reported.
        :param is_reader: whether the fleet relies on this daemon.
        :param published: number of published instances.
        """
        if not self._is_due(now):
            return []
        gap = MIN_WATCH_SECONDS
        if not is_reader:
            gap = max(MIN_LONE_SECONDS, published / LONE_READS_PER_SECOND)
        self._root_due = now + self._jitter(gap)
        self._root_sent = now
        if now >= self._reread_due:
            self._reread_due = now + self._jitter(REREAD_SECONDS)
            self._watched = 0
            return [ReadPlatform(ROOT_NAME)]
        self._watched = after
        return [WatchRoot(after, WATCH_SECONDS)]

    def list_reads(self, now: float, published: int) -> list[ReadPlatform]:
        """Return the reading of the instance list, when it is due.

        :param now: monotonic seconds.
        :param published: number of published instances.
        """
        if now < self._list_due:
            return []
        gap = max(MIN_LIST_SECONDS, published / LIST_READS_PER_SECOND)
        self._list_due = now + self._jitter(gap)
        self.list_sent = now
        return [ReadPlatform(LIST_NAME)]

    def on_root(self, now: float, *, started: bool) -> RootRead | None:
        """Note that the root was answered; return what was asked.

        :param now: monotonic seconds.
        :param started: whether a version is in force.
        """
        sent = self._root_sent
        self._root_sent = None
        if not started:
            self._root_due = now + self._jitter(START_RETRY_SECONDS)
        return None if sent is None else RootRead(sent, self._watched)

    def on_root_failure(self, now: float) -> None:
        """Note that the root could not be read.

        :param now: monotonic seconds.
        """
        self._root_sent = None
        self._root_due = max(self._root_due, now + self._jitter(RETRY_SECONDS))

    def drop(self) -> None:
        """Forget reads under way, after a pause."""
        self._root_sent = None

    def _is_due(self, now: float) -> bool:
        sent = self._root_sent
        if sent is not None and now - sent < READ_TIMEOUT_SECONDS:
            return False
        return now >= self._root_due

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.75, 1.25)
