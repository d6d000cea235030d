"""Counts accounts for this daemon and for those that ask it."""

from dataclasses import dataclass

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._account_limits import CountLimits, tolerated_limits
from clementinedeal.mesh._account_ranking import AccountRanking
from clementinedeal.mesh._home_bucket import CountState, HomeBucket
from clementinedeal.mesh._settings import Bounds
from clementinedeal.mesh._token_messages import TokenRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionedLimits:
    """Limits of an account, by one version of the declaration."""

    version: int
    limits: CountLimits


class AccountCounter:
    """The buckets of the accounts whose home or deputy this daemon is.

    Each draw names the limits that the asker knows, so that a daemon without
    a declaration, or with an older one, counts by the newest.
    """

    def __init__(
        self,
        ranking: AccountRanking,
        clock: Clock,
        events: EventLog,
        bounds: Bounds,
    ) -> None:
        """Create a counter that has counted nothing.

        :param ranking: says whose home this daemon is, and since when.
        :param clock: monotonic time.
        :param events: log of counts that begin without a known use.
        :param bounds: by how much an account may exceed its limits.
        """
        self._ranking = ranking
        self._clock = clock
        self._events = events
        self._bounds = bounds
        self._limits: dict[str, VersionedLimits] = {}
        self._buckets: dict[str, HomeBucket] = {}

    def take(self, request: TokenRequest) -> float:
        """Take one token.

        :param request: the draw.
        :return: 0 if a token was taken, else the seconds to wait.
        """
        now = self._clock.now()
        limits = self._newest_limits(request)
        bucket = self._buckets.get(request.account)
        if bucket is None:
            bucket = HomeBucket(limits, now, self._bounds.allowance_window)
            self._buckets[request.account] = bucket
        former_state = bucket.state
        pause = bucket.take(
            limits, now, self._ranking.home_since(request.account)
        )
        if bucket.state is not former_state:
            self._report(request, bucket.state)
        return pause

    def deduct(self, account: str) -> None:
        """Deduct a token that a deputy has granted.

        :param account: name of the account.
        """
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.deduct()

    def forget_all_but(self, accounts: frozenset[str]) -> None:
        """Drop the buckets of accounts that are no longer declared.

        :param accounts: names of the declared accounts.
        """
        for name in self._buckets.keys() - accounts:
            del self._buckets[name]
            del self._limits[name]

    def _newest_limits(self, request: TokenRequest) -> CountLimits:
        known = self._limits.get(request.account)
        if known is None or known.version < request.version:
            known = VersionedLimits(
                version=request.version,
                limits=tolerated_limits(
                    request.rate, request.burst, self._bounds
                ),
            )
            self._limits[request.account] = known
        return known.limits

    def _report(self, request: TokenRequest, state: CountState) -> None:
        self._events.emit(
            'account-count',
            account=request.account,
            state=state,
            deputy=request.is_deputy,
        )
