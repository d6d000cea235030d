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
from clementinedeal.mesh._outcomes import (
    MeshAttempt,
    MeshOutcome,
    PendingAttempt,
    decode_outcome_header,
    not_run,
)
from clementinedeal.mesh._target_client import MAX_ANSWER_BYTES, BufferedRequest

# An owner confirms a forward in one round trip; later it may be lost.
CONFIRM_SECONDS = 0.3
# An owner that confirmed and is silent for so long is asked again.
MAX_SILENCE_SECONDS = 2.5
# An owner that knows nothing or can't be reached is asked for so long; one
# that still runs the request is asked until the answer is due.
QUERY_SECONDS = 2.0
QUERY_PAUSE_SECONDS = 0.1
# A newer owner may give a verdict or a reason that is not known here.
_ANSWER_ERRORS = (ConnLostError, HttpError, ValueError, *UNREADABLE_ERRORS)


class MeshPeerClient:
    """Sends attempts to the daemons that own their targets."""

    def __init__(self, pool: ConnPool, clock: Clock) -> None:
        """Create a client.

        :param pool: connections.
        :param clock: steady time that counts a suspended machine's too.
        """
        self._pool = pool
        self._clock = clock

    async def send_attempt(
        self,
        address: str,
        attempt: MeshAttempt,
        request: BufferedRequest,
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
            return await self._run_attempt(
                address,
                conn,
                attempt,
                request,
                trying,
            )
        except trio.Cancelled:
            conn.abort()
            raise

    async def _run_attempt(
        self,
        address: str,
        conn: ClientConn,
        attempt: MeshAttempt,
        request: BufferedRequest,
        trying: PendingAttempt,
    ) -> MeshOutcome:
        if not attempt.idempotent:
            refusal = await self._reserve(address, conn, attempt)
            if refusal is not None:
                return await self._release(address, conn, refusal)
        trying.sent = True
        sent_at = self._clock.now()
        head = _build_head(attempt, request)
        exchange = _Exchange(address, conn, MAX_SILENCE_SECONDS)
        outcome = await exchange.run(head, request.body)
        if outcome is None:
            conn.abort()
            return await self._query_outcome(address, attempt, sent_at)
        return await self._release(address, conn, outcome)

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
        max_silence = max(MAX_SILENCE_SECONDS, attempt.wait + CONFIRM_SECONDS)
        max_silence = min(max_silence, attempt.left)
        exchange = _Exchange(address, conn, max_silence)
        outcome = await exchange.run(head, b'')
        if exchange.is_reserved and conn.reusable():
            return None
        if outcome is None:
            conn.abort()
        return outcome or not_run(Reason.NO_TARGET)

    async def _release(
        self,
        address: str,
        conn: ClientConn,
        outcome: MeshOutcome,
    ) -> MeshOutcome:
        await self._pool.release(address, conn)
        return outcome

    async def _query_outcome(
        self,
        address: str,
        attempt: MeshAttempt,
        sent_at: float,
    ) -> MeshOutcome:
        """Ask over new connections what became of an attempt."""
        give_up_at = trio.current_time() + QUERY_SECONDS
        while trio.current_time() < give_up_at:
            try:
                conn = await self._pool.connect(address)
            except ConnLostError:
                await trio.sleep(QUERY_PAUSE_SECONDS)
                continue
            age = self._clock.now() - sent_at
            query = msgspec.json.encode((attempt.attempt, round(age, 3)))
            head = RequestHead(
                'GET',
                '/',
                ((b'host', address.encode()), (wire.ASK_HEADER, query)),
            )
            exchange = _Exchange(address, conn, MAX_SILENCE_SECONDS)
            outcome = await exchange.run(head, b'')
            conn.abort()
            if outcome is not None:
                return outcome
            if exchange.is_confirmed:
                give_up_at = trio.current_time() + QUERY_SECONDS
            await trio.sleep(QUERY_PAUSE_SECONDS)
        return MeshOutcome(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.OWNER_LOST,
            reached=True,
        )


def _build_head(attempt: MeshAttempt, request: BufferedRequest) -> RequestHead:
    length = (CONTENT_LENGTH, b'%d' % len(request.body))
    attempt_header = (wire.ATTEMPT_HEADER, msgspec.json.encode(attempt))
    if not attempt.idempotent:
        attempt_header = (wire.RUN_HEADER, attempt.attempt.encode())
    return RequestHead(
        request.method,
        request.path,
        (*request.headers, length, attempt_header),
    )


class _Exchange:
    """One request to an owner and its answer."""

    def __init__(
        self, address: str, conn: ClientConn, max_silence: float
    ) -> None:
        self._address = address
        self._conn = conn
        self._max_silence = max_silence
        self._scope = trio.CancelScope()
        self.is_reserved = False
        self.is_confirmed = False

    async def run(self, head: RequestHead, body: bytes) -> MeshOutcome | None:
        """Return what the owner answered, None if no answer came."""
        self._scope.deadline = trio.current_time() + CONFIRM_SECONDS
        try:
            with self._scope:
                await self._conn.send_whole(head, body)
                return await self._read_outcome()
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

    def _on_confirmed(self) -> None:
        self.is_confirmed = True
        self._scope.deadline = trio.current_time() + self._max_silence

    async def _read_outcome(self) -> MeshOutcome | None:
        head = await self._conn.read_head(self._on_confirmed)
        body = await self._conn.read_whole(MAX_ANSWER_BYTES + READ_BYTES)
        self.is_reserved = (
            head.status == wire.RESERVED_STATUS
            and not head.header(
                wire.TOLD_HEADER,
            )
        )
        if self.is_reserved:
            return None
        told = decode_outcome_header(head.header(wire.TOLD_HEADER) or b'')
        has_answer = told.verdict == Verdict.RAN.value
        headers = strip_internal_headers(end_to_end(head.headers))
        return MeshOutcome(
            verdict=Verdict(told.verdict),
            reason=Reason(told.reason) if told.reason else None,
            reached=told.reached,
            retry_after=told.retry_after,
            status=head.status if has_answer else 0,
            headers=headers if has_answer else (),
            body=body,
            state=told.state,
        )
