"""Which holders an owner asks for tokens, in rounds, and for how much."""

from clementinedeal._draws import (
    DRAW_TTL_SECONDS,
    AccountDraws,
    Draw,
    DrawRequest,
)
from clementinedeal._holdings import MILLIS_PER_SECOND, Holdings
from clementinedeal._leases import LEASE_TTL_SECONDS, UNIT_MICROS, LeaseId
from clementinedeal._messages import Send
from clementinedeal._pace import Pace
from clementinedeal._siblings import Siblings

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

    def pace(self, desk: AccountDraws) -> Pace:
        """Return the pace of an account under the version in force."""
        return Pace(self._holdings.cfg.accounts.get(desk.account))

    def order(self, desk: AccountDraws, now: float) -> list[str]:
        """Return the other holders, best first.

        :param desk: the account's state.
        :param now: monotonic seconds.
        """
        holders = self._holdings.views.table.find(desk.account).holders
        return self.siblings.order(desk, holders, now)

    def next_round(
        self,
        desk: AccountDraws,
        now: float,
    ) -> tuple[Send, ...]:
        """Ask holders not yet asked; nothing when there are no more.

        :param desk: the account's state, with requests waiting.
        :param now: monotonic seconds.
        """
        if desk.rounds >= len(ROUND_SIZES):
            return ()
        size = ROUND_SIZES[desk.rounds]
        names = [
            name for name in self.order(desk, now) if name not in desk.asked
        ]
        if names:
            desk.rounds += 1
            desk.round_at = now
        mint = self._holdings.find(desk.account, now)
        have = desk.available(mint, now)
        need = len(desk.waiting) * UNIT_MICROS - have
        return tuple(self._draw(desk, name, need, now) for name in names[:size])

    def prefetch(self, desk: AccountDraws, now: float) -> tuple[Send, ...]:
        """Ask for a chunk before a large account runs out here.

        :param desk: the account's state.
        :param now: monotonic seconds.
        """
        demand = desk.demand.rate(now)
        if not self.pace(desk).chunk(demand) or desk.is_drawing():
            return ()
        mint = self._holdings.find(desk.account, now)
        if desk.available(mint, now) >= demand * LOW_SECONDS * UNIT_MICROS:
            return ()
        names = self.order(desk, now)
        if not names or now < desk.dry.get(names[0], 0):
            return ()
        return (self._draw(desk, names[0], 0, now),)

    def _draw(
        self,
        desk: AccountDraws,
        holder: str,
        need: int,
        now: float,
    ) -> Send:
        want = max(need, self.pace(desk).chunk(desk.demand.rate(now)))
        ttl = LEASE_TTL_SECONDS if want > need else DRAW_TTL_SECONDS
        self._seq += 1
        desk.asked.add(holder)
        desk.draws[self._seq] = Draw(holder, need, now, now + ttl)
        body = DrawRequest(
            desk.account,
            LeaseId(self._me, self.incarnation, self._seq),
            need,
            want,
            int(ttl * MILLIS_PER_SECOND),
            desk.wallet.report(holder),
        )
        return Send(holder, body)
