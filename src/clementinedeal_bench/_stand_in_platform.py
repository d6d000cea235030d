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

Reply = Callable[[bytes | InstanceList | None], None]


@dataclass(slots=True)
class Waiting:
    """A watch that was not answered yet."""

    replica: int
    after: int
    until: float
    reply: Reply


class StandInPlatform:
    """Values by replica; a stale replica keeps serving its last root."""

    def __init__(self, replicas: int = 1) -> None:
        """Create an empty platform.

        :param replicas: how many copies answer reads.
        """
        self.is_up = True
        self.reads: list[float] = []
        self.listed = InstanceList(frozenset(), frozenset())
        self._newest: bytes | None = None
        self._roots: list[bytes | None] = [None for _ in range(replicas)]
        self.frozen: set[int] = set()
        self.cut_off: set[str] = set()
        self._parts: dict[str, bytes] = {}
        self._waiting: list[Waiting] = []

    def is_reached(self, name: str) -> bool:
        """Return whether reads by a daemon are answered.

        :param name: instance name.
        """
        return self.is_up and name not in self.cut_off

    def publish(self, publication: Publication) -> None:
        """Make a version readable at all replicas that are not stale.

        :param publication: its values.
        """
        self._parts.update(publication.parts)
        self._newest = publication.root
        self._roots = [
            old if replica in self.frozen else publication.root
            for replica, old in enumerate(self._roots)
        ]
        self._wake()

    def freeze(self, replica: int) -> None:
        """Let a replica fall behind from now on.

        :param replica: which one.
        """
        self.frozen.add(replica % len(self._roots))

    def thaw(self) -> None:
        """Bring all replicas up to date."""
        self.frozen.clear()
        self._roots = [self._newest for _ in self._roots]
        self._wake()

    def read(self, name: str, replica: int, now: float) -> object:
        """Return a value, nothing where it is missing.

        :param name: its name.
        :param replica: which copy answers.
        :param now: virtual seconds.
        """
        self.reads.append(now)
        if name == LIST_NAME:
            return self.listed
        if name == ROOT_NAME:
            return self._roots[replica % len(self._roots)]
        return self._parts.get(name.removeprefix(PART_PREFIX))

    def watch(
        self,
        replica: int,
        after: int,
        until: float,
        now: float,
        reply: Reply,
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
        self._waiting.append(Waiting(index, after, until, reply))
        self._wake()

    def expire(self, now: float) -> None:
        """Answer the watches whose time is over.

        :param now: virtual seconds.
        """
        over = [watch for watch in self._waiting if watch.until <= now]
        self._waiting = [watch for watch in self._waiting if watch.until > now]
        for watch in over:
            watch.reply(None)

    def _wake(self) -> None:
        ready = list(filter(self._is_ready, self._waiting))
        self._waiting = [
            watch for watch in self._waiting if not self._is_ready(watch)
        ]
        for watch in ready:
            watch.reply(self._roots[watch.replica])

    def _is_ready(self, watch: Waiting) -> bool:
        return _version(self._roots[watch.replica]) > watch.after


def _version(blob: bytes | None) -> int:
    return 0 if blob is None else read_root(blob).unwrap().version
