"""Token bucket of a client account."""

# Bounds of the Retry-After that refused callers get.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0


class TokenBucket:
    """Token bucket of one account, or of one daemon's share of it."""

    def __init__(
        self, rate: float, burst: float, now: float, tokens: float
    ) -> None:
        """Create a bucket.

        :param rate: tokens added per second.
        :param burst: capacity in tokens; at least 1 is used.
        :param now: monotonic time in seconds.
        :param tokens: tokens to start with.
        """
        self._rate = rate
        self._burst = max(1, burst)
        self._tokens = min(tokens, self._burst)
        self._refilled_at = now

    @property
    def tokens(self) -> float:
        """Tokens at the time of the last refill; negative if it owes some."""
        return self._tokens

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill.

        :param now: monotonic time in seconds.
        """
        elapsed = max(0, now - self._refilled_at)
        self._tokens = min(self._burst, self._tokens + self._rate * elapsed)
        self._refilled_at = max(now, self._refilled_at)

    def skip(self, now: float, max_tokens: float) -> None:
        """Pass over the time since the last refill without adding tokens.

        :param now: monotonic time in seconds.
        :param max_tokens: tokens above this number are dropped.
        """
        self._tokens = min(self._tokens, max_tokens)
        self._refilled_at = now

    def set_limits(self, rate: float, burst: float) -> None:
        """Change rate and capacity; tokens above the capacity are dropped.

        :param rate: tokens added per second.
        :param burst: capacity in tokens; at least 1 is used.
        """
        self._rate = rate
        self._burst = max(1, burst)
        self._tokens = min(self._tokens, self._burst)

    def spend(self) -> None:
        """Deduct a token granted elsewhere; the bucket may owe its capacity."""
        self._tokens = max(-self._burst, self._tokens - 1)

    def take(self, now: float) -> float:
        """Take one token.

        :param now: monotonic time in seconds.
        :return: 0 if a token was taken, else the seconds to wait, within
            ``MIN_RETRY_AFTER_SECONDS`` and ``MAX_RETRY_AFTER_SECONDS``.
        """
        self.refill(now)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        retry_after = (1 - self._tokens) / self._rate if self._rate else 1
        return min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, retry_after)
        )
