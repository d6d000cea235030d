"""A platform in virtual time, with stale replicas, outages and counted reads.

``_platform`` is the stand-in that real daemons read over HTTP; this one serves
the fleet views of daemons that are simulated within one process.
"""

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
    """A watch that has not been answered yet.

    :param replica: index of the replica that answers.
    :param after_version: the version that the watcher has.
    :param expires_at: virtual time in seconds.
    :param callback: called with the newer root, or ``None`` when the watch
        expires.
    """

    replica: int
    after_version: int
    expires_at: float
    callback: WatchCallback


class SimulatedPlatform:
    """Published values on several replicas.

    Parts and the instance list are the same on all replicas; a stale replica
    keeps serving the root that it had when it became stale.

    ``is_up`` is False during an outage, ``reads`` holds the virtual time in
    seconds of each read and watch, ``instance_list`` the published list,
    ``stale_replicas`` indexes of replicas, and ``unreachable_daemons`` the
    instance names of daemons that get no answer.
    """

    def __init__(self, replicas: int = 1) -> None:
        """Create an empty platform.

        :param replicas: number of replicas that answer reads.
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
        """Return whether the platform answers the reads of a daemon.

        :param name: instance name.
        """
        return self.is_up and name not in self.unreachable_daemons

    def publish(self, publication: Publication) -> None:
        """Make a version readable on all replicas that are not stale.

        :param publication: root and parts of the version.
        """
        self._parts.update(publication.parts)
        self._newest_root = publication.root
        self._roots = [
            old if replica in self.stale_replicas else publication.root
            for replica, old in enumerate(self._roots)
        ]
        self._answer_ready_watches()

    def make_stale(self, replica: int) -> None:
        """Let a replica keep its current root from now on.

        :param replica: index, taken modulo the number of replicas.
        """
        self.stale_replicas.add(replica % len(self._roots))

    def bring_up_to_date(self) -> None:
        """Bring all replicas up to date."""
        self.stale_replicas.clear()
        self._roots = [self._newest_root for _ in self._roots]
        self._answer_ready_watches()

    def read(self, name: str, replica: int, now: float) -> object:
        """Return a value, None where it is missing.

        :param name: name of the value.
        :param replica: index, taken modulo the number of replicas.
        :param now: virtual time in seconds.
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
        """Answer as soon as there is a newer root, or when the watch expires.

        :param replica: index, taken modulo the number of replicas.
        :param after_version: the version that the watcher has.
        :param expires_at: end of the watch, virtual time in seconds.
        :param now: virtual time in seconds.
        :param callback: called with the newer root, or ``None`` when the watch
            expires.
        """
        self.reads.append(now)
        index = replica % len(self._roots)
        self._pending_watches.append(
            PendingWatch(index, after_version, expires_at, callback)
        )
        self._answer_ready_watches()

    def expire_watches(self, now: float) -> None:
        """Answer the watches that have expired with ``None``.

        :param now: virtual time in seconds.
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
