"""The entry's side of idempotency keys.

The entry is the daemon that took the caller's request. It claims the key from
its keeper, the daemon that stores the key's record, before the request runs,
and reports the outcome afterwards.
"""

from dataclasses import dataclass

from clementinedeal._key_messages import (
    ClaimAnswer,
    ClaimKey,
    ClaimOutcome,
    SettleKey,
    StoredAnswer,
)
from clementinedeal._messages import Send
from clementinedeal._verdict import Reason, Verdict

# How long a claim may remain unanswered by the key's keeper.
CLAIM_TIMEOUT_SECONDS = 1.0
# Interval at which an unconfirmed settlement is sent again.
SETTLE_RETRY_SECONDS = 0.5
MAX_SETTLE_TRIES = 20  # messages for one settlement that is not confirmed


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """Action: the key was claimed for the request, which may run."""

    req_id: str


@dataclass(frozen=True, slots=True)
class Replay:
    """Action: answer the request with the stored answer of the first one."""

    req_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """Action: refuse the request.

    ``verdict`` is what is known of the execution of an earlier request with
    this key: ``NOT_RUN`` if no such request is known.
    """

    req_id: str
    reason: Reason
    verdict: Verdict
    retry_after_seconds: float = 0.0


ClaimAction = Send | ClaimGranted | Replay | ClaimRefused
ClaimActions = tuple[ClaimAction, ...]

_REFUSALS = {
    ClaimOutcome.IN_PROGRESS: (Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN),
    ClaimOutcome.IN_DOUBT: (Reason.DUPLICATE, Verdict.MAY_HAVE_RUN),
    ClaimOutcome.DONE: (Reason.DUPLICATE, Verdict.RAN),
    ClaimOutcome.CONFLICT: (Reason.KEY_REUSED, Verdict.NOT_RUN),
    ClaimOutcome.QUARANTINED: (Reason.KEEPER_UNAVAILABLE, Verdict.NOT_RUN),
    ClaimOutcome.FULL: (Reason.KEEPER_UNAVAILABLE, Verdict.NOT_RUN),
}


@dataclass(slots=True)
class _PendingClaim:
    """A claim that was sent; ``give_up_at`` is in monotonic seconds."""

    keeper: str
    claim: ClaimKey
    give_up_at: float


@dataclass(slots=True)
class _PendingSettlement:
    """A settlement that is sent again until the keeper confirms it.

    ``send_at`` is the monotonic time in seconds at which ``message`` is sent
    next, ``tries`` how often it was sent.
    """

    keeper: str
    message: SettleKey
    send_at: float
    tries: int = 0


class Claims:
    """All claims of one entry: unanswered, granted or being settled."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._unanswered: dict[str, _PendingClaim] = {}
        self._granted: dict[str, _PendingClaim] = {}
        self._settlements: dict[str, _PendingSettlement] = {}

    def claim(self, keeper: str, claim: ClaimKey, now: float) -> ClaimActions:
        """Send a claim to a keeper.

        :param keeper: instance name.
        :param claim: the claim.
        :param now: current monotonic time in seconds.
        """
        pending = _PendingClaim(keeper, claim, now + CLAIM_TIMEOUT_SECONDS)
        self._unanswered[claim.req_id] = pending
        return (Send(keeper, claim),)

    def on_answer(self, answer: ClaimAnswer, now: float) -> ClaimActions:
        """Decide on a request by its keeper's answer.

        :param answer: the answer; ignored if it comes too late.
        :param now: current monotonic time in seconds.
        """
        pending = self._unanswered.get(answer.req_id)
        if pending is None or pending.give_up_at <= now:
            return ()
        self._unanswered.pop(answer.req_id)
        if answer.outcome is ClaimOutcome.NEW:
            self._granted[answer.req_id] = pending
            return (ClaimGranted(answer.req_id),)
        if answer.outcome is ClaimOutcome.DONE and answer.answer:
            return (Replay(answer.req_id, answer.answer),)
        reason, verdict = _REFUSALS[answer.outcome]
        refusal = ClaimRefused(
            answer.req_id,
            reason,
            verdict,
            answer.retry_after,
        )
        return (refusal,)

    def settle(
        self,
        req_id: str,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: float,
    ) -> ClaimActions:
        """Report a request's outcome to the keeper until it confirms it.

        :param req_id: id of the request; ignored if it has no claim. A claim
            that is not answered yet ends here, and is not granted any more.
        :param verdict: what is known of the request's execution.
        :param answer: answer to replay to repeated requests, if any.
        :param now: current monotonic time in seconds.
        """
        pending = self._granted.pop(req_id, None)
        pending = pending or self._unanswered.pop(req_id, None)
        if pending is None:
            return ()
        return self._settle(pending, verdict, answer, now)

    def on_settled(self, req_id: str) -> None:
        """Stop sending a settlement, as the keeper confirmed it.

        :param req_id: id of the settled request.
        """
        self._settlements.pop(req_id, None)

    def on_tick(self, now: float) -> ClaimActions:
        """Refuse requests whose claim got no answer; repeat settlements.

        :param now: current monotonic time in seconds.
        """
        actions: list[ClaimAction] = []
        late = [
            pending
            for pending in self._unanswered.values()
            if pending.give_up_at <= now
        ]
        for pending in late:
            actions.extend(self._give_up(pending, now))
        for settlement in tuple(self._settlements.values()):
            if settlement.send_at <= now:
                actions.append(self._send(settlement, now))
        return tuple(actions)

    @property
    def unsettled(self) -> int:
        """Number of requests whose outcome the keeper has not confirmed."""
        return len(self._granted) + len(self._settlements)

    def _give_up(self, pending: _PendingClaim, now: float) -> ClaimActions:
        req_id = pending.claim.req_id
        self._unanswered.pop(req_id)
        refusal = ClaimRefused(
            req_id,
            Reason.KEEPER_UNAVAILABLE,
            Verdict.NOT_RUN,
            CLAIM_TIMEOUT_SECONDS,
        )
        return refusal, *self._settle(pending, Verdict.NOT_RUN, None, now)

    def _settle(
        self,
        pending: _PendingClaim,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: float,
    ) -> ClaimActions:
        claim = pending.claim
        message = SettleKey(
            key=claim.key,
            fingerprint=claim.fingerprint,
            req_id=claim.req_id,
            verdict=verdict,
            answer=answer,
        )
        settlement = _PendingSettlement(pending.keeper, message, now)
        self._settlements[claim.req_id] = settlement
        return (self._send(settlement, now),)

    def _send(self, settlement: _PendingSettlement, now: float) -> Send:
        settlement.tries += 1
        settlement.send_at = now + SETTLE_RETRY_SECONDS
        if settlement.tries >= MAX_SETTLE_TRIES:
            self._settlements.pop(settlement.message.req_id, None)
        return Send(settlement.keeper, settlement.message)
