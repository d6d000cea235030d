"""Reading and watching the platform; nothing is ever written to it."""

from dataclasses import dataclass
from typing import Protocol

import msgspec
import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import UNREADABLE_ERRORS
from clementinedeal._http import (
    ConnLostError,
    HttpError,
    RequestHead,
)
from clementinedeal._pool import ConnPool

READ_SECONDS = 3.0
# Three reads at once hold 24 MiB of the smallest machine's 200 MB.
MOST_VALUE_BYTES = 8 << 20
_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404


class PlatformError(HttpError):
    """The platform could not be read."""


@dataclass(frozen=True, slots=True)
class PlatformValue:
    """A value and the version at which the platform holds it."""

    version: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's lagging list; state live or leaving."""

    name: str
    state: str


@dataclass(frozen=True, slots=True)
class InstanceList:
    """The platform's list of live and leaving instances."""

    version: int
    instances: tuple[ListedInstance, ...]


class Platform(Protocol):
    """What the system may ask of the platform."""

    async def read(self, name: str) -> PlatformValue | None:
        """Read a value; None if there is none.

        :raises PlatformError: no usable answer.
        """
        ...

    async def watch(
        self,
        name: str,
        after: int,
        seconds: float,
    ) -> PlatformValue | None:
        """Wait for a value newer than a version; None if there was none.

        :raises PlatformError: no usable answer.
        """
        ...

    async def instances(self) -> InstanceList:
        """Read the list of instances.

        :raises PlatformError: no usable answer.
        """
        ...


class HttpPlatform:
    """The platform over HTTP; addresses are tried in turn."""

    def __init__(self, addresses: tuple[str, ...], pool: ConnPool) -> None:
        """Create a reader.

        :param addresses: ``ip:port`` of the platform's replicas.
        :param pool: lends connections.
        """
        self._addresses = addresses
        self._pool = pool
        self._turn = 0
        self.reads = 0

    async def read(self, name: str) -> PlatformValue | None:
        """Read a value; None if there is none."""
        return await self._value(f'/values/{name}', READ_SECONDS)

    async def watch(
        self,
        name: str,
        after: int,
        seconds: float,
    ) -> PlatformValue | None:
        """Wait for a newer value; None if there was none in time."""
        path = f'/values/{name}?after={after}&wait={seconds:g}'
        return await self._value(path, seconds + READ_SECONDS)

    async def instances(self) -> InstanceList:
        """Read the list of instances."""
        found = await self._value('/instances', READ_SECONDS)
        if found is None:
            raise PlatformError('no instance list is published')
        try:
            return msgspec.json.decode(found.blob, type=InstanceList)
        except UNREADABLE_ERRORS as exc:
            raise PlatformError(f'malformed list: {exc}') from exc

    async def _value(self, path: str, seconds: float) -> PlatformValue | None:
        address = self._addresses[self._turn % len(self._addresses)]
        self.reads += 1
        try:
            with trio.fail_after(seconds):
                return await self._get(address, path)
        except (HttpError, ConnLostError, trio.TooSlowError) as exc:
            self._turn += 1
            raise PlatformError(f'{address}{path}: {exc}') from exc

    async def _get(self, address: str, path: str) -> PlatformValue | None:
        conn = await self._pool.acquire(address)
        try:
            found = await self._exchange(conn, address, path)
        except BaseException:
            await conn.aclose()
            raise
        await self._pool.release(address, conn)
        return found

    async def _exchange(
        self,
        conn: ClientConn,
        address: str,
        path: str,
    ) -> PlatformValue | None:
        head = RequestHead('GET', path, ((b'host', address.encode()),))
        await conn.send_whole(head, b'')
        answer = await conn.read_head()
        blob = await conn.read_whole(MOST_VALUE_BYTES)
        if answer.status in {_NOT_MODIFIED, _NOT_FOUND}:
            return None
        if answer.status != _OK:
            raise PlatformError(f'status {answer.status}')
        return PlatformValue(int(answer.header(b'x-version') or 0), blob)
