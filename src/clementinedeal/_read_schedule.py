"""Decides which daemons read the platform for the fleet, and when."""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from clementinedeal._hashing import rank
from clementinedeal._model import Instance
from clementinedeal._publication import ROOT_NAME
from clementinedeal._view_actions import ReadPlatform, WatchRoot

READER_COUNT = 8  # readers in the fleet
LIST_NAME = 'instances'  # name under which the list of instances is read
START_JITTER_SECONDS = 3.0
START_RETRY_INTERVAL_SECONDS = 4.0
WATCH_TIMEOUT_SECONDS = 1.0
# Limits the rate of watches that return at once, because the root that they
# return can't be accepted or rejected yet.
MIN_WATCH_INTERVAL_SECONDS = 0.25
# A watch returns only higher versions. Reading the root from time to time
# detects a version that was published twice and a stale replica.
REREAD_INTERVAL_SECONDS = 30.0
READ_TIMEOUT_SECONDS = 5.0  # then another read of the root may be sent
RETRY_INTERVAL_SECONDS = 1.0  # after a failed read of the root
MIN_LIST_INTERVAL_SECONDS = 3.0
MAX_LIST_READS_PER_SECOND = 100.0  # over the whole fleet
MIN_NON_READER_INTERVAL_SECONDS = 2.0
# Over the whole fleet, by non-readers that have no recent evidence.
MAX_NON_READER_READS_PER_SECOND = 200.0


@dataclass(frozen=True, slots=True)
class RootRead:
    """A read or watch of the root.

    ``sent_at`` is in monotonic seconds. A watch waits for a version above
    ``after_version``, which is 0 for a read.
    """

    sent_at: float
    after_version: int


def reader_order(instances: Mapping[str, Instance]) -> list[str]:
    """Return the names of instances by priority as readers.

    The first ``READER_COUNT`` of them that are alive and not leaving are the
    readers. Availability zones alternate, so that the readers are distributed
    over all zones.

    :param instances: the published instances by name.
    """
    zone_counts: dict[str, int] = {}
    sort_keys: list[tuple[int, int, str]] = []
    for position, name in enumerate(rank('platform-readers', instances)):
        zone = instances[name].zone
        sort_keys.append((zone_counts.get(zone, 0), position, name))
        zone_counts[zone] = zone_counts.get(zone, 0) + 1
    return [entry[-1] for entry in sorted(sort_keys)]


class ReadSchedule:
    """Decides when this daemon reads the root and the list of instances.

    A *reader* is one of the few daemons that read the platform for the whole
    fleet; the others get its values from their peers and read only when these
    have no recent evidence. ``list_sent_at`` is when the list of instances was
    last requested, in monotonic seconds.
    """

    def __init__(self, rng: random.Random, now: float) -> None:
        """Create the schedule of a daemon that has just started.

        :param rng: source of randomness for jitter.
        :param now: monotonic seconds.
        """
        self._rng = rng
        self._root_due_at = now + rng.uniform(0, START_JITTER_SECONDS)
        self._root_sent_at: float | None = None
        self._watched_version = 0
        self._reread_due_at = now
        self._list_due_at = now + rng.uniform(0, MIN_LIST_INTERVAL_SECONDS)
        self.list_sent_at = now

    def due_start_reads(self, now: float) -> list[ReadPlatform | WatchRoot]:
        """Return the reads due while no version is in force.

        :param now: monotonic seconds.
        """
        if not self._is_root_due(now):
            return []
        self._watched_version = 0
        self._root_sent_at = now
        return [ReadPlatform(ROOT_NAME)]

    def due_root_reads(
        self,
        now: float,
        after_version: int,
        *,
        is_reader: bool,
        published_count: int,
    ) -> list[ReadPlatform | WatchRoot]:
        """Return the watch or read due while a version is in force.

        :param now: monotonic seconds.
        :param after_version: a watch waits for a version above this one.
        :param is_reader: whether this daemon reads the platform for the
            fleet.
        :param published_count: number of published instances.
        """
        if not self._is_root_due(now):
            return []
        interval = MIN_WATCH_INTERVAL_SECONDS
        if not is_reader:
            interval = max(
                MIN_NON_READER_INTERVAL_SECONDS,
                published_count / MAX_NON_READER_READS_PER_SECOND,
            )
        self._root_due_at = now + self._jitter(interval)
        self._root_sent_at = now
        if now >= self._reread_due_at:
            self._reread_due_at = now + self._jitter(REREAD_INTERVAL_SECONDS)
            self._watched_version = 0
            return [ReadPlatform(ROOT_NAME)]
        self._watched_version = after_version
        return [WatchRoot(after_version, WATCH_TIMEOUT_SECONDS)]

    def due_list_reads(
        self, now: float, published_count: int
    ) -> list[ReadPlatform]:
        """Return the read of the list of instances, if it is due.

        :param now: monotonic seconds.
        :param published_count: number of published instances.
        """
        if now < self._list_due_at:
            return []
        interval = max(
            MIN_LIST_INTERVAL_SECONDS,
            published_count / MAX_LIST_READS_PER_SECOND,
        )
        self._list_due_at = now + self._jitter(interval)
        self.list_sent_at = now
        return [ReadPlatform(LIST_NAME)]

    def on_root(self, now: float, *, started: bool) -> RootRead | None:
        """Note the answer to a read or watch of the root; return the request.

        None is returned if no request is pending.

        :param now: monotonic seconds.
        :param started: whether a version is in force.
        """
        sent_at = self._root_sent_at
        self._root_sent_at = None
        if not started:
            self._root_due_at = now + self._jitter(START_RETRY_INTERVAL_SECONDS)
        return (
            None
            if sent_at is None
            else RootRead(sent_at, self._watched_version)
        )

    def on_root_failure(self, now: float) -> None:
        """Note that the root could not be read.

        :param now: monotonic seconds.
        """
        self._root_sent_at = None
        self._root_due_at = max(
            self._root_due_at, now + self._jitter(RETRY_INTERVAL_SECONDS)
        )

    def on_pause(self) -> None:
        """Discard the pending read after the process was suspended."""
        self._root_sent_at = None

    def _is_root_due(self, now: float) -> bool:
        sent_at = self._root_sent_at
        if sent_at is not None and now - sent_at < READ_TIMEOUT_SECONDS:
            return False
        return now >= self._root_due_at

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.75, 1.25)
