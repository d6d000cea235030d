"""Sends one request to the target beside this daemon."""

from dataclasses import dataclass

import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import ProtocolError
from clementinedeal._events import EventLog
from clementinedeal._http import (
    CONTENT_LENGTH,
    ConnLostError,
    Headers,
    HttpError,
    RequestHead,
    ResponseHead,
    TooLongError,
    end_to_end,
)
from clementinedeal._pool import ConnPool
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._contracts import AnswerHeaders, CallContext, Dialect
from clementinedeal.mesh._idle_limit import IdleLimit
from clementinedeal.mesh._outcomes import MeshOutcome, not_run

# Bodies up to this size fit the socket's buffer whatever the target reads.
MAX_BUFFERED_BODY_BYTES = 8192
# Idle connections are given up this long before the target closes them.
IDLE_MARGIN_SECONDS = 1.0
# A target that says nothing of its idle limit is taken to close after this.
DEFAULT_IDLE_SECONDS = 4.0
# A target answers at its deadline itself; this much later it is silent.
DEADLINE_GRACE_SECONDS = 0.1
MAX_FOREIGN_ANSWERS = 3
# The 13 requests that a target runs at once then hold 55 MB of the smallest
# machine's 200 MB.
MAX_ANSWER_BYTES = 4 << 20
# A target resets what comes on a connection that it forgot at once, and no
# target is known to forget one that rested less than 200 ms.
MAX_RESET_SECONDS = 0.05
MIN_REST_SECONDS = 0.15

_SUCCESS = range(200, 300)
_FAILURE_STATUS = 500


@dataclass(frozen=True, slots=True)
class BufferedRequest:
    """A request with its whole body and end-to-end headers only."""

    method: str
    path: str
    headers: Headers
    body: bytes


class TargetClient:
    """Calls one target over kept-alive connections."""

    def __init__(
        self,
        address: str,
        pool: ConnPool,
        dialect: Dialect,
        clock: Clock,
        events: EventLog,
    ) -> None:
        """Create a caller.

        :param address: ``ip:port`` of the target.
        :param pool: connections.
        :param dialect: how the target speaks.
        :param clock: monotonic time.
        :param events: hears what is learned of resting connections.
        """
        self._address = address
        self._pool = pool
        self._dialect = dialect
        self._clock = clock
        self._events = events
        self._rest_limit = IdleLimit(clock)

    async def call(
        self, request: BufferedRequest, context: CallContext
    ) -> MeshOutcome:
        """Run a request and return what came of it.

        :param message: the request.
        :param stamp: what the system adds to it.
        """
        try:
            conn = await self._pool.acquire(
                self._address,
                self._rest_limit.max_idle_seconds(),
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
                conn.rested, self._clock.now() - started_at
            )
        finally:
            if not is_released:
                conn.abort()
        return _may_have_run(Reason.DEADLINE)

    def _classify_loss(
        self, rested: float | None, seconds: float
    ) -> MeshOutcome:
        """Tell a connection that was forgotten from an answer cut short."""
        if rested is None or rested < MIN_REST_SECONDS:
            return _may_have_run(Reason.ANSWER_INCOMPLETE)
        if seconds > MAX_RESET_SECONDS:
            return _may_have_run(Reason.ANSWER_INCOMPLETE)
        self._rest_limit.on_connection_forgotten(rested)
        self._events.emit(
            'connection-forgotten',
            address=self._address,
            rested=f'{rested:.3f}',
            limit=f'{self._rest_limit.max_idle_seconds():.3f}',
        )
        return _may_have_run(Reason.CONNECTION_FORGOTTEN)

    async def _exchange(
        self,
        conn: ClientConn,
        request: BufferedRequest,
        context: CallContext,
    ) -> tuple[MeshOutcome, float | None]:
        """Return the outcome and how long the connection may stay idle."""
        added = self._dialect.target_headers(request.headers, context)
        if request.body or request.method not in {'GET', 'HEAD'}:
            length = (CONTENT_LENGTH, b'%d' % len(request.body))
            added = (*added, length)
        head = RequestHead(request.method, request.path, added)
        if len(request.body) <= MAX_BUFFERED_BODY_BYTES:
            await conn.send_whole(head, request.body)
            return await self._read_answer(conn, context)
        body_sent = trio.Event()
        answer: tuple[MeshOutcome, float | None] | ProtocolError
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _send_request, conn, head, request.body, body_sent
            )
            try:
                answer = await self._read_answer(conn, context)
            except (ConnLostError, HttpError) as exc:
                answer = exc
            nursery.cancel_scope.cancel()
        if isinstance(answer, ProtocolError):
            raise answer
        # a target that answered early may still read the rest
        return answer if body_sent.is_set() else (answer[0], None)

    async def _read_answer(
        self,
        conn: ClientConn,
        context: CallContext,
    ) -> tuple[MeshOutcome, float | None]:
        for _ in range(MAX_FOREIGN_ANSWERS):
            head = await conn.read_head()
            body = await conn.read_whole(MAX_ANSWER_BYTES)
            answer_headers = self._dialect.read_answer(head)
            is_own = answer_headers.req_id == context.req_id
            if is_own or answer_headers.req_id not in conn.answered:
                break
            self._events.emit(
                'answer-skipped',
                address=self._address,
                req=context.req_id,
                other=answer_headers.req_id,
            )
            conn.skip_answer()
        else:
            return _may_have_run(Reason.ANSWER_WRONG), None
        conn.answered.append(context.req_id)
        idle = None if answer_headers.closing else _idle_limit(answer_headers)
        return classify_answer(head, body, answer_headers, context), idle


async def _send_request(
    conn: ClientConn,
    head: RequestHead,
    body: bytes,
    body_sent: trio.Event,
) -> None:
    try:
        await conn.send_whole(head, body)
    except ConnLostError:
        return  # the reading side reports what came of the request
    body_sent.set()


def _idle_limit(answer_headers: AnswerHeaders) -> float | None:
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
    body: bytes,
    answer_headers: AnswerHeaders,
    context: CallContext,
) -> MeshOutcome:
    """Decide what a target's whole answer says of a request.

    :param head: its status and headers.
    :param body: its whole body.
    :param signs: what the headers say.
    :param stamp: what was sent with the request.
    """
    is_foreign = answer_headers.req_id != context.req_id
    if is_foreign and answer_headers.req_id:
        return _may_have_run(Reason.ANSWER_WRONG)
    if answer_headers.not_run:
        reason = (
            Reason.WRONG_INCARNATION
            if answer_headers.misdirected
            else Reason.QUEUE_FULL
        )
        return MeshOutcome(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            reached=True,
        )
    is_success = head.status in _SUCCESS
    if answer_headers.encoded or (
        is_success and (is_foreign or not answer_headers.sealed)
    ):
        return _may_have_run(Reason.ANSWER_WRONG)
    if not answer_headers.sealed and head.status >= _FAILURE_STATUS:
        return _may_have_run(Reason.TARGET_FAILED)
    is_failure = head.status >= _FAILURE_STATUS
    return MeshOutcome(
        verdict=Verdict.RAN,
        reason=Reason.TARGET_FAILED if is_failure else None,
        reached=True,
        status=head.status,
        headers=end_to_end(head.headers),
        body=body,
    )


def _may_have_run(reason: Reason) -> MeshOutcome:
    return MeshOutcome(
        verdict=Verdict.MAY_HAVE_RUN, reason=reason, reached=True
    )
