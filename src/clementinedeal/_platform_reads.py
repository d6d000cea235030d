"""Carries out the reads and watches that the fleet view asks for."""

from collections.abc import Iterable
from typing import Any, Protocol

import trio
from result import Ok

from clementinedeal._errors import ClementinedealError
from clementinedeal._events import EventLog
from clementinedeal._platform import InstanceList, Platform, PlatformError
from clementinedeal._publication import ROOT_NAME, read_root
from clementinedeal._readers import LIST_NAME
from clementinedeal._timers import Clock
from clementinedeal._view_actions import InstanceList as NameSets
from clementinedeal._view_actions import ReadPlatform, WatchRoot

_LEAVING = 'leaving'


class PlatformListener(Protocol):
    """Hears what the platform answered."""

    def on_platform_root(self, blob: bytes | None, now: float) -> Iterable[Any]:
        """Take a root, or nothing newer."""
        ...

    def on_platform_part(self, blob: bytes, now: float) -> Iterable[Any]:
        """Take a part."""
        ...

    def on_platform_list(self, listed: NameSets, now: float) -> Iterable[Any]:
        """Take the instance list."""
        ...

    def on_platform_failure(self, name: str, now: float) -> Iterable[Any]:
        """Take a failure."""
        ...


class Performer(Protocol):
    """Performs actions."""

    def perform(self, actions: Iterable[Any]) -> None:
        """Hand each action to its handler."""
        ...


class PlatformReads:
    """Runs each read as a task and reports its answer."""

    def __init__(
        self,
        platform: Platform,
        listener: PlatformListener,
        performer: Performer,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create without tasks.

        :param platform: is read.
        :param listener: decides what follows.
        :param performer: carries that out.
        :param clock: gives the time of answers.
        :param events: hears when the platform goes and comes back.
        """
        self._platform = platform
        self._listener = listener
        self._performer = performer
        self._clock = clock
        self._events = events
        self._nursery: trio.Nursery | None = None
        self._available = True
        self._root_seen = (0, 0)

    async def start(self, nursery: trio.Nursery) -> None:
        """Allow reads from now on.

        :param nursery: runs them.
        """
        self._nursery = nursery

    def read(self, action: ReadPlatform) -> None:
        """Begin to read a value or the list."""
        if action.name == LIST_NAME:
            self._begin(self._read_list, LIST_NAME)
        elif action.name == ROOT_NAME:
            self._begin(self._read_root, ROOT_NAME)
        else:
            self._begin(self._read_part, action.name)

    def watch(self, action: WatchRoot) -> None:
        """Begin to watch the root."""
        self._begin(self._watch_root, action)

    def _begin(self, task: Any, argument: Any) -> None:
        if self._nursery is None:
            raise ClementinedealError('platform reads are not running')
        self._nursery.start_soon(self._guard, task, argument)

    async def _guard(self, task: Any, argument: Any) -> None:
        name = argument if isinstance(argument, str) else ROOT_NAME
        try:
            actions = await task(argument)
        except PlatformError as exc:
            self._note_available(False, str(exc))
            actions = self._listener.on_platform_failure(name, self._now())
        else:
            self._note_available(True, '')
        self._performer.perform(actions)

    async def _read_root(self, _name: str) -> Iterable[Any]:
        found = await self._platform.read(ROOT_NAME)
        if found is None:
            raise PlatformError('no root is published')
        self._note_root(found.blob, found.version)
        return self._listener.on_platform_root(found.blob, self._now())

    async def _watch_root(self, action: WatchRoot) -> Iterable[Any]:
        """Watch by the platform's own version of the value held here."""
        held, stored = self._root_seen
        if held != action.after_version:
            return await self._read_root(ROOT_NAME)
        found = await self._platform.watch(
            ROOT_NAME, stored, action.timeout_seconds
        )
        if found is None:
            return self._listener.on_platform_root(None, self._now())
        self._note_root(found.blob, found.version)
        return self._listener.on_platform_root(found.blob, self._now())

    async def _read_part(self, name: str) -> Iterable[Any]:
        found = await self._platform.read(name)
        if found is None:
            raise PlatformError(f'{name} is not published')
        return self._listener.on_platform_part(found.blob, self._now())

    async def _read_list(self, _name: str) -> Iterable[Any]:
        found = await self._platform.instances()
        names = _name_sets(found)
        return self._listener.on_platform_list(names, self._now())

    def _note_root(self, blob: bytes, stored: int) -> None:
        root = read_root(blob)
        if isinstance(root, Ok):
            self._root_seen = (root.ok_value.version, stored)

    def _note_available(self, available: bool, reason: str) -> None:
        if available != self._available:
            self._available = available
            name = 'platform-back' if available else 'platform-lost'
            self._events.emit(name, reason=reason)

    def _now(self) -> float:
        return self._clock.now()


def _name_sets(found: InstanceList) -> NameSets:
    leaving = frozenset(
        entry.name for entry in found.instances if entry.state == _LEAVING
    )
    every = frozenset(entry.name for entry in found.instances)
    return NameSets(live=every - leaving, leaving=leaving)
