"""One request to one target over a pooled connection."""

import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import trio
from result import Err, Result

from clementinedeal._answer_checks import (
    REQUEST_ID_HEADER,
    AnswerWrongError,
    check_digest,
    check_request_id,
    is_framed,
)
from clementinedeal._client_conn import ClientConn
from clementinedeal._http import (
    ConnLostError,
    HttpError,
    RequestHead,
)
from clementinedeal._model import Target
from clementinedeal._pool import ConnPool
from clementinedeal._replies import (
    AttemptRefusal,
    AttemptReply,
    Body,
    Request,
    TargetAnswer,
    buffer_body,
)
from clementinedeal._verdict import Reason, Verdict

# Answers up to this size are read whole and checked before they are passed on,
# so that an attempt with an incomplete or wrong one can still be retried.
ANSWER_BUFFER_BYTES = 65536
# Milliseconds left until the request's deadline.
DEADLINE_HEADER = b'x-deadline-ms'
# Headers of a target's answer: the target has not started the request, or the
# target is leaving.
TARGET_REFUSED_HEADER = b'x-target-refused'
TARGET_STATE_HEADER = b'x-target-state'
_MS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class TargetCall:
    """One call to a target.

    :param target: the target to call.
    :param req_id: id of the request, sent to the target in a header.
    :param req: the request to send.
    :param seconds_left: time left until the request's deadline.
    :param may_start: called right before the first byte is sent; an error
        prevents the call.
    :param scope: cancelling it abandons the call, as does its deadline.
    """

    target: Target
    req_id: str
    req: Request
    seconds_left: float
    may_start: Callable[[], Result[None, Reason]]
    scope: trio.CancelScope


class TargetCaller:
    """Calls targets and checks that their answers are complete."""

    def __init__(self, pool: ConnPool) -> None:
        """Create a caller.

        :param pool: pool of connections to targets.
        """
        self._pool = pool

    @contextlib.asynccontextmanager
    async def call(self, call: TargetCall) -> AsyncIterator[AttemptReply]:
        """Perform one call; yield the answer, or a refusal if none is usable.

        The answer's body must be read inside the context.

        :param call: the call.
        """
        try:
            conn = await self._pool.acquire(call.target.address)
        except ConnLostError:
            yield AttemptRefusal(Verdict.NOT_RUN, Reason.TARGET_FAILED)
            return
        allowed = call.may_start()
        if isinstance(allowed, Err):
            await self._pool.release(call.target.address, conn)
            yield AttemptRefusal(Verdict.NOT_RUN, allowed.err_value)
            return
        try:
            yield await _call_over(conn, call)
        except BaseException:
            await conn.aclose()
            raise
        await self._pool.release(call.target.address, conn)


async def _call_over(conn: ClientConn, call: TargetCall) -> AttemptReply:
    with call.scope:
        try:
            return await _send_and_read(conn, call)
        except AnswerWrongError:
            await conn.aclose()
            return AttemptRefusal(Verdict.MAY_HAVE_RUN, Reason.ANSWER_WRONG)
        except (ConnLostError, HttpError):
            await conn.aclose()
            return AttemptRefusal(
                Verdict.MAY_HAVE_RUN, Reason.ANSWER_INCOMPLETE
            )
    await conn.aclose()
    is_late = trio.current_time() >= call.scope.deadline
    reason = Reason.DEADLINE if is_late else Reason.CANCELLED
    return AttemptRefusal(Verdict.MAY_HAVE_RUN, reason)


async def _send_and_read(conn: ClientConn, call: TargetCall) -> AttemptReply:
    started = trio.current_time()
    await send_request(conn, _target_head(call), call.req.body)
    head = await conn.read_head()
    check_request_id(head, call.req_id)
    if not is_framed(head, call.req.head.method):
        raise ConnLostError('answer has no content-length and is not chunked')
    pieces = check_digest(head, conn.read_body())
    body = await buffer_body(pieces, ANSWER_BUFFER_BYTES)
    if head.header(TARGET_REFUSED_HEADER) == b'not-started':
        is_named = head.header(REQUEST_ID_HEADER) is not None
        if not is_named and conn.idle_seconds is not None:
            # it may be a copy of the refusal of an earlier request
            raise AnswerWrongError('refusal without id on a kept connection')
        return AttemptRefusal(Verdict.NOT_RUN, Reason.QUEUE_FULL)
    seconds = trio.current_time() - started
    return TargetAnswer(head, body, target_seconds=seconds)


def _target_head(call: TargetCall) -> RequestHead:
    head = call.req.head
    headers = (
        *head.headers,
        (REQUEST_ID_HEADER, call.req_id.encode()),
        (DEADLINE_HEADER, b'%d' % (call.seconds_left * _MS_PER_SECOND)),
        *framing_headers(head, call.req.body),
    )
    if head.header(b'host') is None:
        headers = ((b'host', call.target.address.encode()), *headers)
    return RequestHead(head.method, head.path, headers)


def framing_headers(
    head: RequestHead,
    body: Body,
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers that delimit a forwarded request body.

    :param head: the forwarded head; no header is added to a declared length.
    :param body: the body that will be sent.
    """
    if head.header(b'content-length') is not None:
        return ()
    if body.whole is None:
        return ((b'transfer-encoding', b'chunked'),)
    return ((b'content-length', b'%d' % len(body.whole)),) if body.whole else ()


async def send_request(
    conn: ClientConn,
    head: RequestHead,
    body: Body,
) -> None:
    """Send a request, in one write when its body is buffered.

    :param conn: an idle connection.
    :param head: complete head, including the headers that delimit the body.
    :param body: the body.
    :raises ConnLostError: the connection broke.
    """
    if body.whole is not None:
        await conn.send_whole(head, body.whole)
        return
    await conn.send_head(head)
    async for piece in body.pieces():
        await conn.send_piece(piece)
    await conn.end_request()
