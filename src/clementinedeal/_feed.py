"""Follows the platform's root value and unpacks what it names."""

from collections.abc import Callable

import trio
from result import Err

from clementinedeal._events import EventLog
from clementinedeal._model import Config
from clementinedeal._platform import Platform, PlatformError
from clementinedeal._publication import (
    PART_PREFIX,
    ROOT_NAME,
    Root,
    read_root,
    unpack,
)

RETRY_SECONDS = 0.5


class Feed:
    """Watches the root and hands over each newer whole configuration."""

    def __init__(
        self,
        platform: Platform,
        events: EventLog,
        take: Callable[[Config], None],
    ) -> None:
        """Create a feed.

        :param platform: is watched.
        :param events: hears of rejected versions.
        :param take: is called with each configuration.
        """
        self._platform = platform
        self._events = events
        self._take = take
        self._parts: dict[str, bytes] = {}
        self._version = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        seen = 0
        while True:
            try:
                found = await self._platform.watch(ROOT_NAME, seen)
                if found is not None:
                    seen = found.version
                    await self._follow(found.blob)
            except PlatformError as exc:
                self._events.emit('platform-unavailable', reason=exc)
                await trio.sleep(RETRY_SECONDS)

    async def _follow(self, blob: bytes) -> None:
        root = read_root(blob)
        if isinstance(root, Err):
            self._events.emit('config-rejected', reason=root.err_value)
            return
        if root.ok_value.version <= self._version:
            return
        await self._fetch(root.ok_value)
        cfg = unpack(root.ok_value, self._parts)
        if isinstance(cfg, Err):
            self._events.emit('config-rejected', reason=cfg.err_value)
            return
        self._version = cfg.ok_value.version
        self._take(cfg.ok_value)

    async def _fetch(self, root: Root) -> None:
        for digest in root.digests():
            if digest not in self._parts:
                found = await self._platform.read(f'{PART_PREFIX}{digest}')
                if found is not None:
                    self._parts[digest] = found.blob
