"""Lets a request with an idempotency key run at most once."""

import hashlib
from collections.abc import Iterable
from typing import Any

import trio

from clementinedeal._claims import ClaimGranted, ClaimRefused, Replay
from clementinedeal._dispatch import Dispatcher, Waiters
from clementinedeal._exchange import ExchangeResult
from clementinedeal._http import Headers, ResponseHead, strip_hop_by_hop_headers
from clementinedeal._idempotency import IdempotencyManager
from clementinedeal._incoming_request import IncomingRequest
from clementinedeal._key_messages import StoredAnswer
from clementinedeal._refusals import Refusal
from clementinedeal._replies import TargetAnswer, WholeBody
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict

# An answer with a larger body is not stored; repeated requests are refused as
# duplicates.
MAX_STORED_BODY_BYTES = 16384
_STORED_HEADERS = frozenset(
    (
        b'content-type',
        b'content-digest',
        b'content-encoding',
        b'location',
    )
)
_FINGERPRINT_BYTES = 16

_Decision = ClaimGranted | ClaimRefused | Replay


class KeyGate:
    """Claims keys before requests run and settles them afterwards.

    Implements ``IdempotencyGate``. Only requests that have a client account,
    a key and a route that is not idempotent claim their key.
    """

    def __init__(
        self,
        manager: IdempotencyManager,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        """Create a gate and register for the manager's decisions.

        :param manager: grants, refuses and settles claims.
        :param dispatcher: performs the manager's actions.
        :param clock: clock of the times that the manager is given.
        """
        self._manager = manager
        self._dispatcher = dispatcher
        self._clock = clock
        self._waiters: Waiters[_Decision] = Waiters()
        for kind in (ClaimGranted, ClaimRefused, Replay):
            dispatcher.register(kind, self._on_decision)

    async def claim(
        self, incoming: IncomingRequest
    ) -> Refusal | TargetAnswer | None:
        """Claim the request's key.

        Return None if the request may run, the stored answer of the first
        request, or a refusal. A body that is too large to buffer has no
        fingerprint, so a request that has both a key and such a body is
        refused.

        :param incoming: the request; one that needs no claim may always run.
        """
        if not _needs_claim(incoming):
            return None
        if incoming.req.body.whole is None:
            return Refusal(Verdict.NOT_RUN, Reason.BODY_TOO_LARGE)
        self._waiters.expect(incoming.req_id)
        now = self._clock.now()
        self._perform(
            self._manager.claim(
                incoming.req_id,
                incoming.account,
                incoming.idempotency_key,
                _fingerprint(incoming),
                incoming.deadline - now,
                now,
            ),
        )
        decision = await self._wait_for_decision(incoming.req_id)
        match decision:
            case ClaimGranted():
                return None
            case Replay():
                return _from_stored(decision.answer)
        return Refusal(
            decision.verdict,
            decision.reason,
            decision.retry_after_seconds,
        )

    def settle(self, incoming: IncomingRequest, result: ExchangeResult) -> None:
        """Store the outcome of a request whose key was granted.

        :param incoming: the request; ignored if it has no key.
        :param result: its answer or refusal.
        """
        if not _needs_claim(incoming):
            return
        verdict = result.refusal.verdict if result.refusal else Verdict.RAN
        answer = _to_stored(result.answer) if result.answer else None
        now = self._clock.now()
        self._perform(
            self._manager.complete(incoming.req_id, verdict, answer, now),
        )

    async def _wait_for_decision(self, req_id: str) -> _Decision:
        try:
            return await self._waiters.wait(req_id)
        except trio.Cancelled:
            now = self._clock.now()
            self._perform(
                self._manager.complete(req_id, Verdict.NOT_RUN, None, now),
            )
            raise

    def _on_decision(self, decision: _Decision) -> None:
        self._waiters.resolve(decision.req_id, decision)

    def _perform(self, actions: Iterable[Any]) -> None:
        self._dispatcher.perform(actions)


def _needs_claim(incoming: IncomingRequest) -> bool:
    return bool(
        incoming.account
        and incoming.idempotency_key
        and not incoming.granted.route.idempotent,
    )


def _fingerprint(incoming: IncomingRequest) -> str:
    head = incoming.req.head
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    digest.update(f'{head.method} {head.path}\n'.encode())
    digest.update(incoming.req.body.whole or b'')
    return digest.hexdigest()


def _to_stored(answer: TargetAnswer) -> StoredAnswer | None:
    whole = answer.body.whole
    if whole is None or len(whole) > MAX_STORED_BODY_BYTES:
        return None
    headers = tuple(
        (name.decode('latin-1'), text.decode('latin-1'))
        for name, text in strip_hop_by_hop_headers(answer.head.headers)
        if name in _STORED_HEADERS
    )
    return StoredAnswer(answer.head.status, headers, whole)


def _from_stored(stored: StoredAnswer) -> TargetAnswer:
    headers: Headers = tuple(
        (name.encode('latin-1'), text.encode('latin-1'))
        for name, text in stored.headers
    )
    head = ResponseHead(stored.status, headers)
    return TargetAnswer(head, WholeBody(stored.body))
