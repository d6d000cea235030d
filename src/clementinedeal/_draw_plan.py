"""Which holders an owner asks for tokens, in rounds, and for how much."""

from clementinedeal._draws import (
    DRAW_TTL_SECONDS,
    AccountDraws,
    Draw,
    DrawRequest,
)
from clementinedeal._holder_order import Siblings
from clementinedeal._holdings import MILLIS_PER_SECOND, Holdings
from clementinedeal._leases import LEASE_TTL_SECONDS, UNIT_MICROS, LeaseId
from clementinedeal._messages import Send
from clementinedeal._token_amounts import Pace

LOW_SECONDS = 0.25
ROUND_SIZES = (1, 2, 4)


class DrawPlan:
    """Sends draws; the nearest holder first, then more in parallel."""

    def __init__(self, me: str, incarnation: int, holdings: Holdings) -> None:
        """Start with no draw sent.

        :param me: name of this instance.
        :param incarnation: of this process.
        :param holdings: this instance's own shares.
        """
        self.incarnation = incarnation
        self.siblings = Siblings(me, holdings.cfg)
        self._me = me
        self._holdings = holdings
        self._seq = 0

    def pace(self, reporter: AccountDraws) -> Pace:
        """Return the pace of an account under the version in force."""
        return Pace(self._holdings.cfg.accounts.get(reporter.account))

    def order(self, reporter: AccountDraws, now: float) -> list[str]:
        """Return the other holders, best first.

        :param reporter: the account's state.
        :param now: monotonic seconds.
        """
        holders = self._holdings.views.table.find(reporter.account).holders
        return self.siblings.order(reporter, holders, now)

    def next_round(
        self,
        reporter: AccountDraws,
        now: float,
    ) -> tuple[Send, ...]:
        """Ask holders not yet asked; nothing when there are no more.

        :param reporter: the account's state, with requests waiting.
        :param now: monotonic seconds.
        """
        if reporter.rounds >= len(ROUND_SIZES):
            return ()
        size = ROUND_SIZES[reporter.rounds]
        names = [
            name
            for name in self.order(reporter, now)
            if name not in reporter.asked
        ]
        if names:
            reporter.rounds += 1
            reporter.round_at = now
        lender = self._holdings.find(reporter.account, now)
        have = reporter.available(lender, now)
        need = len(reporter.waiting) * UNIT_MICROS - have
        return tuple(
            self._draw(reporter, name, need, now) for name in names[:size]
        )

    def prefetch(self, reporter: AccountDraws, now: float) -> tuple[Send, ...]:
        """Ask for a chunk before a large account runs out here.

        :param reporter: the account's state.
        :param now: monotonic seconds.
        """
        demand = reporter.demand.rate(now)
        if not self.pace(reporter).chunk(demand) or reporter.is_drawing():
            return ()
        lender = self._holdings.find(reporter.account, now)
        if (
            reporter.available(lender, now)
            >= demand * LOW_SECONDS * UNIT_MICROS
        ):
            return ()
        names = self.order(reporter, now)
        if not names or now < reporter.dry.get(names[0], 0):
            return ()
        return (self._draw(reporter, names[0], 0, now),)

    def _draw(
        self,
        reporter: AccountDraws,
        holder: str,
        need: int,
        now: float,
    ) -> Send:
        want = max(need, self.pace(reporter).chunk(reporter.demand.rate(now)))
        ttl = LEASE_TTL_SECONDS if want > need else DRAW_TTL_SECONDS
        self._seq += 1
        reporter.asked.add(holder)
        reporter.draws[self._seq] = Draw(holder, need, now, now + ttl)
        body = DrawRequest(
            reporter.account,
            LeaseId(self._me, self.incarnation, self._seq),
            need,
            want,
            int(ttl * MILLIS_PER_SECOND),
            reporter.borrowed.report(holder),
        )
        return Send(holder, body)
