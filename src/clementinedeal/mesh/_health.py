"""Estimates the probability that a target is sick.

A sick target has a gray failure: it accepts connections, but most requests
fail. The estimate belongs to the owner and uses the owner's own traffic.
"""

import math

from clementinedeal._timers import Clock

# Transition rates of a Markov model with two states, well and sick: gray
# failures last several seconds and occur a few times a minute.
ONSET_PER_SECOND = 0.05
RECOVERY_PER_SECOND = 0.15

# Likelihood ratios of what one request can show: how many times likelier a sick
# target is to show it than a well one.
FAST_FAILURE_RATIO = 150.0  # probability 0.75 if sick, 0.005 if well
SLOW_FAILURE_RATIO = 3.0  # mostly the work itself or a call that it made
LOST_ANSWER_RATIO = 12.0
CONNECTION_FORGOTTEN_RATIO = 3.0  # a well target drops idle ones, too
OVERDUE_RATIO = 5.0
SHED_RATIO = 4.0
SURVIVED_RATIO = 0.3  # no failure within SURVIVAL_SECONDS
COMPLETED_RATIO = 0.7

# A sick target fails a request soon after its start, after 6 ms in the median.
MAX_FAST_FAILURE_SECONDS = 0.15
SURVIVAL_SECONDS = 0.08

MAX_ODDS = 200.0
MIN_ODDS = 0.01


class HealthEstimate:
    """Bayes estimate of the probability that a target is sick.

    Without evidence it returns to ``_long_run_risk``, the fraction of time that
    the model's target is sick.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with the long-run probability.

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
        """Update the estimate by one piece of evidence and return it.

        :param likelihood_ratio: how many times likelier the evidence is from
            a sick target than from a well one.
        """
        risk = self.risk()
        odds = risk / (1 - risk) * likelihood_ratio
        odds = min(MAX_ODDS, max(MIN_ODDS, odds))
        self._risk = odds / (1 + odds)
        return self._risk

    def reset(self) -> None:
        """Discard all evidence, because the target's process was replaced."""
        self._risk = self._long_run_risk
        self._updated_at = self._clock.now()
