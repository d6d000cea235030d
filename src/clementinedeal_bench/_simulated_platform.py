"""A platform under virtual time: replicas that lag, outages, counted reads."""

from collections.abc import Callable
from dataclasses import dataclass

from clementinedeal._publication import (
    PART_PREFIX,
    ROOT_NAME,
    Publication,
    read_root,
)
from clementinedeal._read_schedule import LIST_NAME
from clementinedeal._view_actions import InstanceList

WatchCallback = Callable[[bytes | InstanceList | None], None]


@dataclass(slots=True)
class PendingWatch:
    """A watch that was not answered yet."""

    replica: int
    after_version: int
    expires_at: float
    callback: WatchCallback


class SimulatedPlatform:
    """Values by replica; a stale replica keeps serving its last root."""

    def __init__(self, replicas: int = 1) -> None:
        """Create an empty platform.

        :param replicas: how many copies answer reads.
        """
        self.is_up = True
        self.reads: list[float] = []
        self.instance_list = InstanceList(frozenset(), frozenset())
        self._newest_root: bytes | None = None
        self._roots: list[bytes | None] = [None for _ in range(replicas)]
        self.stale_replicas: set[int] = set()
        self.unreachable_daemons: set[str] = set()
        self._parts: dict[str, bytes] = {}
        self._pending_watches: list[PendingWatch] = []

    def is_reachable(self, name: str) -> bool:
        """Return whether reads by a daemon are answered.

        :param name: instance name.
        """
        return self.is_up and name not in self.unreachable_daemons

    def publish(self, publication: Publication) -> None:
        """Make a version readable at all replicas that are not stale.

        :param publication: its values.
        """
        self._parts.update(publication.parts)
        self._newest_root = publication.root
        self._roots = [
            old if replica in self.stale_replicas else publication.root
            for replica, old in enumerate(self._roots)
        ]
        self._answer_ready_watches()

    def make_stale(self, replica: int) -> None:
        """Let a replica fall behind from now on.

        :param replica: which one.
        """
        self.stale_replicas.add(replica % len(self._roots))

    def bring_up_to_date(self) -> None:
        """Bring all replicas up to date."""
        self.stale_replicas.clear()
        self._roots = [self._newest_root for _ in self._roots]
        self._answer_ready_watches()

    def read(self, name: str, replica: int, now: float) -> object:
        """Return a value, nothing where it is missing.

        :param name: its name.
        :param replica: which copy answers.
        :param now: virtual seconds.
        """
        self.reads.append(now)
        if name == LIST_NAME:
            return self.instance_list
        if name == ROOT_NAME:
            return self._roots[replica % len(self._roots)]
        return self._parts.get(name.removeprefix(PART_PREFIX))

    def watch(
        self,
        replica: int,
        after_version: int,
        expires_at: float,
        now: float,
        callback: WatchCallback,
    ) -> None:
        """Answer once a root above a version is there, or at the end.

        :param replica: which copy answers.
        :param after: the version that the watcher has.
        :param until: end of the watch in virtual seconds.
        :param now: virtual seconds.
        :param reply: called with the root, or nothing at the end.
        """
        self.reads.append(now)
        index = replica % len(self._roots)
        self._pending_watches.append(
            PendingWatch(index, after_version, expires_at, callback)
        )
        self._answer_ready_watches()

    def expire_watches(self, now: float) -> None:
        """Answer the watches whose time is over.

        :param now: virtual seconds.
        """
        expired = [
            watch for watch in self._pending_watches if watch.expires_at <= now
        ]
        self._pending_watches = [
            watch for watch in self._pending_watches if watch.expires_at > now
        ]
        for watch in expired:
            watch.callback(None)

    def _answer_ready_watches(self) -> None:
        ready = list(filter(self._is_ready, self._pending_watches))
        self._pending_watches = [
            watch
            for watch in self._pending_watches
            if not self._is_ready(watch)
        ]
        for watch in ready:
            watch.callback(self._roots[watch.replica])

    def _is_ready(self, watch: PendingWatch) -> bool:
        return _root_version(self._roots[watch.replica]) > watch.after_version


def _root_version(blob: bytes | None) -> int:
    return 0 if blob is None else read_root(blob).unwrap().version
