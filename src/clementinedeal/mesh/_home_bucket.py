"""Counts accounts at their homes, and at deputies of silent homes."""

import enum

from clementinedeal.mesh._account_limits import SETTLE_SECONDS, CountLimits
from clementinedeal.mesh._token_bucket import TokenBucket

# A deputy that was asked less than this ago has counted without a break.
MAX_COUNT_GAP_SECONDS = 1.0


class CountState(enum.StrEnum):
    """What a counting daemon knows of an account's use."""

    KNOWN = 'known'
    RECOVERING = 'recovering'


class HomeBucket:
    """Bucket of one account at a daemon that counts it.

    A daemon that does not know what was granted a moment ago, since it has
    just started, become the home or a deputy, recovers: for one window it
    grants from a second bucket, too, which starts nearly empty. After that all
    grants of any window are its own.
    """

    def __init__(self, limits: CountLimits, now: float, window: float) -> None:
        """Create a bucket that was not used yet.

        :param limits: the account's limits.
        :param now: monotonic time in seconds.
        :param window: seconds after which former grants no longer matter.
        """
        self._window = window
        self._bucket = _full_bucket(limits, now)
        self._recovery: RecoveryBucket | None = None
        self._used_at = float('-inf')

    @property
    def state(self) -> CountState:
        """What is known of the account's use."""
        is_known = self._recovery is None
        return CountState.KNOWN if is_known else CountState.RECOVERING

    def take(self, limits: CountLimits, now: float, home_since: float) -> float:
        """Take one token.

        :param limits: the account's limits.
        :param now: monotonic time in seconds.
        :param home_since: since when this daemon is the home, infinite for a
            deputy.
        :return: 0 if a token was taken, else the seconds to wait.
        """
        if not self._has_counted(now, home_since):
            self._recover(limits, now)
        elif self._recovery and now >= self._recovery.ends_at:
            self._recovery = None
        self._used_at = now
        self._bucket.set_limits(limits.rate, limits.burst)
        if self._recovery:
            pause = self._recovery.take(limits, now)
            if pause:
                return pause
        return self._bucket.take(now)

    def deduct(self) -> None:
        """Deduct a token that a deputy has granted."""
        self._bucket.spend()
        if self._recovery:
            self._recovery.bucket.spend()

    def _has_counted(self, now: float, home_since: float) -> bool:
        """Whether all of the account's use in the window is known here."""
        known_from = max(self._used_at, now - self._window)
        gap = now - self._used_at
        return home_since <= known_from or gap <= MAX_COUNT_GAP_SECONDS

    def _recover(self, limits: CountLimits, now: float) -> None:
        tokens = limits.start_tokens
        if now - self._used_at < self._window:
            gap_end = self._used_at + MAX_COUNT_GAP_SECONDS
            tokens = min(tokens, self._tokens_at(min(now, gap_end)))
        ends_at = now + self._window
        self._recovery = RecoveryBucket(limits, tokens, now, ends_at)
        self._bucket = _full_bucket(limits, now)

    def _tokens_at(self, now: float) -> float:
        bucket = self._recovery.bucket if self._recovery else self._bucket
        bucket.refill(now)
        return bucket.tokens


class RecoveryBucket:
    """What a daemon grants before it knows an account's use.

    The bucket refills slowly until askers of the former counter have moved.
    """

    def __init__(
        self, limits: CountLimits, tokens: float, now: float, ends_at: float
    ) -> None:
        """Create a bucket that settles from now on.

        :param limits: the account's limits.
        :param tokens: tokens to start with.
        :param now: monotonic time in seconds.
        :param ends_at: when the account's use is known, monotonic seconds.
        """
        self.ends_at = ends_at
        self.bucket = TokenBucket(limits.settle_rate, limits.burst, now, tokens)
        self._settled_at = now + SETTLE_SECONDS

    def take(self, limits: CountLimits, now: float) -> float:
        """Take one token.

        :param limits: the account's limits.
        :param now: monotonic time in seconds.
        :return: 0 if a token was taken, else the seconds to wait.
        """
        is_settled = now >= self._settled_at
        self.bucket.refill(min(now, self._settled_at))
        rate = limits.rate if is_settled else limits.settle_rate
        self.bucket.set_limits(rate, limits.burst)
        return self.bucket.take(now)


def _full_bucket(limits: CountLimits, now: float) -> TokenBucket:
    return TokenBucket(limits.rate, limits.burst, now, limits.burst)
