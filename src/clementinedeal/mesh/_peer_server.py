"""Runs the attempts that other daemons send."""

import msgspec
import trio

from clementinedeal._errors import UNREADABLE_ERRORS
from clementinedeal._events import EventLog
from clementinedeal._http import (
    CONTENT_LENGTH,
    ConnLostError,
    RequestHead,
    end_to_end,
)
from clementinedeal._incoming_request import strip_internal_headers
from clementinedeal._server_conn import ServerConn
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh._executions import Execution
from clementinedeal.mesh._origin import Message
from clementinedeal.mesh._outcomes import (
    MeshAttempt,
    MeshOutcome,
    encode_outcome_header,
    not_run,
)
from clementinedeal.mesh._owner import MeshOwner

# Outcomes that come sooner need no confirmation before them.
AT_ONCE_SECONDS = 0.03
_REFUSED_STATUS = 503
_FORBIDDEN = 403


class PeerServer:
    """Runs attempts that other daemons send."""

    def __init__(
        self,
        owner: MeshOwner,
        events: EventLog,
        nursery: trio.Nursery,
    ) -> None:
        """Create a server.

        :param owner: runs the attempts.
        :param events: hears of strangers.
        :param nursery: outlives connections.
        """
        self._owner = owner
        self._events = events
        self._nursery = nursery

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request of another daemon.

        :param conn: the connection.
        :param head: the request's head.
        :raises ConnLostError: the connection broke.
        """
        message = await _read_message(conn, head)
        try:
            found = self._find(head, message)
        except UNREADABLE_ERRORS:
            found = None
        if isinstance(found, MeshOutcome):
            await _send(conn, found)
        elif found is None:
            self._events.emit('peer-rejected', path=head.path)
            conn.close_after_answer()
            await conn.respond(_FORBIDDEN, ())
        else:
            await self._await_outcome(conn, found)

    def _find(
        self,
        head: RequestHead,
        message: Message,
    ) -> Execution | MeshOutcome | None:
        """Return what a peer's request is about; None if it is none."""
        run = head.header(wire.RUN_HEADER)
        if run is not None:
            return self._begin(run.decode('latin-1'), message)
        asked = head.header(wire.ASK_HEADER)
        if asked is not None:
            name, age = msgspec.json.decode(asked, type=tuple[str, float])
            return self._recall(name, age)
        reserve = head.header(wire.RESERVE_HEADER)
        sealed = reserve or head.header(wire.ATTEMPT_HEADER)
        if sealed is None:
            return None
        attempt = msgspec.json.decode(sealed, type=MeshAttempt)
        started = self._owner.submit(attempt, None if reserve else message)
        # one that came twice is answered as the first, a forbidden one never
        known = started or self._owner.executions.find(attempt.attempt)
        return known or not_run(Reason.CANCELLED)

    def _begin(self, name: str, message: Message) -> Execution | MeshOutcome:
        """Hand the body to the request that holds a slot for it."""
        known = self._owner.executions.find(name)
        if known is None:
            return not_run(Reason.CANCELLED)
        if known.message is None and not known.done.is_set():
            known.message = message
            known.body_received.set()
        return known

    def _recall(self, name: str, age: float) -> Execution | MeshOutcome:
        known = self._owner.executions.find(name)
        if known is not None:
            return known
        never = self._owner.executions.forbid(name, age)
        return MeshOutcome(
            verdict=Verdict.NOT_RUN if never else Verdict.MAY_HAVE_RUN,
            reason=Reason.CANCELLED,
            reached=not never,
        )

    async def _await_outcome(
        self,
        conn: ServerConn,
        execution: Execution,
    ) -> None:
        execution.reader_count += 1
        settled = execution.done
        if execution.message is None:
            settled = execution.body_wanted
        try:
            await _wait_watched(conn, settled)
            if execution.outcome is None:
                await conn.respond(wire.RESERVED_STATUS, ())
            else:
                await _send(conn, execution.outcome)
        finally:
            execution.reader_count -= 1
            if not settled.is_set():
                self._nursery.start_soon(self._owner.abandon_later, execution)


async def _wait_watched(conn: ServerConn, event: trio.Event) -> None:
    """Wait for an event, confirming the request if it takes a while.

    :raises ConnLostError: the entry left.
    """
    with trio.move_on_after(AT_ONCE_SECONDS):
        await event.wait()
    if event.is_set():
        return
    await conn.send_interim()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_when_left, conn, nursery.cancel_scope)
        await event.wait()
        nursery.cancel_scope.cancel()
    if not event.is_set():
        raise ConnLostError('the entry left')


async def _cancel_when_left(
    conn: ServerConn,
    scope: trio.CancelScope,
) -> None:
    await conn.wait_left()
    scope.cancel()


async def _read_message(conn: ServerConn, head: RequestHead) -> Message:
    body = await conn.read_whole()
    headers = tuple(
        pair
        for pair in strip_internal_headers(end_to_end(head.headers))
        if pair[0] != CONTENT_LENGTH
    )
    return Message(head.method, head.path, headers, body)


async def _send(conn: ServerConn, outcome: MeshOutcome) -> None:
    headers = ((wire.TOLD_HEADER, encode_outcome_header(outcome)),)
    if outcome.verdict is Verdict.RAN:
        kept = tuple(
            pair for pair in outcome.headers if pair[0] != CONTENT_LENGTH
        )
        await conn.respond(outcome.status, (*kept, *headers), outcome.body)
        return
    await conn.respond(_REFUSED_STATUS, headers)
