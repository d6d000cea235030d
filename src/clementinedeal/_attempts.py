"""The entry's plan for one request: attempts, cancels, final verdict."""

from clementinedeal._attempt_events import (
    AnswerComplete,
    AnswerHead,
    AnswerIncomplete,
    AttemptAction,
    AttemptEvent,
    AttemptFailed,
    BodyNotReplayable,
    CallerLeft,
    CancelAnswered,
    ConnectionLost,
    CutStream,
    GiveUp,
    Reply,
    Timeout,
)
from clementinedeal._attempt_set import (
    Attempt,
    AttemptRequest,
    AttemptSet,
    Phase,
)
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._retry_budget import RetryBudget
from clementinedeal._verdict import Reason, Verdict

PROOF_WINDOW_SECONDS = 60.0  # below the owners' retention of attempt ids

_NEVER = float('inf')
_UNAVAILABLE_STATUSES = frozenset((502, 503, 504))
_CANCEL_VERDICTS = {
    CancelAnswer.NEVER_STARTED: Verdict.NOT_RUN,
    CancelAnswer.STARTED: Verdict.MAY_HAVE_RUN,
    CancelAnswer.FINISHED: Verdict.RAN,
    CancelAnswer.UNKNOWN: Verdict.MAY_HAVE_RUN,
}

Actions = tuple[AttemptAction, ...]


