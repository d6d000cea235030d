"""Listeners that serve HTTP connections and stop gracefully."""

import math
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from clementinedeal._byte_budget import (
    RETRY_AFTER_SECONDS,
    BudgetSpentError,
    ByteBudget,
)
from clementinedeal._events import EventLog, log
from clementinedeal._http import (
    ConnLostError,
    HttpError,
    HttpLimits,
    RequestHead,
)
from clementinedeal._incoming_request import new_request_id
from clementinedeal._pool import split_address
from clementinedeal._refusals import Refusal
from clementinedeal._server_conn import ServerConn
from clementinedeal._verdict import Reason, Verdict

IDLE_GRACE_SECONDS = 1.0
# A refusal fits the socket's send buffer, so writing it takes longer than this
# only if the client does not read.
LAST_ANSWER_TIMEOUT_SECONDS = 0.2
MAX_BACKLOG_CONNECTIONS = 512
# At the bound, this part of the connections is closed at a time, so that they
# are not sorted for each new one.
CLOSED_SHARE = 0.0625

RequestHandler: TypeAlias = Callable[[ServerConn, RequestHead], Awaitable[None]]

_REASON_BY_STATUS = {
    408: Reason.SLOW_SENDER,
    413: Reason.BODY_TOO_LARGE,
    431: Reason.HEAD_TOO_LARGE,
    503: Reason.MEMORY_FULL,
}


