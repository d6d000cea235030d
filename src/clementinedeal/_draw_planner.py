"""Chooses which holders an owner asks for tokens, and for how many.

A draw is one request for tokens of an account to one of its holders.
"""

from clementinedeal._draw_policy import DrawPolicy
from clementinedeal._draws import (
    ON_DEMAND_TTL_SECONDS,
    AccountState,
    DrawRequest,
    OpenDraw,
)
from clementinedeal._holder_order import HolderOrder
from clementinedeal._holdings import MILLIS_PER_SECOND, Holdings
from clementinedeal._leases import LEASE_TTL_SECONDS, MICROS_PER_UNIT, LeaseId
from clementinedeal._messages import Send

# Tokens are prefetched when the available ones cover the demand of less than
# this time.
MIN_AVAILABLE_SECONDS = 0.25
# Number of holders that are asked in the first, second and third round.
HOLDERS_PER_ROUND = (1, 2, 4)


class DrawPlanner:
    """Sends draws, first to the best holder, then to several in parallel.

    The sizes of the rounds are ``HOLDERS_PER_ROUND``.
    """

    def __init__(self, me: str, incarnation: int, holdings: Holdings) -> None:
        """Start with no draw sent.

        :param me: name of this instance.
        :param incarnation: number of this process, part of each lease id.
        :param holdings: this instance's own shares.
        """
        self.incarnation = incarnation
        self.holder_order = HolderOrder(me, holdings.cfg)
        self._me = me
        self._holdings = holdings
        self._seq = 0

    def policy(self, state: AccountState) -> DrawPolicy:
        """Return the draw policy of an account under the version in force.

        :param state: the account's state.
        """
        return DrawPolicy(self._holdings.cfg.accounts.get(state.account))

    def order(self, state: AccountState, now: float) -> list[str]:
        """Return the other holders, best first.

        :param state: the account's state.
        :param now: monotonic seconds.
        """
        holders = self._holdings.versions.table.find(state.account).holders
        return self.holder_order.order(state, holders, now)

    def next_round(
        self,
        state: AccountState,
        now: float,
    ) -> tuple[Send, ...]:
        """Draw from the next holders that were not asked yet.

        Return the messages, none if all rounds were sent or no holder is left.

        :param state: the account's state, with requests waiting.
        :param now: monotonic seconds.
        """
        if state.rounds_sent >= len(HOLDERS_PER_ROUND):
            return ()
        size = HOLDERS_PER_ROUND[state.rounds_sent]
        names = [
            name
            for name in self.order(state, now)
            if name not in state.asked_holders
        ]
        if names:
            state.rounds_sent += 1
            state.round_started_at = now
        lender = self._holdings.find_lender(state.account, now)
        available = state.available(lender, now)
        need = len(state.waiting) * MICROS_PER_UNIT - available
        return tuple(
            self._draw(state, name, need, now) for name in names[:size]
        )

    def prefetch(self, state: AccountState, now: float) -> tuple[Send, ...]:
        """Draw tokens ahead of demand if an account's tokens run low here.

        :param state: the account's state.
        :param now: monotonic seconds.
        """
        demand = state.demand.rate(now)
        if (
            not self.policy(state).prefetch_amount(demand)
            or state.has_open_draw()
        ):
            return ()
        lender = self._holdings.find_lender(state.account, now)
        if (
            state.available(lender, now)
            >= demand * MIN_AVAILABLE_SECONDS * MICROS_PER_UNIT
        ):
            return ()
        names = self.order(state, now)
        if not names or now < state.empty_until.get(names[0], 0):
            return ()
        return (self._draw(state, names[0], 0, now),)

    def _draw(
        self,
        state: AccountState,
        holder: str,
        need: int,
        now: float,
    ) -> Send:
        want = max(
            need, self.policy(state).prefetch_amount(state.demand.rate(now))
        )
        ttl = LEASE_TTL_SECONDS if want > need else ON_DEMAND_TTL_SECONDS
        self._seq += 1
        state.asked_holders.add(holder)
        state.draws[self._seq] = OpenDraw(holder, need, now, now + ttl)
        body = DrawRequest(
            state.account,
            LeaseId(self._me, self.incarnation, self._seq),
            need,
            want,
            int(ttl * MILLIS_PER_SECOND),
            state.borrowed.report(holder),
        )
        return Send(holder, body)
