"""The attempts of one request, and the limits on making another."""

import enum
from collections import deque
from dataclasses import dataclass

from clementinedeal._attempt_events import (
    CancelAttempt,
    RefuseRequest,
    SendAttempt,
)
from clementinedeal._model import Preset
from clementinedeal._retry_budget import RetryBudget
from clementinedeal._verdict import Reason, Verdict

# A cancel that is not answered within this time proves nothing: the request
# may have run.
CANCEL_WAIT_SECONDS = 0.5

# Reasons after which another target may succeed.
_RETRYABLE = frozenset(
    (
        Reason.ANSWER_INCOMPLETE,
        Reason.ANSWER_WRONG,
        Reason.CONFIG_STALE,
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.QUEUE_FULL,
        Reason.TARGET_EJECTED,
        Reason.TARGET_FAILED,
        Reason.WRONG_INCARNATION,
    ),
)
# With these reasons no target did any work, so that the next attempt takes
# nothing from the retry budget and the failed one does not count.
_UNCOUNTED = frozenset(
    (
        Reason.DRAINING,
        Reason.NO_TARGET,
        Reason.TARGET_EJECTED,
        Reason.WRONG_INCARNATION,
    ),
)
# From best to worst.
_SEVERITY = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)


class AttemptPhase(enum.Enum):
    """Progress of an attempt.

    ``OPEN``: its reply is awaited. ``CANCELLING``: the answer to its cancel
    is awaited. ``CLOSED``: its verdict is final.
    """

    OPEN = 'open'
    CANCELLING = 'cancelling'
    CLOSED = 'closed'


@dataclass(slots=True)
class AttemptState:
    """What is known of one attempt.

    :param attempt_id: its id.
    :param target: name of the target that it was sent to.
    :param sent_at: monotonic time in seconds at which it was created.
    :param phase: its progress.
    :param verdict: whether it may have run; final once it is closed.
    :param cancel_until: monotonic time in seconds up to which the answer to
        its cancel is awaited; unused in the other phases.
    """

    attempt_id: str
    target: str
    sent_at: float
    phase: AttemptPhase = AttemptPhase.OPEN
    verdict: Verdict = Verdict.MAY_HAVE_RUN
    cancel_until: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRequest:
    """The properties of a request that its plan depends on.

    :param req_id: id of the request.
    :param idempotent: whether the request may run more than once.
    :param preset: the preset in force when the request came.
    :param candidates: names of the targets to try, the best first.
    :param deadline: monotonic time in seconds by which it must be answered.
    """

    req_id: str
    idempotent: bool
    preset: Preset
    candidates: tuple[str, ...]
    deadline: float


class AttemptSet:
    """Creates the attempts of one request and applies their limits.

    ``replayable`` is set to False once the request body can't be sent again.
    """

    def __init__(self, req: AttemptRequest, budget: RetryBudget) -> None:
        """Create an empty set.

        :param req: the request that the attempts are for.
        :param budget: retry budget of the request's service.
        """
        self.replayable = True
        self._req = req
        self._budget = budget
        self._candidates = deque(req.candidates)
        self._attempts: dict[str, AttemptState] = {}
        self._uncounted = 0

    def get(self, attempt_id: str) -> AttemptState | None:
        """Return an attempt, or None if it is unknown or closed.

        :param attempt_id: id of the attempt.
        """
        attempt = self._attempts.get(attempt_id)
        is_closed = attempt is None or attempt.phase is AttemptPhase.CLOSED
        return None if is_closed else attempt

    def in_phase(self, phase: AttemptPhase) -> list[AttemptState]:
        """Return the attempts that are in a phase, the oldest first.

        :param phase: the phase.
        """
        return [
            attempt
            for attempt in self._attempts.values()
            if attempt.phase is phase
        ]

    def create_first(self, now: float) -> SendAttempt | None:
        """Create the first attempt; None if there is no candidate.

        :param now: current monotonic time in seconds.
        """
        self._budget.add_first_attempt(self._req.preset.retry_ratio)
        return self._create(now) if self._candidates else None

    def create_retry(
        self, failure: RefuseRequest, now: float
    ) -> SendAttempt | None:
        """Create another attempt after a failure; None if not allowed.

        :param failure: why the last attempt failed.
        :param now: current monotonic time in seconds.
        """
        if failure.reason not in _RETRYABLE:
            return None
        if (
            not self._req.idempotent
            and self.overall_verdict() is not Verdict.NOT_RUN
        ):
            return None
        if failure.verdict is Verdict.NOT_RUN and failure.reason in _UNCOUNTED:
            self._uncounted += 1
            return self._create_if_possible(now)
        return self._create_within_limits(now)

    def create_hedge(self, now: float) -> SendAttempt | None:
        """Create an attempt beside the open ones; None if not allowed.

        Only idempotent requests may have more than one open attempt.

        :param now: current monotonic time in seconds.
        """
        if self._req.idempotent:
            return self._create_within_limits(now)
        return None

    def cancel(self, attempt: AttemptState, now: float) -> CancelAttempt:
        """Put an open attempt into the cancelling phase.

        :param attempt: an open attempt.
        :param now: current monotonic time in seconds.
        """
        attempt.phase = AttemptPhase.CANCELLING
        attempt.cancel_until = now + CANCEL_WAIT_SECONDS
        return CancelAttempt(attempt.attempt_id, attempt.target)

    def cancel_all(
        self, now: float, *, except_id: str = ''
    ) -> tuple[CancelAttempt, ...]:
        """Put all open attempts into the cancelling phase.

        :param now: current monotonic time in seconds.
        :param except_id: id of an attempt that stays open.
        """
        return tuple(
            self.cancel(attempt, now)
            for attempt in self.in_phase(AttemptPhase.OPEN)
            if attempt.attempt_id != except_id
        )

    def abandon(self, attempt: AttemptState, now: float) -> CancelAttempt:
        """Cancel an attempt whose verdict is known, without awaiting an answer.

        :param attempt: the attempt.
        :param now: current monotonic time in seconds.
        """
        cancel = self.cancel(attempt, now)
        attempt.phase = AttemptPhase.CLOSED
        return cancel

    def overall_verdict(self) -> Verdict:
        """Return the worst verdict of all attempts.

        ``RAN`` is worse than ``MAY_HAVE_RUN``, which is worse than
        ``NOT_RUN``.
        """
        return max(
            (attempt.verdict for attempt in self._attempts.values()),
            key=_SEVERITY.index,
            default=Verdict.NOT_RUN,
        )

    def _create_within_limits(self, now: float) -> SendAttempt | None:
        counted = len(self._attempts) - self._uncounted
        may_retry = counted < self._req.preset.max_attempts
        if may_retry and self._candidates and self._budget.take():
            return self._create_if_possible(now)
        return None

    def _create_if_possible(self, now: float) -> SendAttempt | None:
        is_possible = self.replayable and now < self._req.deadline
        if is_possible and self._candidates:
            return self._create(now)
        return None

    def _create(self, now: float) -> SendAttempt:
        target = self._candidates.popleft()
        attempt_id = f'{self._req.req_id}/{len(self._attempts)}'
        self._attempts[attempt_id] = AttemptState(attempt_id, target, now)
        return SendAttempt(attempt_id, target)
