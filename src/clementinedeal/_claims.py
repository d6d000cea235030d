"""The entry's side of idempotency keys: claims before, settles after."""

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

CLAIM_SECONDS = 1.0
SETTLE_RETRY_SECONDS = 0.5
SETTLE_TRIES = 20


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """Action: the request may run."""

    req_id: str


@dataclass(frozen=True, slots=True)
class Replay:
    """Action: give the caller the answer of the first request."""

    req_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """Action: refuse the request.

    ``verdict`` is ``NOT_RUN`` if nothing is known of an earlier request
    with this key. ``retry_after`` is in seconds.
    """

    req_id: str
    reason: Reason
    verdict: Verdict
    retry_after: float = 0.0


ClaimAction = Send | ClaimGranted | Replay | ClaimRefused
Actions = tuple[ClaimAction, ...]

_REFUSALS = {
    ClaimOutcome.IN_PROGRESS: (Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN),
    ClaimOutcome.IN_DOUBT: (Reason.DUPLICATE, Verdict.MAY_HAVE_RUN),
    ClaimOutcome.DONE: (Reason.DUPLICATE, Verdict.RAN),
    ClaimOutcome.CONFLICT: (Reason.KEY_REUSED, Verdict.NOT_RUN),
    ClaimOutcome.QUARANTINED: (Reason.KEEPER_UNAVAILABLE, Verdict.NOT_RUN),
    ClaimOutcome.FULL: (Reason.KEEPER_UNAVAILABLE, Verdict.NOT_RUN),
}


@dataclass(slots=True)
class _Waiting:
    keeper: str
    claim: ClaimKey
    give_up_at: float


@dataclass(slots=True)
class _Settling:
    keeper: str
    settled: SettleKey
    send_at: float
    tries: int = 0


class Claims:
    """Claims that this entry waits for, holds or settles."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._waiting: dict[str, _Waiting] = {}
        self._granted: dict[str, _Waiting] = {}
        self._settling: dict[str, _Settling] = {}

    def claim(self, keeper: str, claim: ClaimKey, now: float) -> Actions:
        """Ask a keeper.

        :param keeper: instance name.
        :param claim: the claim.
        :param now: current monotonic time in seconds.
        """
        waiting = _Waiting(keeper, claim, now + CLAIM_SECONDS)
        self._waiting[claim.req_id] = waiting
        return (Send(keeper, claim),)

    def on_answer(self, answer: ClaimAnswer, now: float) -> Actions:
        """Decide on a request after its keeper's answer.

        :param answer: from the keeper; late ones have no effect.
        :param now: current monotonic time in seconds.
        """
        waiting = self._waiting.get(answer.req_id)
        if waiting is None or waiting.give_up_at <= now:
            return ()
        self._waiting.pop(answer.req_id)
        if answer.outcome is ClaimOutcome.NEW:
            self._granted[answer.req_id] = waiting
            return (ClaimGranted(answer.req_id),)
        if answer.outcome is ClaimOutcome.DONE and answer.answer:
            return (Replay(answer.req_id, answer.answer),)
        reason, verdict = _REFUSALS[answer.outcome]
        refused = ClaimRefused(
            answer.req_id,
            reason,
            verdict,
            answer.retry_after,
        )
        return (refused,)

    def settle(
        self,
        req_id: str,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: float,
    ) -> Actions:
        """Tell the keeper what a request came to, until it hears.

        :param req_id: the request; without a claim nothing is done. One
            that still waits for its claim ends here and is never granted.
        :param verdict: what is known of its execution.
        :param answer: to be replayed to repeats, if there is one.
        :param now: current monotonic time in seconds.
        """
        waiting = self._granted.pop(req_id, None)
        waiting = waiting or self._waiting.pop(req_id, None)
        if waiting is None:
            return ()
        return self._settle(waiting, verdict, answer, now)

    def on_settled(self, req_id: str) -> None:
        """Stop telling the keeper.

        :param req_id: the settled request.
        """
        self._settling.pop(req_id, None)

    def on_tick(self, now: float) -> Actions:
        """Refuse claims without an answer and repeat settlements.

        :param now: current monotonic time in seconds.
        """
        actions: list[ClaimAction] = []
        late = [
            waiting
            for waiting in self._waiting.values()
            if waiting.give_up_at <= now
        ]
        for waiting in late:
            actions.extend(self._give_up(waiting, now))
        for settling in tuple(self._settling.values()):
            if settling.send_at <= now:
                actions.append(self._send(settling, now))
        return tuple(actions)

    @property
    def unsettled(self) -> int:
        """Number of requests whose outcome the keeper has not confirmed."""
        return len(self._granted) + len(self._settling)

    def _give_up(self, waiting: _Waiting, now: float) -> Actions:
        req_id = waiting.claim.req_id
        self._waiting.pop(req_id)
        refused = ClaimRefused(
            req_id,
            Reason.KEEPER_UNAVAILABLE,
            Verdict.NOT_RUN,
            CLAIM_SECONDS,
        )
        return refused, *self._settle(waiting, Verdict.NOT_RUN, None, now)

    def _settle(
        self,
        waiting: _Waiting,
        verdict: Verdict,
        answer: StoredAnswer | None,
        now: float,
    ) -> Actions:
        claim = waiting.claim
        settled = SettleKey(
            key=claim.key,
            fingerprint=claim.fingerprint,
            req_id=claim.req_id,
            verdict=verdict,
            answer=answer,
        )
        settling = _Settling(waiting.keeper, settled, now)
        self._settling[claim.req_id] = settling
        return (self._send(settling, now),)

    def _send(self, settling: _Settling, now: float) -> Send:
        settling.tries += 1
        settling.send_at = now + SETTLE_RETRY_SECONDS
        if settling.tries >= SETTLE_TRIES:
            self._settling.pop(settling.settled.req_id, None)
        return Send(settling.keeper, settling.settled)
