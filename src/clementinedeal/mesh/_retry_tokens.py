"""This daemon's share of the fleet's budget of repeats."""

from clementinedeal._timers import Clock
from clementinedeal.mesh._settings import Bounds

# A repeated request repeats its own calls, which count as well.
USED_BUDGET_FRACTION = 0.6
MIN_CAPACITY = 1.0


class RetryTokenBucket:
    """Token bucket of one service: a share of its requests plus slack."""

    def __init__(self, bounds: Bounds, clock: Clock) -> None:
        """Start with nothing saved up.

        :param bounds: the fleet's budget.
        :param clock: monotonic time.
        """
        self._bounds = bounds
        self._clock = clock
        self._tokens = MIN_CAPACITY
        self._refilled_at = clock.now()
        self.daemon_count = 1
        self.retries_taken = 0

    def add_request(self) -> None:
        """Earn a share of a repeat by a first send."""
        self._refill()
        self._tokens += self._bounds.retry_ratio * USED_BUDGET_FRACTION
        self._limit_to_capacity()

    def take(self) -> bool:
        """Spend one repeat if there is one."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self.retries_taken += 1
        return True

    def _slack_share(self) -> float:
        return (
            self._bounds.retry_slack
            * USED_BUDGET_FRACTION
            / max(1, self.daemon_count)
        )

    def _refill(self) -> None:
        now = self._clock.now()
        elapsed = now - self._refilled_at
        self._refilled_at = now
        # half is earned over the window, half may be saved up
        self._tokens += (
            self._slack_share() / 2 * elapsed / self._bounds.retry_window
        )
        self._limit_to_capacity()

    def _limit_to_capacity(self) -> None:
        self._tokens = min(
            self._tokens, max(MIN_CAPACITY, self._slack_share() / 2 + 1)
        )
