"""Carries out the reads and watches that the fleet view asks for."""

from collections.abc import Iterable
from typing import Any, Protocol

import trio
from result import Ok

from clementinedeal._errors import ClementinedealError
from clementinedeal._events import EventLog
from clementinedeal._platform import (
    Platform,
    PlatformError,
    PlatformInstanceList,
)
from clementinedeal._publication import ROOT_NAME, read_root
from clementinedeal._read_schedule import LIST_NAME
from clementinedeal._timers import Clock
from clementinedeal._view_actions import InstanceList, ReadPlatform, WatchRoot

_LEAVING = 'leaving'


class PlatformListener(Protocol):
    """Hears what the platform answered."""

    def on_platform_root(self, blob: bytes | None, now: float) -> Iterable[Any]:
        """Take a root, or nothing newer."""
        ...

    def on_platform_part(self, blob: bytes, now: float) -> Iterable[Any]:
        """Take a part."""
        ...

    def on_platform_list(
        self, listed: InstanceList, now: float
    ) -> Iterable[Any]:
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
        self._is_available = True
        self._last_root_versions = (0, 0)

    async def start(self, nursery: trio.Nursery) -> None:
        """Allow reads from now on.

        :param nursery: runs them.
        """
        self._nursery = nursery

    def read(self, action: ReadPlatform) -> None:
        """Begin to read a value or the list."""
        if action.name == LIST_NAME:
            self._start_task(self._read_list, LIST_NAME)
        elif action.name == ROOT_NAME:
            self._start_task(self._read_root, ROOT_NAME)
        else:
            self._start_task(self._read_part, action.name)

    def watch(self, action: WatchRoot) -> None:
        """Begin to watch the root."""
        self._start_task(self._watch_root, action)

    def _start_task(self, task: Any, argument: Any) -> None:
        if self._nursery is None:
            raise ClementinedealError('platform reads are not running')
        self._nursery.start_soon(self._run_task, task, argument)

    async def _run_task(self, task: Any, argument: Any) -> None:
        name = argument if isinstance(argument, str) else ROOT_NAME
        try:
            actions = await task(argument)
        except PlatformError as exc:
            self._report_available(False, str(exc))
            actions = self._listener.on_platform_failure(name, self._now())
        else:
            self._report_available(True, '')
        self._performer.perform(actions)

    async def _read_root(self, _name: str) -> Iterable[Any]:
        found = await self._platform.read(ROOT_NAME)
        if found is None:
            raise PlatformError('no root is published')
        self._note_root(found.blob, found.version)
        return self._listener.on_platform_root(found.blob, self._now())

    async def _watch_root(self, action: WatchRoot) -> Iterable[Any]:
        """Watch by the platform's own version of the value held here."""
        version, stored_version = self._last_root_versions
        if version != action.after_version:
            return await self._read_root(ROOT_NAME)
        found = await self._platform.watch(
            ROOT_NAME, stored_version, action.timeout_seconds
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
        names = _to_instance_list(found)
        return self._listener.on_platform_list(names, self._now())

    def _note_root(self, blob: bytes, stored_version: int) -> None:
        root = read_root(blob)
        if isinstance(root, Ok):
            self._last_root_versions = (root.ok_value.version, stored_version)

    def _report_available(self, is_available: bool, reason: str) -> None:
        if is_available != self._is_available:
            self._is_available = is_available
            name = 'platform-back' if is_available else 'platform-lost'
            self._events.emit(name, reason=reason)

    def _now(self) -> float:
        return self._clock.now()


def _to_instance_list(found: PlatformInstanceList) -> InstanceList:
    leaving = frozenset(
        entry.name for entry in found.instances if entry.state == _LEAVING
    )
    every = frozenset(entry.name for entry in found.instances)
    return InstanceList(live=every - leaving, leaving=leaving)
