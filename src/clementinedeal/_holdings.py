"""The holder's side: this instance's shares of many accounts."""

from clementinedeal._draws import DrawGrant, DrawRequest
from clementinedeal._leases import LEASE_TTL_SECONDS, LeaseReport, Mint
from clementinedeal._model import Config
from clementinedeal._share_views import ShareViews

SURPLUS_DIVISOR = 4
MILLIS_PER_SECOND = 1000


class Holdings:
    """Mints of the accounts that this instance holds a share of.

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
        self._mints: dict[str, Mint] = {}
        self._next_change = float('inf')
        self._dropped_at = now

    @property
    def cfg(self) -> Config:
        """Return the version in force."""
        return self.views.table.cfg

    def find(self, account: str, now: float) -> Mint | None:
        """Return the mint of an account, brought up to now.

        :param account: name of the account.
        :param now: monotonic seconds.
        """
        if not self.is_fresh:
            return None
        if now >= self._next_change:
            self._reshape(now)
        mint = self._mints.get(account) or self._create(account, now)
        if mint:
            mint.advance(now)
        return mint

    def lend(self, body: DrawRequest, now: float) -> DrawGrant:
        """Answer a draw.

        :param body: from the borrower that its lease names.
        :param now: monotonic seconds.
        """
        self.settle(body.account, body.reports, now)
        mint = self.find(body.account, now)
        ttl = body.ttl_millis / MILLIS_PER_SECOND
        if mint is None or ttl > LEASE_TTL_SECONDS:
            return DrawGrant(body.account, body.lease, 0, 0)
        needed = min(body.need, mint.level)
        surplus = (mint.level - needed) // SURPLUS_DIVISOR
        amount = needed + max(0, min(body.want - needed, surplus))
        granted = mint.lend(body.lease, amount, ttl, now)
        return DrawGrant(body.account, body.lease, granted, mint.level)

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
        mint = self._mints.get(account)
        if mint is None:
            return
        if self.find(account, now) is None:
            mint.skip(now)
        for report in reports:
            mint.settle(report)

    def set_fresh(self, is_fresh: bool, now: float) -> None:
        """Start or stop making and lending.

        :param is_fresh: whether nothing newer is known to be published.
        :param now: monotonic seconds.
        """
        if is_fresh == self.is_fresh:
            return
        for mint in self._mints.values():
            if self.is_fresh:
                mint.advance(now)
            else:
                mint.skip(now)
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
            self._mints.clear()
        self._reshape(now)

    def drop(self, now: float) -> None:
        """Empty everything after a pause and wait for freshness.

        :param now: monotonic seconds.
        """
        self.is_fresh = False
        self._dropped_at = now
        for mint in self._mints.values():
            mint.drop(now)

    def _create(self, account: str, now: float) -> Mint | None:
        share = self.views.effective(account, now)
        if not share.burst:
            return None
        lasting = self.views.lasting(account)
        mint = Mint(
            capacity=lasting.burst,
            rate=lasting.rate,
            now=max(self.views.ready_at(), self._dropped_at),
        )
        mint.reshape(capacity=share.burst, rate=share.rate, now=now)
        self._mints[account] = mint
        return mint

    def _reshape(self, now: float) -> None:
        self.views.forget(now)
        self._next_change = self.views.next_change(now)
        for account, mint in tuple(self._mints.items()):
            share = self.views.effective(account, now)
            mint.reshape(capacity=share.burst, rate=share.rate, now=now)
            if not share.burst and not mint.lent:
                self._mints.pop(account)
