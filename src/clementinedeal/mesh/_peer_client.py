"""Sends attempts to other daemons and asks again what became of them."""

import msgspec
import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import UNREADABLE_ERRORS
from clementinedeal._events import log
from clementinedeal._http import (
    CONTENT_LENGTH,
    READ_BYTES,
    ConnLostError,
    HttpError,
    RequestHead,
    TooLongError,
    end_to_end,
)
from clementinedeal._incoming_request import strip_internal_headers
from clementinedeal._pool import ConnPool
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh._origin import MOST_ANSWER_BYTES, Message
from clementinedeal.mesh._outcomes import (
    MeshAttempt,
    MeshOutcome,
    PendingAttempt,
    decode_outcome_header,
    not_run,
)

# An owner confirms a forward in one round trip; later it may be lost.
CONFIRM_SECONDS = 0.3
# An owner that confirmed and is silent for so long is asked again.
SILENCE_SECONDS = 2.5
# An owner that knows nothing or can't be reached is asked for so long; one
# that still runs the request is asked until the answer is due.
ASK_SECONDS = 2.0
ASK_PAUSE_SECONDS = 0.1
# A newer owner may give a verdict or a reason that is not known here.
_ANSWER_ERRORS = (ConnLostError, HttpError, ValueError, *UNREADABLE_ERRORS)


class PeerClient:
    """Sends attempts to the daemons that own their targets."""

    def __init__(self, pool: ConnPool, clock: Clock) -> None:
        """Create a client.

        :param pool: connections.
        :param clock: steady time that counts a suspended machine's too.
        """
        self._pool = pool
        self._clock = clock

    async def attempt(
        self,
        address: str,
        attempt: MeshAttempt,
        message: Message,
        trying: PendingAttempt,
    ) -> MeshOutcome:
        """Send an attempt to an owner and return its outcome.

        What must not run twice is sent in two steps: the body, without which
        nothing runs, follows when the owner has a slot for it. Until then a
        lost connection proves that the request did not run.

        :param address: ``ip:port`` of the owner.
        :param attempt: what is asked for.
        :param message: the request.
        :param trying: is told before anything that may run is sent.
        """
        try:
            conn = await self._pool.acquire(address)
        except ConnLostError:
            return not_run(Reason.NO_TARGET)
        try:
            return await self._converse(
                address,
                conn,
                attempt,
                message,
                trying,
            )
        except trio.Cancelled:
            conn.abort()
            raise

    async def _converse(
        self,
        address: str,
        conn: ClientConn,
        attempt: MeshAttempt,
        message: Message,
        trying: PendingAttempt,
    ) -> MeshOutcome:
        if not attempt.idempotent:
            refused = await self._reserve(address, conn, attempt)
            if refused is not None:
                return await self._end(address, conn, refused)
        trying.sent = True
        sent_at = self._clock.now()
        head = _forward_head(attempt, message)
        exchange = _Exchange(address, conn, SILENCE_SECONDS)
        outcome = await exchange.run(head, message.body)
        if outcome is None:
            conn.abort()
            return await self._ask(address, attempt, sent_at)
        return await self._end(address, conn, outcome)

    async def _reserve(
        self,
        address: str,
        conn: ClientConn,
        attempt: MeshAttempt,
    ) -> MeshOutcome | None:
        """Get a slot; None once the owner holds one for the request."""
        text = msgspec.json.encode(attempt)
        head = RequestHead(
            'GET', '/', ((b'host', b'-'), (wire.RESERVE_HEADER, text))
        )
        # in a queue, silence is no sign of a loss; when the answer is due and
        # the body was not sent, nothing has run
        silence = max(SILENCE_SECONDS, attempt.wait + CONFIRM_SECONDS)
        silence = min(silence, attempt.left)
        exchange = _Exchange(address, conn, silence)
        outcome = await exchange.run(head, b'')
        if exchange.reserved and conn.reusable():
            return None
        if outcome is None:
            conn.abort()
        return outcome or not_run(Reason.NO_TARGET)

    async def _end(
        self,
        address: str,
        conn: ClientConn,
        outcome: MeshOutcome,
    ) -> MeshOutcome:
        await self._pool.release(address, conn)
        return outcome

    async def _ask(
        self,
        address: str,
        attempt: MeshAttempt,
        sent_at: float,
    ) -> MeshOutcome:
        """Ask over new connections what became of an attempt."""
        give_up = trio.current_time() + ASK_SECONDS
        while trio.current_time() < give_up:
            try:
                conn = await self._pool.connect(address)
            except ConnLostError:
                await trio.sleep(ASK_PAUSE_SECONDS)
                continue
            age = self._clock.now() - sent_at
            asked = msgspec.json.encode((attempt.attempt, round(age, 3)))
            head = RequestHead(
                'GET',
                '/',
                ((b'host', address.encode()), (wire.ASK_HEADER, asked)),
            )
            exchange = _Exchange(address, conn, SILENCE_SECONDS)
            outcome = await exchange.run(head, b'')
            conn.abort()
            if outcome is not None:
                return outcome
            if exchange.confirmed:
                give_up = trio.current_time() + ASK_SECONDS
            await trio.sleep(ASK_PAUSE_SECONDS)
        return MeshOutcome(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.OWNER_LOST,
            reached=True,
        )


def _forward_head(attempt: MeshAttempt, message: Message) -> RequestHead:
    length = (CONTENT_LENGTH, b'%d' % len(message.body))
    told = (wire.ATTEMPT_HEADER, msgspec.json.encode(attempt))
    if not attempt.idempotent:
        told = (wire.RUN_HEADER, attempt.attempt.encode())
    return RequestHead(
        message.method,
        message.path,
        (*message.headers, length, told),
    )


class _Exchange:
    """One request to an owner and its answer."""

    def __init__(self, address: str, conn: ClientConn, silence: float) -> None:
        self._address = address
        self._conn = conn
        self._silence = silence
        self._scope = trio.CancelScope()
        self.reserved = False
        self.confirmed = False

    async def run(self, head: RequestHead, body: bytes) -> MeshOutcome | None:
        """Return what the owner answered, None if no answer came."""
        self._scope.deadline = trio.current_time() + CONFIRM_SECONDS
        try:
            with self._scope:
                await self._conn.send_whole(head, body)
                return await self._read()
        except TooLongError as exc:
            log.warning(
                'event=answer-cut address=%s bytes=%d limit=%d',
                self._address,
                exc.size,
                exc.limit,
            )
            return None
        except _ANSWER_ERRORS:
            return None
        return None

    def _confirm(self) -> None:
        self.confirmed = True
        self._scope.deadline = trio.current_time() + self._silence

    async def _read(self) -> MeshOutcome | None:
        head = await self._conn.read_head(self._confirm)
        body = await self._conn.read_whole(MOST_ANSWER_BYTES + READ_BYTES)
        self.reserved = head.status == wire.RESERVED_STATUS and not head.header(
            wire.TOLD_HEADER,
        )
        if self.reserved:
            return None
        told = decode_outcome_header(head.header(wire.TOLD_HEADER) or b'')
        answered = told.verdict == Verdict.RAN.value
        headers = strip_internal_headers(end_to_end(head.headers))
        return MeshOutcome(
            verdict=Verdict(told.verdict),
            reason=Reason(told.reason) if told.reason else None,
            reached=told.reached,
            retry_after=told.retry_after,
            status=head.status if answered else 0,
            headers=headers if answered else (),
            body=body,
            state=told.state,
        )
