"""HTTP client for the target beside this daemon."""

import collections
from collections.abc import Callable
from dataclasses import dataclass

import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import ProtocolError
from clementinedeal._events import EventLog
from clementinedeal._http import (
    CONTENT_LENGTH,
    Body,
    ConnLostError,
    Headers,
    HttpError,
    RequestHead,
    ResponseHead,
    TooLongError,
    strip_hop_by_hop_headers,
)
from clementinedeal._pool import ConnPool
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._contracts import (
    AnswerHeaders,
    CallContext,
    Dialect,
    TargetStatement,
)
from clementinedeal.mesh._idle_limit import IdleLimit
from clementinedeal.mesh._outcomes import MeshOutcome, not_run
from clementinedeal.mesh._upload import Upload

# Bodies up to this size fit into the socket's send buffer even if the target
# reads nothing. A larger body is sent while the answer is read.
MAX_BUFFERED_BODY_BYTES = 8192
# Idle connections are closed this long before the target would close them.
IDLE_MARGIN_SECONDS = 1.0
# Idle limit of a target that does not announce one.
DEFAULT_IDLE_SECONDS = 4.0
# A target answers no later than at the deadline. A call without an answer this
# long after the deadline is given up.
DEADLINE_GRACE_SECONDS = 0.1
# How many answers are read for one request: answers to earlier requests are
# skipped, and with this many of them the call fails.
MAX_FOREIGN_ANSWERS = 3
# Answers count toward the process's budget of bytes; this bounds each.
MAX_ANSWER_BYTES = 4 << 20
# How many refused request ids are remembered. A target runs a few requests at
# once, so these cover all that callers send again within their timeouts.
MAX_REFUSED_IDS = 256
# A target that dropped an idle connection without closing it resets the
# connection as soon as a request arrives. A lost connection counts as dropped
# if it broke within MAX_RESET_SECONDS of the request and had been idle for
# MIN_RESET_IDLE_SECONDS. No target is known to drop a connection that was idle
# for less than 200 ms.
MAX_RESET_SECONDS = 0.05
MIN_RESET_IDLE_SECONDS = 0.15

_SUCCESS = range(200, 300)
_FAILURE_STATUS = 500


@dataclass(frozen=True, slots=True)
class BufferedRequest:
    """A request with its whole body and end-to-end headers only.

    ``path`` includes the query.
    """

    method: str
    path: str
    headers: Headers
    body: Body


