"""Forwards attempts to other daemons and serves those forwarded here."""

import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._envelope import (
    FORWARD_HEADER,
    OUTCOME_HEADER,
    Forward,
    Keyring,
    Outcome,
)
from clementinedeal._errors import PeerAuthError
from clementinedeal._events import EventLog
from clementinedeal._http import (
    ConnLostError,
    Headers,
    RequestHead,
    strip_hop_by_hop_headers,
)
from clementinedeal._incoming_request import strip_internal_headers
from clementinedeal._model import Instance, Target
from clementinedeal._owner import Owner
from clementinedeal._pool import ConnPool
from clementinedeal._replies import (
    AttemptRefusal,
    AttemptReply,
    Request,
    TargetAnswer,
    buffer_body,
)
from clementinedeal._server_conn import ServerConn
from clementinedeal._target_call import framing_headers, send_request
from clementinedeal._verdict import Reason, Verdict

# Bodies up to this size are buffered, so that they can be sent again.
MAX_REPLAY_BYTES = 65536
_REFUSED_STATUS = 503
_FORBIDDEN = 403


def _request_context(receiver: str, head: RequestHead) -> bytes:
    """Return what a forward's seal also covers: receiver, method and path."""
    return f'{receiver} {head.method} {head.path}'.encode()


@dataclass(frozen=True, slots=True)
class PeerParts:
    """Collaborators of ``PeerClient`` and ``PeerServer``.

    :param keyring: fleet keys that authenticate the daemons to each other.
    :param events: log of this daemon's events.
    :param pool: pool of connections to other daemons.
    :param on_outcome: called with owner, target, the owner's report and the
        seconds spent on the network.
    :param on_unreachable: called with an owner that can't be connected to.
    """

    keyring: Keyring
    events: EventLog
    pool: ConnPool
    on_outcome: Callable[[str, str, Outcome, float], None]
    on_unreachable: Callable[[str], None]


class PeerClient:
    """Sends attempts to owners at other daemons."""

    def __init__(self, parts: PeerParts) -> None:
        """Create a client.

        :param parts: collaborators of the client.
        """
        self._parts = parts

    @contextlib.asynccontextmanager
    async def forward(
        self,
        owner: Instance,
        fwd: Forward,
        req: Request,
    ) -> AsyncIterator[AttemptReply]:
        """Run one attempt at another daemon.

        The body of the reply must be read inside the context.

        :param owner: instance beside the target.
        :param fwd: describes the attempt.
        :param req: the request to send.
        :raises ConnLostError: the connection broke after the first byte, or
            the owner's report is missing or not authentic.
        """
        try:
            conn = await self._parts.pool.acquire(owner.peer)
        except ConnLostError:
            self._parts.on_unreachable(owner.name)
            yield AttemptRefusal(Verdict.NOT_RUN, Reason.NO_TARGET)
            return
        try:
            yield await self._send_forward(conn, owner, fwd, req)
        except BaseException:
            await conn.aclose()
            raise
        await self._parts.pool.release(owner.peer, conn)

    async def _send_forward(
        self,
        conn: ClientConn,
        owner: Instance,
        fwd: Forward,
        req: Request,
    ) -> AttemptReply:
        context = _request_context(owner.name, req.head)
        sealed = self._parts.keyring.seal_header(fwd, context)
        headers = (
            *req.head.headers,
            *framing_headers(req.head, req.body),
            (FORWARD_HEADER, sealed),
        )
        head = RequestHead(req.head.method, req.head.path, headers)
        started = trio.current_time()
        await send_request(conn, head, req.body)
        return await self._read_reply(conn, owner, fwd, started)

    async def _read_reply(
        self,
        conn: ClientConn,
        owner: Instance,
        fwd: Forward,
        started: float,
    ) -> AttemptReply:
        head = await conn.read_head()
        seconds = trio.current_time() - started
        sealed = head.header(OUTCOME_HEADER)
        if sealed is None:
            raise ConnLostError('reply of the owner has no outcome header')
        try:
            outcome = self._parts.keyring.open_outcome(
                sealed,
                fwd.attempt.encode(),
            )
        except PeerAuthError as exc:
            raise ConnLostError('outcome header is not authentic') from exc
        self._parts.events.clock.observe(outcome.hlc)
        self._parts.on_outcome(
            owner.name,
            fwd.target,
            outcome,
            max(0, seconds - outcome.spent),
        )
        body = await buffer_body(conn.read_body(), MAX_REPLAY_BYTES)
        if not outcome.reason:
            return TargetAnswer(
                head,
                body,
                admitted=outcome.admitted,
                target_seconds=outcome.target_seconds,
            )
        return AttemptRefusal(
            verdict=Verdict(outcome.verdict),
            reason=Reason(outcome.reason),
            retry_after=outcome.retry_after,
            admitted=outcome.admitted,
            incarnation=outcome.incarnation,
        )


