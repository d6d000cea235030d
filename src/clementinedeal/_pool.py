"""Small pools of keep-alive client connections, one per address."""

import collections
import math

import trio

from clementinedeal._byte_budget import ByteBudget
from clementinedeal._client_conn import ClientConn
from clementinedeal._http import ConnLostError
from clementinedeal._timers import Clock

MAX_IDLE_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_CONNS = 16  # for each address
# Interval at which unused connections to all addresses are closed, also to
# those that are used no more.
SWEEP_SECONDS = 5.0


def split_address(address: str) -> tuple[str, int]:
    """Split an address into host and port.

    :param address: ``ip:port``; an IPv6 address is in brackets.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


class ConnPool:
    """Keeps idle connections by address and reuses them.

    An acquired connection serves one request at a time.
    """

    def __init__(
        self,
        clock: Clock,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
        budget: ByteBudget | None = None,
    ) -> None:
        """Create an empty pool.

        :param clock: measures how long a connection has been idle.
        :param connect_timeout: time to open a connection, in seconds.
        :param budget: counts the bodies of answers; unlimited if None.
        """
        self._budget = budget
        self._swept_at = clock.now()
        self._connect_timeout = connect_timeout
        self._clock = clock
        self._idle_conns: dict[str, collections.deque[ClientConn]] = {}

    async def acquire(
        self,
        address: str,
        max_idle: float = math.inf,
    ) -> ClientConn:
        """Return an idle connection, or a new one if none is usable.

        :param address: ``ip:port``.
        :param max_idle: how long the connection may have been idle, in
            seconds.
        :raises ConnLostError: no connection could be opened in time.
        """
        idle_conns = self._idle_conns.get(address)
        while idle_conns:
            conn = idle_conns.pop()
            now = self._clock.now()
            conn.idle_seconds = now - conn.idle_since
            is_recent = now < conn.idle_until and conn.idle_seconds <= max_idle
            if is_recent and not conn.is_stale():
                return conn
            await conn.aclose()
        return await self.connect(address)

    async def release(
        self,
        address: str,
        conn: ClientConn,
        max_idle: float = MAX_IDLE_SECONDS,
    ) -> None:
        """Return a connection to the pool.

        It is closed if its last exchange is incomplete or if
        ``MAX_IDLE_CONNS`` connections to the address are idle.

        :param address: the address that it was acquired for.
        :param conn: the connection.
        :param max_idle: how long it may stay idle, in seconds.
        """
        self._sweep()
        idle_conns = self._idle_conns.setdefault(address, collections.deque())
        if len(idle_conns) >= MAX_IDLE_CONNS or not conn.prepare_next():
            await conn.aclose()
            return
        conn.idle_since = self._clock.now()
        conn.idle_until = conn.idle_since + max_idle
        idle_conns.append(conn)

    async def stop(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_conns.values():
            while idle:
                await idle.pop().aclose()

    async def connect(self, address: str) -> ClientConn:
        """Open a new connection.

        :param address: ``ip:port``.
        :raises ConnLostError: no connection could be opened in time.
        """
        host, port = split_address(address)
        try:
            with trio.fail_after(self._connect_timeout):
                stream = await trio.open_tcp_stream(host, port)
        except (OSError, trio.TooSlowError) as exc:
            raise ConnLostError(f'cannot connect to {address}') from exc
        return ClientConn(stream, self._budget)

    def _sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._clock.now()
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        for address, idle_conns in tuple(self._idle_conns.items()):
            for conn in tuple(idle_conns):
                if now >= conn.idle_until:
                    idle_conns.remove(conn)
                    conn.abort()
            if not idle_conns:
                self._idle_conns.pop(address)
