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
from clementinedeal.mesh._contracts import Dialect, Signs, Stamp
from clementinedeal.mesh._idle_limit import IdleLimit
from clementinedeal.mesh._outcomes import MeshOutcome, not_run

# Bodies up to this size fit the socket's buffer whatever the target reads.
SMALL_BODY_BYTES = 8192
# Idle connections are given up this long before the target closes them.
IDLE_MARGIN_SECONDS = 1.0
# A target that says nothing of its idle limit is taken to close after this.
IDLE_SECONDS = 4.0
# A target answers at its deadline itself; this much later it is silent.
DEADLINE_GRACE_SECONDS = 0.1
MOST_FOREIGN_ANSWERS = 3
# The 13 requests that a target runs at once then hold 55 MB of the smallest
# machine's 200 MB.
MOST_ANSWER_BYTES = 4 << 20
# A target resets what comes on a connection that it forgot at once, and no
# target is known to forget one that rested less than 200 ms.
FORGOTTEN_SECONDS = 0.05
LEAST_REST_SECONDS = 0.15

_SUCCESS = range(200, 300)
_FAILURE_STATUS = 500


@dataclass(frozen=True, slots=True)
class Message:
    """A request with its whole body and end-to-end headers only."""

    method: str
    path: str
    headers: Headers
    body: bytes


class Origin:
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
        self._rest = IdleLimit(clock)

    async def call(self, message: Message, stamp: Stamp) -> MeshOutcome:
        """Run a request and return what came of it.

        :param message: the request.
        :param stamp: what the system adds to it.
        """
        try:
            conn = await self._pool.acquire(
                self._address,
                self._rest.max_idle_seconds(),
            )
        except ConnLostError:
            return not_run(Reason.NO_TARGET)
        kept = False
        begun = self._clock.now()
        try:
            limit = max(0, stamp.left) + DEADLINE_GRACE_SECONDS
            with trio.move_on_after(limit):
                outcome, idle = await self._converse(conn, message, stamp)
                kept = idle is not None
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
            return _unknown(Reason.ANSWER_INCOMPLETE)
        except HttpError:
            return _unknown(Reason.ANSWER_INCOMPLETE)
        except ConnLostError:
            return self._judge_loss(conn.rested, self._clock.now() - begun)
        finally:
            if not kept:
                conn.abort()
        return _unknown(Reason.DEADLINE)

    def _judge_loss(self, rested: float | None, spent: float) -> MeshOutcome:
        """Tell a connection that was forgotten from an answer cut short."""
        if rested is None or rested < LEAST_REST_SECONDS:
            return _unknown(Reason.ANSWER_INCOMPLETE)
        if spent > FORGOTTEN_SECONDS:
            return _unknown(Reason.ANSWER_INCOMPLETE)
        self._rest.on_connection_forgotten(rested)
        self._events.emit(
            'connection-forgotten',
            address=self._address,
            rested=f'{rested:.3f}',
            limit=f'{self._rest.max_idle_seconds():.3f}',
        )
        return _unknown(Reason.CONNECTION_FORGOTTEN)

    async def _converse(
        self,
        conn: ClientConn,
        message: Message,
        stamp: Stamp,
    ) -> tuple[MeshOutcome, float | None]:
        """Return the outcome and how long the connection may stay idle."""
        added = self._dialect.target_headers(message.headers, stamp)
        if message.body or message.method not in {'GET', 'HEAD'}:
            length = (CONTENT_LENGTH, b'%d' % len(message.body))
            added = (*added, length)
        head = RequestHead(message.method, message.path, added)
        if len(message.body) <= SMALL_BODY_BYTES:
            await conn.send_whole(head, message.body)
            return await self._read_answer(conn, stamp)
        sent = trio.Event()
        found: tuple[MeshOutcome, float | None] | ProtocolError
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send, conn, head, message.body, sent)
            try:
                found = await self._read_answer(conn, stamp)
            except (ConnLostError, HttpError) as exc:
                found = exc
            nursery.cancel_scope.cancel()
        if isinstance(found, ProtocolError):
            raise found
        # a target that answered early may still read the rest
        return found if sent.is_set() else (found[0], None)

    async def _read_answer(
        self,
        conn: ClientConn,
        stamp: Stamp,
    ) -> tuple[MeshOutcome, float | None]:
        for _ in range(MOST_FOREIGN_ANSWERS):
            head = await conn.read_head()
            body = await conn.read_whole(MOST_ANSWER_BYTES)
            signs = self._dialect.read_answer(head)
            own = signs.req_id == stamp.req_id
            if own or signs.req_id not in conn.answered:
                break
            self._events.emit(
                'answer-skipped',
                address=self._address,
                req=stamp.req_id,
                other=signs.req_id,
            )
            conn.skip_answer()
        else:
            return _unknown(Reason.ANSWER_WRONG), None
        conn.answered.append(stamp.req_id)
        idle = None if signs.closing else _idle_limit(signs)
        return judge_answer(head, body, signs, stamp), idle


async def _send(
    conn: ClientConn,
    head: RequestHead,
    body: bytes,
    sent: trio.Event,
) -> None:
    try:
        await conn.send_whole(head, body)
    except ConnLostError:
        return  # the reading side reports what came of the request
    sent.set()


def _idle_limit(signs: Signs) -> float | None:
    limit = IDLE_SECONDS if signs.idle is None else signs.idle
    return limit - IDLE_MARGIN_SECONDS if limit > IDLE_MARGIN_SECONDS else None


def judge_answer(
    head: ResponseHead,
    body: bytes,
    signs: Signs,
    stamp: Stamp,
) -> MeshOutcome:
    """Decide what a target's whole answer says of a request.

    :param head: its status and headers.
    :param body: its whole body.
    :param signs: what the headers say.
    :param stamp: what was sent with the request.
    """
    foreign = signs.req_id != stamp.req_id
    if foreign and signs.req_id:
        return _unknown(Reason.ANSWER_WRONG)
    if signs.not_run:
        reason = Reason.WRONG_INCARNATION if signs.moved else Reason.QUEUE_FULL
        return MeshOutcome(
            verdict=Verdict.NOT_RUN,
            reason=reason,
            reached=True,
        )
    success = head.status in _SUCCESS
    if signs.encoded or (success and (foreign or not signs.sealed)):
        return _unknown(Reason.ANSWER_WRONG)
    if not signs.sealed and head.status >= _FAILURE_STATUS:
        return _unknown(Reason.TARGET_FAILED)
    failed = head.status >= _FAILURE_STATUS
    return MeshOutcome(
        verdict=Verdict.RAN,
        reason=Reason.TARGET_FAILED if failed else None,
        reached=True,
        status=head.status,
        headers=end_to_end(head.headers),
        body=body,
    )


def _unknown(reason: Reason) -> MeshOutcome:
    return MeshOutcome(
        verdict=Verdict.MAY_HAVE_RUN, reason=reason, reached=True
    )
