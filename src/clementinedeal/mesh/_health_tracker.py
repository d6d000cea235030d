"""Tracks the health of the owned target and limits its requests if suspect."""

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason
from clementinedeal.mesh import _health as evidence
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._health import HealthEstimate
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome

# A target with a higher risk is suspect: its owner accepts only trials and
# attempts that insist.
MAX_TRUSTED_RISK = 0.35
# Minimum time from one trial of a suspect target to a ``scout`` attempt. A
# trial that fails loses a request or costs a retry, and a sick target stays
# sick for about 4 s.
SCOUT_INTERVAL_SECONDS = 0.8
# Minimum time from one trial to a ``spare`` attempt, which can be retried at
# another target. Whether sick or not, a target that gets no request for 2 s
# counts as unused.
SPARE_INTERVAL_SECONDS = 1.5


class HealthTracker:
    """Turns outcomes into evidence and decides whether to trust the target."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        call_failures: CallFailures,
    ) -> None:
        """Create a tracker without evidence.

        :param clock: monotonic time.
        :param events: log of changes between trusted and suspect.
        :param call_failures: recent failures of the calls that the target made.
        """
        self._clock = clock
        self._events = events
        self._call_failures = call_failures
        self._estimate = HealthEstimate(clock)
        self._was_trusted = True
        self._last_trial_at = float('-inf')
        self._target = ''

    @property
    def risk(self) -> float:
        """Probability that the target is sick now."""
        return self._estimate.risk()

    @property
    def is_trusted(self) -> bool:
        """Whether the target accepts requests without restriction."""
        return self.risk <= MAX_TRUSTED_RISK

    def reset(self, target: str) -> None:
        """Discard all evidence, because the target's process was replaced.

        :param target: name of the target.
        """
        self._target = target
        self._estimate.reset()

    def claim_trial(self, attempt: MeshAttempt) -> bool:
        """Accept an attempt as a trial of a suspect target, if one is due.

        :param attempt: an attempt; only ``scout`` and ``spare`` ones qualify.
        :return: whether the attempt goes to the target as a trial.
        """
        if self.is_trusted:
            return False
        now = self._clock.now()
        interval = (
            SCOUT_INTERVAL_SECONDS if attempt.scout else SPARE_INTERVAL_SECONDS
        )
        if (
            not (attempt.scout or attempt.spare)
            or now < self._last_trial_at + interval
        ):
            return False
        self._last_trial_at = now
        return True

    async def observe_progress(self, attempt: MeshAttempt) -> None:
        """Record evidence while a request runs, until cancelled.

        A request without an early failure is evidence for a well target, one
        without an answer within the latency objective for a sick one.

        :param attempt: an attempt that has just been sent to the target.
        """
        await trio.sleep(evidence.SURVIVAL_SECONDS)
        self.observe(evidence.SURVIVED_RATIO, 'survived')
        await trio.sleep(attempt.objective)
        self.observe(evidence.OVERDUE_RATIO, 'overdue')

    def on_outcome(self, outcome: MeshOutcome, seconds: float) -> None:
        """Record the evidence of a request's end.

        :param outcome: how it ended.
        :param seconds: how long the target took.
        """
        match outcome.reason:
            case None:
                self.observe(evidence.COMPLETED_RATIO, 'completed')
            case Reason.QUEUE_FULL:
                self.observe(evidence.SHED_RATIO, 'shed')
            case Reason.TARGET_FAILED:
                self._observe_failure(seconds)
            case (
                Reason.ANSWER_WRONG
                | Reason.ANSWER_INCOMPLETE
                | Reason.TARGET_CRASHED
            ):
                self.observe(evidence.LOST_ANSWER_RATIO, 'answer-lost')
            case Reason.CONNECTION_FORGOTTEN:
                self.observe(
                    evidence.CONNECTION_FORGOTTEN_RATIO, 'connection-forgotten'
                )

    def observe(self, likelihood_ratio: float, sign: str) -> None:
        """Record one piece of evidence and log a change of trust.

        :param likelihood_ratio: how many times likelier it is from a sick
            target than from a well one.
        :param sign: name of the evidence in the log.
        """
        risk = self._estimate.observe(likelihood_ratio)
        trusted = risk <= MAX_TRUSTED_RISK
        if trusted != self._was_trusted:
            self._was_trusted = trusted
            self._events.emit(
                'target-trusted' if trusted else 'target-suspected',
                target=self._target,
                risk=f'{risk:.3f}',
                sign=sign,
            )

    def _observe_failure(self, seconds: float) -> None:
        if seconds < evidence.MAX_FAST_FAILURE_SECONDS:
            self.observe(evidence.FAST_FAILURE_RATIO, 'failed-at-once')
        elif not self._call_failures.failed_recently():
            self.observe(evidence.SLOW_FAILURE_RATIO, 'failed')
