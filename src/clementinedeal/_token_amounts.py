"""Times and amounts that follow from an account's rate and burst."""

from clementinedeal._leases import UNIT_MICROS
from clementinedeal._model import Account
from clementinedeal._shares import holder_count

CHUNK_SECONDS = 1.0
CHUNK_BURST_DIVISOR = 4
LARGE_RATE_PER_SECOND = 10.0
LARGE_DEMAND_PER_SECOND = 4.0
SETTLE_MIN_SECONDS = 0.05
SETTLE_MAX_SECONDS = 1.0
SETTLE_DIVISOR = 4
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 60.0
MAX_DRY_SECONDS = 0.4
DRY_TOKENS = 4


class Pace:
    """How an owner goes about one account."""

    def __init__(self, account: Account | None) -> None:
        """Take the published figures.

        :param account: nothing for an account that is not published.
        """
        self._rate = account.rate if account else 0.0
        self._burst = account.burst if account else 0.0

    @property
    def dry_seconds(self) -> float:
        """Return how long holders without tokens are left alone.

        It is the time in which one of them makes ``DRY_TOKENS``.
        """
        seconds = holder_count(self._rate) * self._seconds_per_token
        return min(MAX_DRY_SECONDS, DRY_TOKENS * seconds)

    @property
    def retry_after_seconds(self) -> float:
        """Return when a refused caller may come again."""
        return max(MIN_RETRY_AFTER_SECONDS, self._seconds_per_token)

    @property
    def settle_seconds(self) -> float:
        """Return how long spent tokens may go unreported."""
        span = self._burst * self._seconds_per_token / SETTLE_DIVISOR
        return max(SETTLE_MIN_SECONDS, min(SETTLE_MAX_SECONDS, span))

    def chunk(self, demand: float) -> int:
        """Return the micro-tokens worth borrowing ahead; zero if none.

        :param demand: requests per second at this owner.
        """
        if self._rate < LARGE_RATE_PER_SECOND:
            return 0
        if demand < LARGE_DEMAND_PER_SECOND:
            return 0
        most = self._burst / CHUNK_BURST_DIVISOR
        return int(min(demand * CHUNK_SECONDS, most) * UNIT_MICROS)

    @property
    def _seconds_per_token(self) -> float:
        if self._rate <= 1 / MAX_RETRY_AFTER_SECONDS:
            return MAX_RETRY_AFTER_SECONDS
        return 1 / self._rate
