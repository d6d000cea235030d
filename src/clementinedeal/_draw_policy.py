"""Delays and amounts of draws, derived from an account's rate and burst."""

from clementinedeal._leases import MICROS_PER_UNIT
from clementinedeal._model import Account
from clementinedeal._shares import holder_count

# A prefetch covers this many seconds of demand, but at most the account's burst
# divided by the divisor.
PREFETCH_SECONDS = 1.0
PREFETCH_BURST_DIVISOR = 4
# If the account's published rate or its demand at this owner is lower, tokens
# are drawn only when a request needs them.
MIN_PREFETCH_RATE_PER_SECOND = 10.0
MIN_PREFETCH_DEMAND_PER_SECOND = 4.0
# Spent tokens are reported after the time in which the account's rate refills
# its burst divided by the divisor, within the two limits.
MIN_REPORT_DELAY_SECONDS = 0.05
MAX_REPORT_DELAY_SECONDS = 1.0
REPORT_DELAY_DIVISOR = 4
# Limits of the time after which a refused caller should retry.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 60.0
# A holder counts as empty for the time in which it gets this many new tokens,
# within the limit.
MAX_EMPTY_BACKOFF_SECONDS = 0.4
EMPTY_BACKOFF_TOKENS = 4


class DrawPolicy:
    """Delays and amounts that an owner uses for one account."""

    def __init__(self, account: Account | None) -> None:
        """Read the published rate and burst.

        :param account: None for an account that is not published; its rate
            and burst count as zero.
        """
        self._rate = account.rate if account else 0.0
        self._burst = account.burst if account else 0.0

    @property
    def empty_backoff_seconds(self) -> float:
        """Return for how many seconds a holder with too few tokens is avoided.

        Other holders are asked before it, and nothing is prefetched from it.
        If all holders have too few tokens, new requests are refused at once
        for the same time.

        It is the time in which one holder makes ``EMPTY_BACKOFF_TOKENS``
        tokens, at most ``MAX_EMPTY_BACKOFF_SECONDS``.
        """
        seconds_per_holder_token = (
            holder_count(self._rate) * self._seconds_per_token
        )
        return min(
            MAX_EMPTY_BACKOFF_SECONDS,
            EMPTY_BACKOFF_TOKENS * seconds_per_holder_token,
        )

    @property
    def retry_after_seconds(self) -> float:
        """Return after how many seconds a refused caller should retry."""
        return max(MIN_RETRY_AFTER_SECONDS, self._seconds_per_token)

    @property
    def report_delay_seconds(self) -> float:
        """Return for how many seconds spent tokens may stay unreported."""
        delay_seconds = (
            self._burst * self._seconds_per_token / REPORT_DELAY_DIVISOR
        )
        return max(
            MIN_REPORT_DELAY_SECONDS,
            min(MAX_REPORT_DELAY_SECONDS, delay_seconds),
        )

    def prefetch_amount(self, demand: float) -> int:
        """Return how many micro-tokens to borrow ahead of demand, or zero.

        :param demand: requests per second of the account at this owner.
        """
        if self._rate < MIN_PREFETCH_RATE_PER_SECOND:
            return 0
        if demand < MIN_PREFETCH_DEMAND_PER_SECOND:
            return 0
        max_tokens = self._burst / PREFETCH_BURST_DIVISOR
        return int(min(demand * PREFETCH_SECONDS, max_tokens) * MICROS_PER_UNIT)

    @property
    def _seconds_per_token(self) -> float:
        if self._rate <= 1 / MAX_RETRY_AFTER_SECONDS:
            return MAX_RETRY_AFTER_SECONDS
        return 1 / self._rate