@dataclass(frozen=True, slots=True)
class OwnedTargets:
    """The targets beside this daemon.

    :param owner: runs attempts at them.
    :param find_target: returns a target by name, None if it is not owned.
    :param load_and_state: returns a target's running and waiting requests per
        slot, and its state.
    """

    owner: Owner
    find_target: Callable[[str], Target | None]
    load_and_state: Callable[[str], tuple[float, str]]


class PeerServer:
    """Runs attempts that other daemons forward."""

    def __init__(self, parts: PeerParts, owned: OwnedTargets) -> None:
        """Create a server.

        :param parts: collaborators of the server.
        :param owned: the targets beside this daemon.
        """
        self._parts = parts
        self._owned = owned

    async def serve(self, conn: ServerConn, head: RequestHead) -> None:
        """Answer one request on a peer connection.

        :param conn: the peer's connection.
        :param head: head of the request.
        :raises ConnLostError: the connection broke, or the answer ended
            early.
        """
        context = _request_context(self._parts.events.instance, head)
        sealed = head.header(FORWARD_HEADER) or b''
        try:
            fwd = self._parts.keyring.open_forward(sealed, context)
        except PeerAuthError:
            self._parts.events.emit('peer-rejected', path=head.path)
            conn.close_after_answer()
            await conn.respond(_FORBIDDEN, ())
            return
        self._parts.events.clock.observe(fwd.hlc)
        await self._serve_forward(conn, head, fwd)

    async def _serve_forward(
        self,
        conn: ServerConn,
        head: RequestHead,
        fwd: Forward,
    ) -> None:
        body = await buffer_body(conn.read_body(), MAX_REPLAY_BYTES)
        started = trio.current_time()
        headers = strip_internal_headers(strip_hop_by_hop_headers(head.headers))
        req = Request(RequestHead(head.method, head.path, headers), body)
        target = self._owned.find_target(fwd.target)
        if target is None:
            refused = AttemptRefusal(Verdict.NOT_RUN, Reason.NO_TARGET)
            await self._send(conn, fwd, refused, started)
            return
        async with self._owned.owner.execute(fwd, target, req) as reply:
            await self._send(conn, fwd, reply, started)

    async def _send(
        self,
        conn: ServerConn,
        fwd: Forward,
        reply: AttemptReply,
        started: float,
    ) -> None:
        spent = trio.current_time() - started
        outcome = self._outcome(fwd, reply, spent)
        sealed = self._parts.keyring.seal_header(outcome, fwd.attempt.encode())
        extra = ((OUTCOME_HEADER, sealed),)
        if isinstance(reply, AttemptRefusal):
            await conn.respond(_REFUSED_STATUS, extra)
            return
        await send_answer(conn, reply, extra)

    def _outcome(
        self, fwd: Forward, reply: AttemptReply, spent: float
    ) -> Outcome:
        load, state = self._owned.load_and_state(fwd.target)
        refusal = reply if isinstance(reply, AttemptRefusal) else None
        answer = reply if isinstance(reply, TargetAnswer) else None
        return Outcome(
            verdict=(refusal.verdict if refusal else Verdict.RAN).value,
            reason=refusal.reason.value if refusal else '',
            retry_after=refusal.retry_after if refusal else 0,
            admitted=reply.admitted,
            incarnation=self._parts.events.incarnation,
            load=load,
            state=state,
            spent=spent,
            target_seconds=answer.target_seconds if answer else 0,
            hlc=self._parts.events.clock.stamp(),
        )


async def send_answer(
    conn: ServerConn,
    answer: TargetAnswer,
    extra: Headers,
) -> None:
    """Send a target's answer on a connection.

    If its body ends early, the connection must be closed without a regular
    end of the answer.

    :param conn: connection to the caller or to the entry.
    :param answer: the target's answer.
    :param extra: headers to add; they replace those of the same name.
    :raises ConnLostError: the connection broke, or the answer ended early.
    """
    added = {name for name, _ in extra}
    passed = strip_internal_headers(
        strip_hop_by_hop_headers(answer.head.headers)
    )
    kept = tuple(pair for pair in passed if pair[0] not in added)
    headers = (*kept, *extra)
    if answer.body.whole is not None:
        await conn.respond(answer.head.status, headers, answer.body.whole)
        return
    await conn.start_answer(answer.head.status, headers)
    async for piece in answer.body.pieces():
        await conn.send_piece(piece)
    await conn.end_answer()
