"""Reads and watches values of the platform; nothing is written to it."""

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
# Three simultaneous reads hold up to 24 MiB; the smallest host has 200 MB.
MAX_RESPONSE_BYTES = 8 << 20
_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404


class PlatformError(HttpError):
    """The platform could not be read."""


@dataclass(frozen=True, slots=True)
class PlatformValue:
    """A value and the version number that the platform assigned to it.

    That number is not the version of the configuration, which the value
    itself holds.
    """

    version: int
    blob: bytes


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """An instance in the platform's list; ``state`` is live or leaving."""

    name: str
    state: str


@dataclass(frozen=True, slots=True)
class PlatformInstanceList:
    """The platform's list of live and leaving instances, which lags."""

    version: int
    instances: tuple[ListedInstance, ...]


class Platform(Protocol):
    """Read access to the platform's values."""

    async def read(self, name: str) -> PlatformValue | None:
        """Read a value; return None if there is none.

        :param name: name of the value.
        :raises PlatformError: the platform gave no usable answer.
        """
        ...

    async def watch(
        self,
        name: str,
        after: int,
        seconds: float,
    ) -> PlatformValue | None:
        """Wait for a newer value; return None if there is none in time.

        :param name: name of the value.
        :param after: the platform's version number of the value held.
        :param seconds: how long to wait.
        :raises PlatformError: the platform gave no usable answer.
        """
        ...

    async def instances(self) -> PlatformInstanceList:
        """Read the list of instances.

        :raises PlatformError: the platform gave no usable answer.
        """
        ...


class HttpPlatform:
    """Reads the platform over HTTP.

    Each read is sent to one replica; after a failure the next one is used.
    ``read_count`` is the number of reads and watches, failed ones included.
    """

    def __init__(self, addresses: tuple[str, ...], pool: ConnPool) -> None:
        """Create a client.

        :param addresses: addresses of the platform's replicas, ``ip:port``.
        :param pool: provides connections.
        """
        self._addresses = addresses
        self._pool = pool
        self._address_index = 0
        self.read_count = 0

    async def read(self, name: str) -> PlatformValue | None:
        """Read a value by name; None if there is none."""
        return await self._read_value(f'/values/{name}', READ_TIMEOUT_SECONDS)

    async def watch(
        self,
        name: str,
        after: int,
        seconds: float,
    ) -> PlatformValue | None:
        """Wait for a newer value; None if there is none within ``seconds``."""
        path = f'/values/{name}?after={after}&wait={seconds:g}'
        return await self._read_value(path, seconds + READ_TIMEOUT_SECONDS)

    async def instances(self) -> PlatformInstanceList:
        """Read the list of instances."""
        value = await self._read_value('/instances', READ_TIMEOUT_SECONDS)
        if value is None:
            raise PlatformError('the platform has no list of instances')
        try:
            return msgspec.json.decode(value.blob, type=PlatformInstanceList)
        except DECODE_ERRORS as exc:
            raise PlatformError(
                f'the list of instances is malformed: {exc}'
            ) from exc

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
            value = await self._exchange(conn, address, path)
        except BaseException:
            await conn.aclose()
            raise
        await self._pool.release(address, conn)
        return value

    async def _exchange(
        self,
        conn: ClientConn,
        address: str,
        path: str,
    ) -> PlatformValue | None:
        head = RequestHead('GET', path, ((b'host', address.encode()),))
        await conn.send_whole(head, b'')
        answer = await conn.read_head()
        blob = bytes(await conn.read_whole(MAX_RESPONSE_BYTES))
        if answer.status in {_NOT_MODIFIED, _NOT_FOUND}:
            return None
        if answer.status != _OK:
            raise PlatformError(
                f'unexpected status {answer.status}, expected {_OK}'
            )
        return PlatformValue(int(answer.header(b'x-version') or 0), blob)