class TargetClient:
    """Calls one target over kept-alive connections.

    Each answer is matched to its request by the request id that the target
    returns: a target may send answers to earlier requests on a connection.
    Handlers in ``on_statement`` are called with what the target says of itself
    and when the request was sent, in monotonic seconds; None if the target
    refused the request.
    """

    def __init__(
        self,
        address: str,
        pool: ConnPool,
        dialect: Dialect,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create a client without connections.

        :param address: ``ip:port`` of the target.
        :param pool: connections.
        :param dialect: encodes and decodes the target's headers.
        :param clock: monotonic time.
        :param events: log of dropped connections and unusable answers.
        """
        self._address = address
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._events = events
        self._idle_limit = IdleLimit(clock)
        self._refused_ids: collections.deque[str] = collections.deque(
            maxlen=MAX_REFUSED_IDS
        )
        self.on_statement: list[
            Callable[[TargetStatement, float | None], None]
        ] = []

    async def call(
        self, request: BufferedRequest, context: CallContext
    ) -> MeshOutcome:
        """Send a request to the target and return its outcome.

        :param request: the request.
        :param context: what is added to its headers.
        """
        try:
            conn = await self._pool.acquire(
                self._address,
                self._idle_limit.max_idle_seconds(),
            )
        except ConnLostError:
            return not_run(Reason.NO_TARGET)
        is_released = False
        started_at = self._clock.now()
        try:
            limit = max(0, context.seconds_left) + DEADLINE_GRACE_SECONDS
            with trio.move_on_after(limit):
                outcome, idle = await self._exchange(conn, request, context)
                is_released = idle is not None
                if idle is not None:
                    await self._pool.release(self._address, conn, idle)
                return outcome
        except TooLongError as exc:
            self._events.emit(
                'answer-cut',
                address=self._address,
                bytes=exc.size,
                limit=exc.limit,
            )
            return _may_have_run(Reason.ANSWER_INCOMPLETE)
        except HttpError:
            return _may_have_run(Reason.ANSWER_INCOMPLETE)
        except ConnLostError:
            return self._classify_loss(
                conn.idle_seconds, self._clock.now() - started_at
            )
        finally:
            if not is_released:
                conn.abort()
        return _may_have_run(Reason.DEADLINE)

    async def is_down(self) -> bool:
        """Whether the target accepts no connection.

        A target that does not reply at all may only be slow.
        """
        try:
            conn = await self._pool.connect(self._address)
        except ConnLostError as exc:
            return not isinstance(exc.__cause__, trio.TooSlowError)
        await conn.aclose()
        return False

    def _classify_loss(
        self, idle_seconds: float | None, seconds: float
    ) -> MeshOutcome:
        """Distinguish a dropped idle connection from an incomplete answer.

        :param idle_seconds: how long the connection had been idle, None if it
            was new.
        :param seconds: time from the request to the loss.
        """
        if idle_seconds is None or idle_seconds < MIN_RESET_IDLE_SECONDS:
            return _may_have_run(Reason.ANSWER_INCOMPLETE)
        if seconds > MAX_RESET_SECONDS:
            return _may_have_run(Reason.ANSWER_INCOMPLETE)
        self._idle_limit.on_connection_forgotten(idle_seconds)
        self._events.emit(
            'connection-forgotten',
            address=self._address,
            rested=f'{idle_seconds:.3f}',
            limit=f'{self._idle_limit.max_idle_seconds():.3f}',
        )
        return _may_have_run(Reason.CONNECTION_FORGOTTEN)

    async def _exchange(
        self,
        conn: ClientConn,
        request: BufferedRequest,
        context: CallContext,
    ) -> tuple[MeshOutcome, float | None]:
        """Return the outcome and how long the connection may stay idle.

        The second is in seconds, None if the connection must be closed.
        """
        sent_at = self._clock.now()
        added = self._dialect.target_headers(request.headers, context)
        if request.body or request.method not in {'GET', 'HEAD'}:
            length = (CONTENT_LENGTH, b'%d' % len(request.body))
            added = (*added, length)
        head = RequestHead(request.method, request.path, added)
        if len(request.body) <= MAX_BUFFERED_BODY_BYTES:
            await conn.send_whole(head, request.body)
            return await self._read_answer(conn, context, sent_at)
        upload = Upload(conn, head, request.body)
        answer: tuple[MeshOutcome, float | None] | ProtocolError
        async with trio.open_nursery() as nursery:
            nursery.start_soon(upload.run)
            try:
                answer = await self._read_answer(conn, context, sent_at)
                if conn.has_ended:
                    await upload.wait_for_reset()
            except (ConnLostError, HttpError) as exc:
                answer = exc
            nursery.cancel_scope.cancel()
        if isinstance(answer, ProtocolError):
            raise answer
        if conn.was_reset:
            raise HttpError('answer without a length ended by a reset')
        # after an early answer the target may still read the rest of the body
        return answer if upload.is_sent else (answer[0], None)

    async def _read_answer(
        self,
        conn: ClientConn,
        context: CallContext,
        sent_at: float,
    ) -> tuple[MeshOutcome, float | None]:
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = await conn.read_head()
            body = await conn.read_whole(MAX_ANSWER_BYTES)
            answer_headers = self._dialect.read_answer(head)
            is_own = answer_headers.req_id == context.req_id
            if is_own or answer_headers.req_id not in conn.answered_ids:
                break
            self._events.emit(
                'answer-skipped',
                address=self._address,
                req=context.req_id,
                other=answer_headers.req_id,
            )
            conn.discard_answer()
        else:
            return _may_have_run(Reason.ANSWER_WRONG), None
        if is_own:
            self._report_statement(answer_headers, sent_at)
        conn.answered_ids.append(context.req_id)
        idle = (
            None
            if answer_headers.closing
            else _allowed_idle_seconds(answer_headers)
        )
        if answer_headers.not_run:
            return self._classify_refusal(conn, answer_headers, context), idle
        return classify_answer(head, body, answer_headers, context), idle

    def _report_statement(
        self, answer_headers: AnswerHeaders, sent_at: float
    ) -> None:
        """Call the handlers, unless another process has answered."""
        if answer_headers.misdirected:
            return
        has_run = answer_headers.sealed and not answer_headers.not_run
        for handler in self.on_statement:
            handler(answer_headers.statement, sent_at if has_run else None)

    def _classify_refusal(
        self,
        conn: ClientConn,
        answer_headers: AnswerHeaders,
        context: CallContext,
    ) -> MeshOutcome:
        """Accept a refusal only if it certainly belongs to the request.

        A faulty target may write an earlier refusal once more. One without an
        id is accepted only as the first answer on a connection, one with the
        request's id only if no request of that id was refused before.

        :param conn: the connection that the refusal arrived on.
        :param answer_headers: its decoded headers.
        :param context: what was added to the request.
        """
        is_first_answer = conn.idle_seconds is None
        is_proved = answer_headers.req_id == context.req_id or (
            not answer_headers.req_id and is_first_answer
        )
        if not is_proved or context.req_id in self._refused_ids:
            self._events.emit(
                'refusal-unproved',
                address=self._address,
                req=context.req_id,
                other=answer_headers.req_id,
                kept=not is_first_answer,
            )
            return _may_have_run(Reason.ANSWER_WRONG)
        self._refused_ids.append(context.req_id)
        reason = (
            Reason.WRONG_INCARNATION
            if answer_headers.misdirected
            else Reason.QUEUE_FULL
        )
        return MeshOutcome(verdict=Verdict.NOT_RUN, reason=reason, reached=True)


def _allowed_idle_seconds(answer_headers: AnswerHeaders) -> float | None:
    idle_seconds = (
        DEFAULT_IDLE_SECONDS
        if answer_headers.idle_seconds is None
        else answer_headers.idle_seconds
    )
    return (
        idle_seconds - IDLE_MARGIN_SECONDS
        if idle_seconds > IDLE_MARGIN_SECONDS
        else None
    )


def classify_answer(
    head: ResponseHead,
    body: Body,
    answer_headers: AnswerHeaders,
    context: CallContext,
) -> MeshOutcome:
    """Return the outcome of a request that the target did not refuse.

    An answer that does not name the request, an encoded one, or a success
    without the target's seal is not accepted: the request may have run.

    :param head: status and headers of the answer.
    :param body: its whole body.
    :param answer_headers: the decoded headers.
    :param context: what was added to the request.
    """
    is_foreign = answer_headers.req_id != context.req_id
    if is_foreign and answer_headers.req_id:
        return _may_have_run(Reason.ANSWER_WRONG)
    is_failure = head.status >= _FAILURE_STATUS
    if is_failure and not answer_headers.sealed:
        return _may_have_run(Reason.TARGET_FAILED)
    lacks_seal = head.status in _SUCCESS and not answer_headers.sealed
    if answer_headers.encoded or is_foreign or lacks_seal:
        return _may_have_run(Reason.ANSWER_WRONG)
    return MeshOutcome(
        verdict=Verdict.RAN,
        reason=Reason.TARGET_FAILED if is_failure else None,
        reached=True,
        status=head.status,
        headers=strip_hop_by_hop_headers(head.headers),
        body=body,
    )


def _may_have_run(reason: Reason) -> MeshOutcome:
    return MeshOutcome(
        verdict=Verdict.MAY_HAVE_RUN, reason=reason, reached=True
    )
