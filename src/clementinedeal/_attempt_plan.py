"""Decides what the entry does with one request after each event.

The entry is the daemon that took the caller's request. The plan performs no
I/O: it takes events and returns actions, which an exchange carries out.
"""

from clementinedeal._attempt_events import (
    AbortStream,
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
    RefuseRequest,
    RelayAnswer,
    Timeout,
)
from clementinedeal._attempt_set import (
    AttemptPhase,
    AttemptRequest,
    AttemptSet,
    AttemptState,
)
from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._retry_budget import RetryBudget
from clementinedeal._verdict import Reason, Verdict

# The answer to a cancel is trusted for this long after the attempt was sent.
# It must be shorter than the time for which owners remember attempt ids.
PROOF_WINDOW_SECONDS = 60.0

_NEVER = float('inf')
# Statuses by which a target, or a proxy in front of it, says that it is
# unavailable.
_UNAVAILABLE_STATUSES = frozenset((502, 503, 504))
_CANCEL_VERDICTS = {
    CancelAnswer.NEVER_STARTED: Verdict.NOT_RUN,
    CancelAnswer.STARTED: Verdict.MAY_HAVE_RUN,
    CancelAnswer.FINISHED: Verdict.RAN,
    CancelAnswer.UNKNOWN: Verdict.MAY_HAVE_RUN,
}

AttemptActions = tuple[AttemptAction, ...]