class AttemptPlan:
    """Decides what to do with one request after each event.

    A request that may have run is sent again only if it is idempotent. Each
    further attempt takes the next candidate and a unit of the budget.
    ``finished`` tells that no event matters any more.
    """

    def __init__(self, req: AttemptRequest, budget: RetryBudget) -> None:
        """Create a plan; ``start`` begins it.

        :param req: the request.
        :param budget: retry budget of the request's service.
        """
        self.finished = False
        self._req = req
        self._attempts = AttemptSet(req, budget)
        self._hedge_at = _NEVER
        self._winner = ''
        self._failure = GiveUp(Verdict.NOT_RUN, Reason.NO_TARGET)

    def start(self, now: float) -> Actions:
        """Make the first attempt.

        :param now: current monotonic time in seconds.
        """
        forward = self._attempts.first(now)
        if forward is None:
            return self._conclude()
        delay = self._req.preset.hedge_after
        if self._req.idempotent and delay > 0:
            self._hedge_at = now + delay
        return (forward,)

    def due(self) -> float:
        """Return the monotonic time for the next ``Timeout``, or infinity."""
        if self.finished or self._winner:
            return _NEVER
        cancelling = self._attempts.in_phase(Phase.CANCELLING)
        times = [attempt.cancel_until for attempt in cancelling]
        if self._attempts.in_phase(Phase.OPEN):
            times.extend((self._hedge_at, self._req.deadline))
        return min(times, default=_NEVER)

    def on_event(self, event: AttemptEvent, now: float) -> Actions:
        """Return what to do after an event.

        :param event: what happened.
        :param now: current monotonic time in seconds.
        """
        if self.finished:
            return ()
        match event:
            case Timeout():
                return self._on_timeout(now)
            case BodyNotReplayable():
                self._attempts.replayable = False
                return ()
            case CallerLeft():
                self.finished = True
                return self._attempts.cancel_all(now)
        attempt = self._attempts.get(event.attempt_id)
        if attempt is None or self._lost_to_winner(attempt):
            return ()
        return self._on_attempt_event(attempt, event, now)

    def _on_attempt_event(
        self,
        attempt: Attempt,
        event: AttemptEvent,
        now: float,
    ) -> Actions:
        match event:
            case AttemptFailed():
                return self._on_failed(attempt, event, now)
            case ConnectionLost():
                return self._on_connection_lost(attempt, now)
            case AnswerHead():
                return self._on_head(attempt, event, now)
            case AnswerIncomplete():
                return self._on_incomplete(attempt, event, now)
            case AnswerComplete():
                self.finished = True
            case CancelAnswered():
                return self._on_cancel_answered(attempt, event, now)
        return ()

    def _on_failed(
        self,
        attempt: Attempt,
        event: AttemptFailed,
        now: float,
    ) -> Actions:
        if self._winner:
            return self._cut(Verdict.RAN, event.reason)
        failure = GiveUp(event.verdict, event.reason, event.retry_after)
        return self._close(attempt, failure, now)

    def _on_connection_lost(self, attempt: Attempt, now: float) -> Actions:
        if self._winner:
            return self._cut(Verdict.RAN, Reason.ANSWER_INCOMPLETE)
        if attempt.phase is Phase.CANCELLING:
            return ()
        return (self._attempts.cancel(attempt, now),)

    def _on_head(
        self,
        attempt: Attempt,
        event: AnswerHead,
        now: float,
    ) -> Actions:
        if event.status in _UNAVAILABLE_STATUSES:
            retry = self._attempts.hedge(now)
            if retry is not None:
                attempt.verdict = Verdict.RAN
                return self._attempts.abandon(attempt, now), retry
        self._winner = attempt.attempt_id
        losers = self._attempts.cancel_all(now, but=self._winner)
        return (Reply(attempt.attempt_id), *losers)

    def _on_incomplete(
        self,
        attempt: Attempt,
        event: AnswerIncomplete,
        now: float,
    ) -> Actions:
        wrong = event.reason is Reason.ANSWER_WRONG
        verdict = Verdict.MAY_HAVE_RUN if wrong else Verdict.RAN
        if event.sent:
            return self._cut(verdict, event.reason)
        self._winner = ''
        return self._close(attempt, GiveUp(verdict, event.reason), now)

    def _on_cancel_answered(
        self,
        attempt: Attempt,
        event: CancelAnswered,
        now: float,
    ) -> Actions:
        if attempt.phase is not Phase.CANCELLING:
            return ()
        verdict = _CANCEL_VERDICTS[event.answer]
        if now - attempt.sent_at > PROOF_WINDOW_SECONDS:
            verdict = Verdict.MAY_HAVE_RUN
        return self._close(attempt, self._timed_out(verdict, now), now)

    def _on_timeout(self, now: float) -> Actions:
        if self._winner:
            return ()
        actions: list[AttemptAction] = []
        if now >= self._req.deadline:
            actions.extend(self._attempts.cancel_all(now))
        elif now >= self._hedge_at:
            self._hedge_at = _NEVER
            hedge = self._attempts.hedge(now)
            actions.extend((hedge,) if hedge else ())
        for attempt in self._attempts.in_phase(Phase.CANCELLING):
            if now >= attempt.cancel_until:
                failure = self._timed_out(Verdict.MAY_HAVE_RUN, now)
                actions.extend(self._close(attempt, failure, now))
        return tuple(actions)

    def _close(self, attempt: Attempt, failure: GiveUp, now: float) -> Actions:
        attempt.phase = Phase.CLOSED
        attempt.verdict = failure.verdict
        self._failure = failure
        if self._attempts.in_phase(Phase.OPEN):
            return ()
        retry = self._attempts.retry(failure, now)
        if retry is not None:
            return (retry,)
        waiting = self._attempts.in_phase(Phase.CANCELLING)
        return () if waiting else self._conclude()

    def _timed_out(self, verdict: Verdict, now: float) -> GiveUp:
        late = now >= self._req.deadline
        reason = Reason.DEADLINE if late else Reason.TARGET_FAILED
        return GiveUp(verdict, reason)

    def _conclude(self) -> Actions:
        self.finished = True
        failure = self._failure
        verdict = self._attempts.verdict()
        return (GiveUp(verdict, failure.reason, failure.retry_after),)

    def _cut(self, verdict: Verdict, reason: Reason) -> Actions:
        self.finished = True
        return (CutStream(verdict, reason),)

    def _lost_to_winner(self, attempt: Attempt) -> bool:
        return bool(self._winner) and self._winner != attempt.attempt_id
