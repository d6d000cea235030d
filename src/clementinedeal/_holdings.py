"""The holder's side: this instance's shares of many accounts."""

from clementinedeal._draws import DrawGrant, DrawRequest
from clementinedeal._leases import LEASE_TTL_SECONDS, LeaseReport, Lender
from clementinedeal._model import Config
from clementinedeal._share_views import ShareViews

SURPLUS_DIVISOR = 4
MILLIS_PER_SECOND = 1000


class Holdings:
    """Lenders of the accounts that this instance holds a share of.

    While not fresh, nothing is made, lent or spent.
    """

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        known_for: float,
    ) -> None:
        """Start empty and not fresh.

        :param me: name of this instance.
        :param cfg: version in force.
        :param now: monotonic seconds.
        :param known_for: seconds for which the version is known to have been
            published, at least.
        """
        self.views = ShareViews(me, cfg, now, known_for)
        self.is_fresh = False
        self._lenders: dict[str, Lender] = {}
        self._next_change = float('inf')
        self._dropped_at = now

    @property
    def cfg(self) -> Config:
        """Return the version in force."""
        return self.views.table.cfg

    def find(self, account: str, now: float) -> Lender | None:
        """Return the lender of an account, brought up to now.

        :param account: name of the account.
        :param now: monotonic seconds.
        """
        if not self.is_fresh:
            return None
        if now >= self._next_change:
            self._reshape(now)
        lender = self._lenders.get(account) or self._create(account, now)
        if lender:
            lender.advance(now)
        return lender

    def lend(self, body: DrawRequest, now: float) -> DrawGrant:
        """Answer a draw.

        :param body: from the borrower that its lease names.
        :param now: monotonic seconds.
        """
        self.settle(body.account, body.reports, now)
        lender = self.find(body.account, now)
        ttl = body.ttl_millis / MILLIS_PER_SECOND
        if lender is None or ttl > LEASE_TTL_SECONDS:
            return DrawGrant(body.account, body.lease, 0, 0)
        needed = min(body.need, lender.level)
        surplus = (lender.level - needed) // SURPLUS_DIVISOR
        amount = needed + max(0, min(body.want - needed, surplus))
        granted = lender.lend(body.lease, amount, ttl, now)
        return DrawGrant(body.account, body.lease, granted, lender.level)

    def settle(
        self,
        account: str,
        reports: tuple[LeaseReport, ...],
        now: float,
    ) -> None:
        """Take in what a borrower reports.

        :param account: name of the account.
        :param reports: about leases of the sender.
        :param now: monotonic seconds.
        """
        lender = self._lenders.get(account)
        if lender is None:
            return
        if self.find(account, now) is None:
            lender.skip(now)
        for report in reports:
            lender.settle(report)

    def set_fresh(self, is_fresh: bool, now: float) -> None:
        """Start or stop making and lending.

        :param is_fresh: whether nothing newer is known to be published.
        :param now: monotonic seconds.
        """
        if is_fresh == self.is_fresh:
            return
        for lender in self._lenders.values():
            if self.is_fresh:
                lender.advance(now)
            else:
                lender.skip(now)
        self.is_fresh = is_fresh

    def on_config(self, cfg: Config, now: float, known_for: float) -> None:
        """Go by a newer version.

        :param cfg: the version that came into force.
        :param now: monotonic seconds.
        :param known_for: as in the constructor.
        """
        if self.is_fresh:
            self.views.add(cfg, now)
        else:
            self.views.reset(cfg, now, known_for)
            self._lenders.clear()
        self._reshape(now)

    def drop(self, now: float) -> None:
        """Empty everything after a pause and wait for freshness.

        :param now: monotonic seconds.
        """
        self.is_fresh = False
        self._dropped_at = now
        for lender in self._lenders.values():
            lender.drop(now)

    def _create(self, account: str, now: float) -> Lender | None:
        share = self.views.effective(account, now)
        if not share.burst:
            return None
        lasting = self.views.lasting(account)
        lender = Lender(
            capacity=lasting.burst,
            rate=lasting.rate,
            now=max(self.views.ready_at(), self._dropped_at),
        )
        lender.reshape(capacity=share.burst, rate=share.rate, now=now)
        self._lenders[account] = lender
        return lender

    def _reshape(self, now: float) -> None:
        self.views.forget(now)
        self._next_change = self.views.next_change(now)
        for account, lender in tuple(self._lenders.items()):
            share = self.views.effective(account, now)
            lender.reshape(capacity=share.burst, rate=share.rate, now=now)
            if not share.burst and not lender.lent:
                self._lenders.pop(account)
