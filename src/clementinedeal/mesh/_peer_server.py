"""Serves the attempts that other daemons send to this owner."""

import msgspec
import trio

from clementinedeal._byte_budget import BudgetSpentError
from clementinedeal._errors import DECODE_ERRORS, ProtocolError
from clementinedeal._events import EventLog
from clementinedeal._http import (
    CONTENT_LENGTH,
    ConnLostError,
    RequestHead,
    strip_hop_by_hop_headers,
)
from clementinedeal._incoming_request import strip_internal_headers
from clementinedeal._server_conn import ServerConn
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh._executions import Execution
from clementinedeal.mesh._outcomes import (
    MeshAttempt,
    MeshOutcome,
    encode_outcome_header,
    not_run,
)
from clementinedeal.mesh._owner import MeshOwner
from clementinedeal.mesh._target_client import BufferedRequest

# An attempt that takes longer than this is confirmed to its entry by an
# interim response.
CONFIRM_AFTER_SECONDS = 0.03
_UNAVAILABLE_STATUS = 503
_FORBIDDEN_STATUS = 403


class MeshPeerServer:
    """Handles requests of other daemons to the owner of a target.

    A request starts an attempt, reserves a slot for one, sends the body for
    a reserved slot, or asks for the outcome of an attempt. An attempt does
    not end with its connection: the entry may ask for its outcome later.
    """

    def __init__(
        self,
        owner: MeshOwner,
        events: EventLog,
        nursery: trio.Nursery,
    ) -> None:
        """Create a server.

        :param owner: runs the attempts.
        :param events: log of rejected requests.
        :param nursery: runs tasks that outlive a connection.
        """
        self._owner = owner
        self._events = events
        self._nursery = nursery

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request of another daemon.

        :param conn: the connection.
        :param head: the request's head.
        :raises ConnLostError: the connection was lost.
        """
        request = await self._read_request(conn, head)
        try:
            dispatched = self._dispatch(head, request)
        except DECODE_ERRORS:
            dispatched = None
        if dispatched is None:
            self._events.emit('peer-rejected', path=head.path)
            conn.close_after_answer()
            await conn.respond(_FORBIDDEN_STATUS, ())
            return
        attempt_id, answer = dispatched
        if isinstance(answer, MeshOutcome):
            await _respond(conn, answer, attempt_id)
        else:
            await self._respond_when_settled(conn, answer)

    async def _read_request(
        self, conn: ServerConn, head: RequestHead
    ) -> BufferedRequest | None:
        """Read a request; return None if there is no memory for its body."""
        execution = None
        reserved_id = head.header(wire.RUN_HEADER)
        if reserved_id is not None:
            execution = self._owner.executions.find(
                reserved_id.decode('latin-1')
            )
        if execution is not None:
            execution.is_body_arriving = True
        try:
            return await _read_request(conn, head)
        except BudgetSpentError:
            conn.close_after_answer()
        except ProtocolError:
            if execution is not None:
                execution.body_received.set()
            raise
        return None

    def _dispatch(
        self,
        head: RequestHead,
        request: BufferedRequest | None,
    ) -> tuple[str, Execution | MeshOutcome] | None:
        """Return the id and the attempt or outcome that a request is about.

        :param head: the request's head.
        :param request: the request, None if there was no memory for its body.
        :return: None if the request has none of the headers of daemons.
        """
        reserved = head.header(wire.RUN_HEADER)
        if reserved is not None:
            reserved_id = reserved.decode('latin-1')
            return reserved_id, self._start_reserved(reserved_id, request)
        query = head.header(wire.ASK_HEADER)
        if query is not None:
            attempt_id, age = msgspec.json.decode(query, type=tuple[str, float])
            return attempt_id, self._find_or_forbid(attempt_id, age)
        reserve = head.header(wire.RESERVE_HEADER)
        encoded = reserve or head.header(wire.ATTEMPT_HEADER)
        if encoded is None:
            return None
        attempt = msgspec.json.decode(encoded, type=MeshAttempt)
        if request is None:
            return attempt.attempt, self._refuse_unread(attempt.attempt)
        execution = self._owner.submit(attempt, None if reserve else request)
        # a repeated attempt shares the first one; a forbidden one is refused
        known_execution = execution or self._owner.executions.find(
            attempt.attempt
        )
        return attempt.attempt, known_execution or not_run(Reason.CANCELLED)

    def _refuse_unread(self, attempt_id: str) -> Execution | MeshOutcome:
        """Refuse an attempt whose body was not read; it never starts."""
        known = self._find_or_forbid(attempt_id, 0)
        if isinstance(known, Execution):
            return known
        return not_run(Reason.MEMORY_FULL)

    def _start_reserved(
        self, attempt_id: str, request: BufferedRequest | None
    ) -> Execution | MeshOutcome:
        """Give the body to the attempt that holds a slot for it."""
        execution = self._owner.executions.find(attempt_id)
        if execution is None:
            return not_run(Reason.CANCELLED)
        if execution.request is None and not execution.done.is_set():
            execution.request = request
            execution.body_received.set()
        return execution

    def _find_or_forbid(
        self, attempt_id: str, age: float
    ) -> Execution | MeshOutcome:
        """Return a known attempt; keep an unknown one from ever starting.

        :param attempt_id: the attempt.
        :param age: seconds since it was sent.
        """
        execution = self._owner.executions.find(attempt_id)
        if execution is not None:
            return execution
        never_starts = self._owner.executions.forbid(attempt_id, age)
        return MeshOutcome(
            verdict=Verdict.NOT_RUN if never_starts else Verdict.MAY_HAVE_RUN,
            reason=Reason.CANCELLED,
            reached=not never_starts,
        )

    async def _respond_when_settled(
        self,
        conn: ServerConn,
        execution: Execution,
    ) -> None:
        """Answer with the outcome, or that a slot is held for the attempt.

        If the connection is lost before, the attempt is kept for a while in
        case the entry asks for it.
        """
        execution.reader_count += 1
        settled_event = execution.done
        if not execution.body_received.is_set() and execution.request is None:
            settled_event = execution.body_wanted
        try:
            await _wait_while_connected(conn, settled_event)
            if execution.outcome is None:
                await conn.respond(wire.RESERVED_STATUS, ())
            else:
                await _respond(
                    conn, execution.outcome, execution.attempt.attempt
                )
        finally:
            execution.reader_count -= 1
            if not settled_event.is_set():
                self._nursery.start_soon(self._owner.abandon_later, execution)


async def _wait_while_connected(conn: ServerConn, event: trio.Event) -> None:
    """Wait for an event; confirm the request if that takes a while.

    :raises ConnLostError: the entry closed its connection.
    """
    with trio.move_on_after(CONFIRM_AFTER_SECONDS):
        await event.wait()
    if event.is_set():
        return
    await conn.send_interim()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, conn, nursery.cancel_scope)
        await event.wait()
        nursery.cancel_scope.cancel()
    if not event.is_set():
        raise ConnLostError('the entry closed its connection')


async def _cancel_on_disconnect(
    conn: ServerConn,
    scope: trio.CancelScope,
) -> None:
    await conn.wait_disconnected()
    scope.cancel()


async def _read_request(conn: ServerConn, head: RequestHead) -> BufferedRequest:
    body = await conn.read_whole()
    headers = tuple(
        pair
        for pair in strip_internal_headers(
            strip_hop_by_hop_headers(head.headers)
        )
        if pair[0] != CONTENT_LENGTH
    )
    return BufferedRequest(head.method, head.path, headers, body)


async def _respond(
    conn: ServerConn, outcome: MeshOutcome, attempt_id: str
) -> None:
    told = encode_outcome_header(outcome, attempt_id)
    headers = ((wire.TOLD_HEADER, told),)
    if outcome.verdict is Verdict.RAN:
        kept = tuple(
            pair for pair in outcome.headers if pair[0] != CONTENT_LENGTH
        )
        await conn.respond(outcome.status, (*kept, *headers), outcome.body)
        return
    await conn.respond(_UNAVAILABLE_STATUS, headers)