class AttemptPlan:
    """State machine for the attempts, cancels and final verdict of a request.

    A request that may have run is sent again only if it is idempotent. Each
    further attempt goes to the next candidate and takes one unit of the retry
    budget. After a refusal like ``DRAINING`` or ``TARGET_EJECTED``, for which
    no target did any work, it takes none.

    ``finished`` is set once all further events are ignored.
    """

    def __init__(self, req: AttemptRequest, budget: RetryBudget) -> None:
        """Create a plan; ``start`` returns its first actions.

        :param req: the request to plan for.
        :param budget: retry budget of the request's service.
        """
        self.finished = False
        self._req = req
        self._attempts = AttemptSet(req, budget)
        self._hedge_at = _NEVER
        self._winner = ''
        self._failure = RefuseRequest(Verdict.NOT_RUN, Reason.NO_TARGET)

    def start(self, now: float) -> AttemptActions:
        """Return the first attempt, or a refusal if there is no candidate.

        :param now: current monotonic time in seconds.
        """
        first = self._attempts.create_first(now)
        if first is None:
            return self._conclude()
        delay = self._req.preset.hedge_after
        if self._req.idempotent and delay > 0:
            self._hedge_at = now + delay
        return (first,)

    def next_timeout(self) -> float:
        """Return when the next ``Timeout`` is due.

        The time is in monotonic seconds, infinity if none is due.
        """
        if self.finished or self._winner:
            return _NEVER
        cancelling = self._attempts.in_phase(AttemptPhase.CANCELLING)
        times = [attempt.cancel_until for attempt in cancelling]
        if self._attempts.in_phase(AttemptPhase.OPEN):
            times.extend((self._hedge_at, self._req.deadline))
        return min(times, default=_NEVER)

    def on_event(self, event: AttemptEvent, now: float) -> AttemptActions:
        """Return the actions that follow from an event, in order.

        Events of closed attempts are ignored. Once an answer is chosen for
        the caller, so are those of all other attempts.

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
        attempt: AttemptState,
        event: AttemptEvent,
        now: float,
    ) -> AttemptActions:
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
        attempt: AttemptState,
        event: AttemptFailed,
        now: float,
    ) -> AttemptActions:
        if self._winner:
            return self._abort_stream(Verdict.RAN, event.reason)
        failure = RefuseRequest(event.verdict, event.reason, event.retry_after)
        return self._close_attempt(attempt, failure, now)

    def _on_connection_lost(
        self, attempt: AttemptState, now: float
    ) -> AttemptActions:
        if self._winner:
            return self._abort_stream(Verdict.RAN, Reason.ANSWER_INCOMPLETE)
        if attempt.phase is AttemptPhase.CANCELLING:
            return ()
        return (self._attempts.cancel(attempt, now),)

    def _on_head(
        self,
        attempt: AttemptState,
        event: AnswerHead,
        now: float,
    ) -> AttemptActions:
        if event.status in _UNAVAILABLE_STATUSES:
            # If another attempt is allowed, this answer is discarded for it.
            retry = self._attempts.create_hedge(now)
            if retry is not None:
                attempt.verdict = Verdict.RAN
                return self._attempts.abandon(attempt, now), retry
        self._winner = attempt.attempt_id
        cancels = self._attempts.cancel_all(now, except_id=self._winner)
        return (RelayAnswer(attempt.attempt_id), *cancels)

    def _on_incomplete(
        self,
        attempt: AttemptState,
        event: AnswerIncomplete,
        now: float,
    ) -> AttemptActions:
        is_wrong = event.reason is Reason.ANSWER_WRONG
        verdict = Verdict.MAY_HAVE_RUN if is_wrong else Verdict.RAN
        if event.is_partly_sent:
            return self._abort_stream(verdict, event.reason)
        self._winner = ''
        return self._close_attempt(
            attempt, RefuseRequest(verdict, event.reason), now
        )

    def _on_cancel_answered(
        self,
        attempt: AttemptState,
        event: CancelAnswered,
        now: float,
    ) -> AttemptActions:
        if attempt.phase is not AttemptPhase.CANCELLING:
            return ()
        verdict = _CANCEL_VERDICTS[event.answer]
        if now - attempt.sent_at > PROOF_WINDOW_SECONDS:
            verdict = Verdict.MAY_HAVE_RUN
        return self._close_attempt(
            attempt, self._timeout_failure(verdict, now), now
        )

    def _on_timeout(self, now: float) -> AttemptActions:
        if self._winner:
            return ()
        actions: list[AttemptAction] = []
        if now >= self._req.deadline:
            actions.extend(self._attempts.cancel_all(now))
        elif now >= self._hedge_at:
            self._hedge_at = _NEVER
            hedge = self._attempts.create_hedge(now)
            actions.extend((hedge,) if hedge else ())
        for attempt in self._attempts.in_phase(AttemptPhase.CANCELLING):
            if now >= attempt.cancel_until:
                failure = self._timeout_failure(Verdict.MAY_HAVE_RUN, now)
                actions.extend(self._close_attempt(attempt, failure, now))
        return tuple(actions)

    def _close_attempt(
        self, attempt: AttemptState, failure: RefuseRequest, now: float
    ) -> AttemptActions:
        attempt.phase = AttemptPhase.CLOSED
        attempt.verdict = failure.verdict
        self._failure = failure
        if self._attempts.in_phase(AttemptPhase.OPEN):
            return ()
        retry = self._attempts.create_retry(failure, now)
        if retry is not None:
            return (retry,)
        cancelling = self._attempts.in_phase(AttemptPhase.CANCELLING)
        return () if cancelling else self._conclude()

    def _timeout_failure(self, verdict: Verdict, now: float) -> RefuseRequest:
        is_late = now >= self._req.deadline
        reason = Reason.DEADLINE if is_late else Reason.TARGET_FAILED
        return RefuseRequest(verdict, reason)

    def _conclude(self) -> AttemptActions:
        self.finished = True
        failure = self._failure
        verdict = self._attempts.overall_verdict()
        return (RefuseRequest(verdict, failure.reason, failure.retry_after),)

    def _abort_stream(self, verdict: Verdict, reason: Reason) -> AttemptActions:
        self.finished = True
        return (AbortStream(verdict, reason),)

    def _lost_to_winner(self, attempt: AttemptState) -> bool:
        return bool(self._winner) and self._winner != attempt.attempt_id