class HttpServer:
    """Listens on one address and serves each connection in a task.

    A fault in the handler ends only the connection on which it occurs.
    ``closed_for_room`` counts the connections closed for newer ones.
    """

    def __init__(
        self,
        address: str,
        handler: RequestHandler,
        limits: HttpLimits,
        events: EventLog,
        budget: ByteBudget | None = None,
        max_connections: float = math.inf,
    ) -> None:
        """Create a server that is not yet listening.

        :param address: ``ip:port``.
        :param handler: answers one request; gets connection and head.
        :param limits: limits on what clients may send.
        :param events: log for refused requests and lost connections.
        :param budget: counts the bodies of requests; unlimited if None.
        :param max_connections: how many may be open.
        """
        self._budget = budget
        self._parse_lock = trio.Lock()
        self._max_connections = max_connections
        self._closing_scopes: dict[ServerConn, trio.CancelScope] = {}
        self._surplus_conns: set[ServerConn] = set()
        self.closed_for_room = 0
        self._address = address
        self._handler = handler
        self._limits = limits
        self._events = events
        self._is_draining = False
        self._conn_scopes: dict[ServerConn, trio.CancelScope] = {}
        self._accept_scope = trio.CancelScope()
        self._all_closed = trio.Event()

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen, and serve until ``stop`` has ended the last connection.

        :param task_status: set as soon as the server listens.
        """
        host, port = split_address(self._address)
        listeners = await trio.open_tcp_listeners(
            port,
            host=host,
            backlog=MAX_BACKLOG_CONNECTIONS,
        )
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self._accept_scope:
                await trio.serve_listeners(
                    self._handle_connection,
                    listeners,
                    handler_nursery=nursery,
                )
            for listener in listeners:
                await listener.aclose()

    async def start(self, nursery: trio.Nursery) -> None:
        """Return once the server listens.

        :param nursery: runs the server.
        """
        await nursery.start(self.run)

    @property
    def busy_connections(self) -> int:
        """Number of connections with a request that is not answered yet."""
        return sum(not conn.is_idle for conn in self._conn_scopes)

    def set_limits(self, limits: HttpLimits) -> None:
        """Apply limits to all connections, open and new.

        :param limits: the limits.
        """
        self._limits = limits
        for conn in self._conn_scopes:
            conn.set_limits(limits)

    def drain(self) -> None:
        """Keep serving, but close every connection after its next answer."""
        self._is_draining = True
        for conn in self._conn_scopes:
            conn.close_after_answer()

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for conn in self._conn_scopes:
            if conn.is_idle:
                conn.idle_scope.cancel()

    async def stop(self, seconds: float = 0) -> None:
        """Accept no new connection and end the open ones.

        Idle connections stay open for ``IDLE_GRACE_SECONDS``, so that a
        request sent before the client learns of the stop is answered.

        :param seconds: time for requests in flight; after it they are
            cancelled and answered with ``Reason.DRAINING``.
        """
        self.drain()
        self._accept_scope.cancel()
        await trio.sleep(IDLE_GRACE_SECONDS)
        self.close_idle()
        self._all_closed = trio.Event()
        if self._conn_scopes:
            with trio.move_on_after(seconds):
                await self._all_closed.wait()
        for scope in tuple(self._conn_scopes.values()):
            scope.cancel()

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        if not self._make_room():
            await trio.aclose_forcefully(stream)
            return
        conn = ServerConn(stream, self._limits, self._budget, self._parse_lock)
        scope = trio.CancelScope()
        self._conn_scopes[conn] = scope
        try:
            with scope:
                await self._serve_or_report_fault(conn)
            if conn in self._surplus_conns:
                await conn.aclose()
                return
            if scope.cancelled_caught and not conn.is_idle:
                await self._refuse_cancelled(conn)
            await self._close_gracefully(conn)
        finally:
            self._forget(conn)

    def _forget(self, conn: ServerConn) -> None:
        self._closing_scopes.pop(conn, None)
        self._surplus_conns.discard(conn)
        self._conn_scopes.pop(conn, None)
        if not self._conn_scopes:
            self._all_closed.set()

    async def _close_gracefully(self, conn: ServerConn) -> None:
        with trio.CancelScope() as scope:
            self._closing_scopes[conn] = scope
            crossed_bytes = await conn.close_gracefully()
            if crossed_bytes:
                self._events.emit(
                    'close-crossed',
                    address=self._address,
                    bytes=crossed_bytes,
                )

    def _make_room(self) -> bool:
        """Close the oldest connections if the bound is reached.

        A connection whose request was read to its end is kept.

        :return: False if there is no room for another connection.
        """
        open_count = len(self._conn_scopes) - len(self._surplus_conns)
        if open_count < self._max_connections:
            return True
        candidates = [
            conn
            for conn in self._conn_scopes
            if conn not in self._surplus_conns
            and (conn in self._closing_scopes or not conn.is_received)
        ]
        candidates.sort(key=lambda conn: conn.state_since)
        count = max(1, int(self._max_connections * CLOSED_SHARE))
        closed_conns = candidates[:count]
        for conn in closed_conns:
            self._surplus_conns.add(conn)
            self._closing_scopes.get(conn, self._conn_scopes[conn]).cancel()
        self.closed_for_room += len(closed_conns)
        self._events.emit(
            'connections-closed',
            address=self._address,
            count=len(closed_conns),
            open=open_count,
        )
        return bool(closed_conns)

    async def _refuse_cancelled(self, conn: ServerConn) -> None:
        """Answer a request that was cancelled at the end of a stop."""
        refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.DRAINING)
        with trio.move_on_after(LAST_ANSWER_TIMEOUT_SECONDS):
            await self._refuse(conn, refusal)

    async def _serve_or_report_fault(self, conn: ServerConn) -> None:
        """Serve a connection; log an unexpected fault and answer it."""
        try:
            await self._serve_connection(conn)
        except Exception:
            log.exception('event=connection-failed address=%s', self._address)
            refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.INTERNAL)
            await self._refuse(conn, refusal)

    async def _serve_connection(self, conn: ServerConn) -> None:
        try:
            is_reusable = True
            while is_reusable:
                is_reusable = await self._serve_next_request(conn)
        except HttpError as exc:
            await self._answer_error(conn, exc)
        except ConnLostError as exc:
            self._events.emit(
                'connection-cut',
                address=self._address,
                reason=exc,
            )
            await conn.aclose()

    async def _serve_next_request(self, conn: ServerConn) -> bool:
        head = await conn.next_request()
        if head is None:
            return False
        if self._is_draining:
            conn.close_after_answer()
        await self._handler(conn, head)
        return conn.prepare_next()

    async def _answer_error(self, conn: ServerConn, exc: HttpError) -> None:
        reason = _REASON_BY_STATUS.get(exc.status, Reason.BAD_REQUEST)
        is_spent = isinstance(exc, BudgetSpentError)
        retry_after = RETRY_AFTER_SECONDS if is_spent else 0
        await self._refuse(conn, Refusal(Verdict.NOT_RUN, reason, retry_after))

    async def _refuse(self, conn: ServerConn, refusal: Refusal) -> None:
        """Send a refusal as the connection's last answer.

        If an answer has begun, the connection is closed instead.
        """
        if conn.head_sent:
            await conn.aclose()
            return
        req_id = new_request_id()
        self._events.emit(
            'request-refused',
            req=req_id,
            reason=refusal.reason.value,
        )
        conn.read_ahead.cancel_all()
        conn.close_after_answer()
        try:
            await conn.respond(
                refusal.status,
                refusal.headers(req_id),
                refusal.body(req_id),
            )
        except ConnLostError:
            await conn.aclose()
