"""What the requests of one target show of its health, and what follows."""

import trio

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason
from clementinedeal.mesh import _health as evidence
from clementinedeal.mesh._call_failures import CallFailures
from clementinedeal.mesh._health import HealthEstimate
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome

# Above this risk of a failure only trials and last resorts are let through.
MAX_TRUSTED_RISK = 0.35
# Pause between trials of a suspect target: one that fails loses a request or
# costs a repeat, and a sick one stays so for some 4 s.
SCOUT_INTERVAL_SECONDS = 0.8
# A target that got nothing for 2 s counts as left out, sick or not; so often
# at least it is tried by what can be made good elsewhere.
SPARE_INTERVAL_SECONDS = 1.5


class HealthTracker:
    """Turns outcomes into evidence, and a risk into trust."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        calls: CallFailures,
    ) -> None:
        """Start with what is known of targets in general.

        :param clock: monotonic time.
        :param events: hears when trust changes.
        :param calls: failures that a target passes on.
        """
        self._clock = clock
        self._events = events
        self._calls = calls
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
        """Whether bookings may go to the target."""
        return self.risk <= MAX_TRUSTED_RISK

    def reset(self, target: str) -> None:
        """Forget the past: another process has taken the target's place.

        :param target: its name.
        """
        self._target = target
        self._estimate.reset()

    def claim_trial(self, attempt: MeshAttempt) -> bool:
        """Whether an attempt may show if a suspect target is well again.

        :param attempt: one that asks for it.
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
        """Take a request that is not refused at once for a good sign.

        :param attempt: it has just been sent.
        """
        await trio.sleep(evidence.SURVIVAL_SECONDS)
        self.observe(evidence.SURVIVED_RATIO, 'survived')
        await trio.sleep(attempt.objective)
        self.observe(evidence.OVERDUE_RATIO, 'overdue')

    def on_outcome(self, outcome: MeshOutcome, seconds: float) -> None:
        """Take in how a request ended.

        :param outcome: what came of it.
        :param seconds: how long the target had it.
        """
        match outcome.reason:
            case None:
                self.observe(evidence.COMPLETED_RATIO, 'completed')
            case Reason.QUEUE_FULL:
                self.observe(evidence.SHED_RATIO, 'shed')
            case Reason.TARGET_FAILED:
                self._observe_failure(seconds)
            case Reason.ANSWER_WRONG | Reason.ANSWER_INCOMPLETE:
                self.observe(evidence.LOST_ANSWER_RATIO, 'answer-lost')
            case Reason.CONNECTION_FORGOTTEN:
                self.observe(
                    evidence.CONNECTION_FORGOTTEN_RATIO, 'connection-forgotten'
                )

    def observe(self, likelihood_ratio: float, sign: str) -> None:
        """Take in evidence.

        :param ratio: how much likelier it is from a sick target.
        :param sign: its name in the log.
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
        elif not self._calls.failed_recently():
            self.observe(evidence.SLOW_FAILURE_RATIO, 'failed')
