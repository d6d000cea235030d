"""Sends attempts to other daemons and queries the outcome of lost ones."""

import msgspec
import trio

from clementinedeal._client_conn import ClientConn
from clementinedeal._errors import DECODE_ERRORS
from clementinedeal._events import log
from clementinedeal._http import (
    CONTENT_LENGTH,
    READ_BYTES,
    Body,
    ConnLostError,
    HttpError,
    RequestHead,
    TooLongError,
    strip_hop_by_hop_headers,
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

# An owner confirms a request within one round trip. Without a confirmation in
# this time the request or its answer counts as lost.
CONFIRM_SECONDS = 0.3
# Added for a large body: half of what the slowest link carries, 5 Mbit/s.
MIN_SEND_BYTES_PER_SECOND = 300_000
# Time from the last confirmation until an owner without an answer is queried.
MAX_SILENCE_SECONDS = 2.5
# How long an owner that cannot be reached is queried. The time starts again
# with each confirmation: an owner that still runs the request is queried until
# the answer is due.
QUERY_SECONDS = 2.0
# Pause between queries.
QUERY_PAUSE_SECONDS = 0.1
# ValueError: a newer owner may send a verdict or reason unknown here.
_ANSWER_ERRORS = (ConnLostError, HttpError, ValueError, *DECODE_ERRORS)


class MeshPeerClient:
    """Sends attempts to the daemons that own their targets.

    If the answer to an attempt is lost, the owner is asked for the outcome
    over new connections. The request itself is not sent again.
    """

    def __init__(self, pool: ConnPool, clock: Clock) -> None:
        """Create a client.

        :param pool: connections.
        :param clock: monotonic time that goes on while the system is
            suspended.
        """
        self._pool = pool
        self._clock = clock

    async def send_attempt(
        self,
        address: str,
        attempt: MeshAttempt,
        request: BufferedRequest,
        pending: PendingAttempt,
    ) -> MeshOutcome:
        """Send an attempt to an owner and return its outcome.

        A request that must not run twice, or takes over from another attempt,
        is sent in two steps: first a slot is reserved, then the body is sent.
        The request cannot run without its body, so that a connection lost
        before the second step proves that it did not run.

        :param address: ``ip:port`` of the owner.
        :param attempt: the attempt.
        :param request: the request with its body.
        :param pending: state of the attempt; ``sent`` is set before anything
            is sent that may run.
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
                pending,
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
        pending: PendingAttempt,
    ) -> MeshOutcome:
        needs_slot = not attempt.idempotent or pending.on_granted is not None
        if needs_slot:
            refusal = await self._reserve(address, conn, attempt)
            if refusal is not None:
                return await self._release(address, conn, refusal)
        pending.sent = True
        if pending.on_granted is not None:
            pending.on_granted()
        sent_at = self._clock.now()
        head = _build_head(attempt, request, has_slot=needs_slot)
        exchange = _Exchange(
            address, conn, attempt.attempt, MAX_SILENCE_SECONDS
        )
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
        """Reserve a slot; return None if granted, else why not."""
        text = msgspec.json.encode(attempt)
        head = RequestHead(
            'GET', '/', ((b'host', b'-'), (wire.RESERVE_HEADER, text))
        )
        # an attempt in a queue is silent for up to ``wait``; at the deadline
        # it has not run, since its body was not sent
        max_silence = max(MAX_SILENCE_SECONDS, attempt.wait + CONFIRM_SECONDS)
        max_silence = min(max_silence, attempt.left)
        exchange = _Exchange(address, conn, attempt.attempt, max_silence)
        outcome = await exchange.run(head, b'')
        if exchange.is_reserved and conn.prepare_next():
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
        """Query the outcome of an attempt over new connections."""
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
            exchange = _Exchange(
                address, conn, attempt.attempt, MAX_SILENCE_SECONDS
            )
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


def _build_head(
    attempt: MeshAttempt, request: BufferedRequest, *, has_slot: bool
) -> RequestHead:
    length = (CONTENT_LENGTH, b'%d' % len(request.body))
    attempt_header = (wire.ATTEMPT_HEADER, msgspec.json.encode(attempt))
    if has_slot:
        attempt_header = (wire.RUN_HEADER, attempt.attempt.encode())
    return RequestHead(
        request.method,
        request.path,
        (*request.headers, length, attempt_header),
    )


class _Exchange:
    """One request to an owner and its answer.

    ``is_reserved``: the answer grants a slot. ``is_confirmed``: the owner sent
    an interim response, so that it has the request. ``max_silence`` is how
    long nothing may arrive after that, in seconds. An answer that names
    another attempt than ``attempt_id`` is no outcome.
    """

    def __init__(
        self,
        address: str,
        conn: ClientConn,
        attempt_id: str,
        max_silence: float,
    ) -> None:
        self._address = address
        self._conn = conn
        self._attempt_id = attempt_id
        self._max_silence = max_silence
        self._scope = trio.CancelScope()
        self.is_reserved = False
        self.is_confirmed = False

    async def run(self, head: RequestHead, body: Body) -> MeshOutcome | None:
        """Send the request; return the outcome that the owner sent, if any.

        :param head: the head of the request.
        :param body: its whole body.
        :return: None if the exchange failed, timed out or granted a slot.
        """
        seconds = CONFIRM_SECONDS + len(body) / MIN_SEND_BYTES_PER_SECOND
        self._scope.deadline = trio.current_time() + seconds
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
        self._on_received()

    def _on_received(self) -> None:
        """Extend the time limit: a large answer takes long on a slow link."""
        self._scope.deadline = trio.current_time() + self._max_silence

    async def _read_outcome(self) -> MeshOutcome | None:
        head = await self._conn.read_head(self._on_confirmed)
        self._on_received()
        body = await self._conn.read_whole(
            MAX_ANSWER_BYTES + READ_BYTES, self._on_received
        )
        self.is_reserved = (
            head.status == wire.RESERVED_STATUS
            and not head.header(
                wire.TOLD_HEADER,
            )
        )
        if self.is_reserved:
            return None
        outcome_header = decode_outcome_header(
            head.header(wire.TOLD_HEADER) or b''
        )
        if outcome_header.attempt not in {'', self._attempt_id}:
            log.warning(
                'event=foreign-outcome address=%s attempt=%s other=%s',
                self._address,
                self._attempt_id,
                outcome_header.attempt,
            )
            return None
        has_answer = outcome_header.verdict == Verdict.RAN.value
        headers = strip_internal_headers(strip_hop_by_hop_headers(head.headers))
        return MeshOutcome(
            verdict=Verdict(outcome_header.verdict),
            reason=Reason(outcome_header.reason)
            if outcome_header.reason
            else None,
            reached=outcome_header.reached,
            retry_after=outcome_header.retry_after,
            status=head.status if has_answer else 0,
            headers=headers if has_answer else (),
            body=body,
            state=outcome_header.state,
        )
