"""How likely the target beside this daemon is to fail its next request."""

import math

from clementinedeal._timers import Clock

# Rates of a two-state model: gray failures of several seconds that hit a
# target a few times a minute.
ONSET_PER_SECOND = 0.05
RECOVERY_PER_SECOND = 0.15

# Likelihood ratios, sick against well, of what one request can show.
FAST_FAILURE_RATIO = 150.0  # 0.75 of the time when sick, 0.005 when well
SLOW_FAILURE_RATIO = 3.0  # mostly a failed call or the work itself
LOST_ANSWER_RATIO = 12.0
CONNECTION_FORGOTTEN_RATIO = (
    3.0  # a well target forgets resting connections, too
)
OVERDUE_RATIO = 5.0
SHED_RATIO = 4.0
SURVIVED_RATIO = 0.3  # not refused at once
COMPLETED_RATIO = 0.7

# A sick target fails at the start of a request, a median of 6 ms after it.
MAX_FAST_FAILURE_SECONDS = 0.15
SURVIVAL_SECONDS = 0.08

MAX_ODDS = 200.0
MIN_ODDS = 0.01


class HealthEstimate:
    """Bayes estimate over a sick and a well state, from own traffic."""

    def __init__(self, clock: Clock) -> None:
        """Start with what is known of targets in general.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._relaxation_rate = ONSET_PER_SECOND + RECOVERY_PER_SECOND
        self._long_run_risk = ONSET_PER_SECOND / self._relaxation_rate
        self._risk = self._long_run_risk
        self._updated_at = clock.now()

    def risk(self) -> float:
        """Return the probability that the target is sick now."""
        now = self._clock.now()
        decay = math.exp(
            -self._relaxation_rate * max(0, now - self._updated_at)
        )
        self._risk = (
            self._long_run_risk + (self._risk - self._long_run_risk) * decay
        )
        self._updated_at = now
        return self._risk

    def observe(self, likelihood_ratio: float) -> float:
        """Take in evidence and return the new risk.

        :param ratio: how much likelier the evidence is from a sick target.
        """
        risk = self.risk()
        odds = risk / (1 - risk) * likelihood_ratio
        odds = min(MAX_ODDS, max(MIN_ODDS, odds))
        self._risk = odds / (1 + odds)
        return self._risk

    def reset(self) -> None:
        """Forget the past: another process has taken the target's place."""
        self._risk = self._long_run_risk
        self._updated_at = self._clock.now()
