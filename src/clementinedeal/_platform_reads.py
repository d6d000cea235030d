"""Performs the reads and watches that the fleet view requests."""

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
    """Processes the platform's answers; each method returns actions."""

    def on_platform_root(self, blob: bytes | None, now: float) -> Iterable[Any]:
        """Process a root.

        :param blob: the encoded root, None if a watch found nothing newer.
        :param now: monotonic seconds.
        """
        ...

    def on_platform_part(self, blob: bytes, now: float) -> Iterable[Any]:
        """Process a part.

        :param blob: the encoded part.
        :param now: monotonic seconds.
        """
        ...

    def on_platform_list(
        self, listed: InstanceList, now: float
    ) -> Iterable[Any]:
        """Process the list of instances.

        :param listed: names of live and of leaving instances.
        :param now: monotonic seconds.
        """
        ...

    def on_platform_failure(self, name: str, now: float) -> Iterable[Any]:
        """Process a failed read or watch.

        :param name: name of the value, or ``LIST_NAME``.
        :param now: monotonic seconds.
        """
        ...


class Performer(Protocol):
    """Performs actions."""

    def perform(self, actions: Iterable[Any]) -> None:
        """Pass each action to its handler.

        :param actions: in the order in which they are to be performed.
        """
        ...


class PlatformReads:
    """Runs each read as a task and passes its answer to the listener."""

    def __init__(
        self,
        platform: Platform,
        listener: PlatformListener,
        performer: Performer,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create an object that can't read until ``start``.

        :param platform: the platform to read.
        :param listener: returns the actions that follow from an answer.
        :param performer: performs these actions.
        :param clock: provides the time of each answer.
        :param events: logs when reads begin to fail and to succeed again.
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

        :param nursery: runs the tasks.
        """
        self._nursery = nursery

    def read(self, action: ReadPlatform) -> None:
        """Start reading a value or the list of instances.

        :param action: holds the name of the value or ``LIST_NAME``.
        """
        if action.name == LIST_NAME:
            self._start_task(self._read_list, LIST_NAME)
        elif action.name == ROOT_NAME:
            self._start_task(self._read_root, ROOT_NAME)
        else:
            self._start_task(self._read_part, action.name)

    def watch(self, action: WatchRoot) -> None:
        """Start watching the root.

        :param action: the version held and how long to wait.
        """
        self._start_task(self._watch_root, action)

    def _start_task(self, task: Any, argument: Any) -> None:
        if self._nursery is None:
            raise ClementinedealError(
                'platform read requested before platform reads were started'
            )
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
        value = await self._platform.read(ROOT_NAME)
        if value is None:
            raise PlatformError('the platform has no root')
        self._note_root(value.blob, value.version)
        return self._listener.on_platform_root(value.blob, self._now())

    async def _watch_root(self, action: WatchRoot) -> Iterable[Any]:
        """Wait for a root above the platform's version number of the last one.

        That number is known only for the root that was read last, so the root
        is read instead if the action names another version.
        """
        version, stored_version = self._last_root_versions
        if version != action.after_version:
            return await self._read_root(ROOT_NAME)
        value = await self._platform.watch(
            ROOT_NAME, stored_version, action.timeout_seconds
        )
        if value is None:
            return self._listener.on_platform_root(None, self._now())
        self._note_root(value.blob, value.version)
        return self._listener.on_platform_root(value.blob, self._now())

    async def _read_part(self, name: str) -> Iterable[Any]:
        value = await self._platform.read(name)
        if value is None:
            raise PlatformError(f'the platform has no value {name}')
        return self._listener.on_platform_part(value.blob, self._now())

    async def _read_list(self, _name: str) -> Iterable[Any]:
        listed = await self._platform.instances()
        instance_list = _to_instance_list(listed)
        return self._listener.on_platform_list(instance_list, self._now())

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


def _to_instance_list(listed: PlatformInstanceList) -> InstanceList:
    leaving = frozenset(
        entry.name for entry in listed.instances if entry.state == _LEAVING
    )
    names = frozenset(entry.name for entry in listed.instances)
    return InstanceList(live=names - leaving, leaving=leaving)
