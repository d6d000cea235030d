"""Reading and watching the platform; nothing is ever written to it."""

from dataclasses import dataclass
from typing import Protocol

import msgspec
import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import DECODE_ERRORS
from clementinedeal._http import (
    ConnLostError,
    HttpError,
    RequestHead,
)
from clementinedeal._pool import ConnPool

READ_TIMEOUT_SECONDS = 3.0
# Three reads at once hold 24 MiB of the smallest machine's 200 MB.
MAX_RESPONSE_BYTES = 8 << 20
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
class PlatformInstanceList:
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

    async def instances(self) -> PlatformInstanceList:
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
        self._address_index = 0
        self.read_count = 0

    async def read(self, name: str) -> PlatformValue | None:
        """Read a value; None if there is none."""
        return await self._read_value(f'/values/{name}', READ_TIMEOUT_SECONDS)

    async def watch(
        self,
        name: str,
        after: int,
        seconds: float,
    ) -> PlatformValue | None:
        """Wait for a newer value; None if there was none in time."""
        path = f'/values/{name}?after={after}&wait={seconds:g}'
        return await self._read_value(path, seconds + READ_TIMEOUT_SECONDS)

    async def instances(self) -> PlatformInstanceList:
        """Read the list of instances."""
        found = await self._read_value('/instances', READ_TIMEOUT_SECONDS)
        if found is None:
            raise PlatformError('no instance list is published')
        try:
            return msgspec.json.decode(found.blob, type=PlatformInstanceList)
        except DECODE_ERRORS as exc:
            raise PlatformError(f'malformed list: {exc}') from exc

    async def _read_value(
        self, path: str, timeout_seconds: float
    ) -> PlatformValue | None:
        address = self._addresses[self._address_index % len(self._addresses)]
        self.read_count += 1
        try:
            with trio.fail_after(timeout_seconds):
                return await self._get(address, path)
        except (HttpError, ConnLostError, trio.TooSlowError) as exc:
            self._address_index += 1
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
        blob = await conn.read_whole(MAX_RESPONSE_BYTES)
        if answer.status in {_NOT_MODIFIED, _NOT_FOUND}:
            return None
        if answer.status != _OK:
            raise PlatformError(f'status {answer.status}')
        return PlatformValue(int(answer.header(b'x-version') or 0), blob)
