"""Grants accounts' tokens while no daemon that counts them answers."""

from clementinedeal.mesh._account_limits import CountLimits
from clementinedeal.mesh._token_bucket import TokenBucket


class AccountShares:
    """Buckets of this daemon's equal shares; they start empty.

    A share is refilled only while it is in use: the tokens that all daemons
    may grant must not pile up while the homes count.
    """

    def __init__(self) -> None:
        """Create shares that are not in use."""
        self._buckets: dict[str, TokenBucket] = {}
        self._in_use: set[str] = set()

    def take(
        self, account: str, limits: CountLimits, daemons: int, now: float
    ) -> float:
        """Take one token of a share.

        :param account: name of the account.
        :param limits: its limits.
        :param daemons: number of daemons that have a share.
        :param now: monotonic time in seconds.
        :return: 0 if a token was taken, else the seconds to wait.
        """
        rate = limits.shared_rate / daemons
        burst = limits.start_tokens / daemons
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = TokenBucket(rate, burst, now, 0)
            self._buckets[account] = bucket
        elif account not in self._in_use:
            bucket.skip(now, burst)
        self._in_use.add(account)
        bucket.refill(now)
        bucket.set_limits(rate, burst)
        return bucket.take(now)

    def pause(self, account: str) -> None:
        """Stop refilling a share, as the account is counted again.

        :param account: name of the account.
        """
        self._in_use.discard(account)
