"""The holder's side: this instance's shares of all accounts."""

from clementinedeal._draws import DrawGrant, DrawRequest
from clementinedeal._leases import LEASE_TTL_SECONDS, LeaseReport, Lender
from clementinedeal._model import Config
from clementinedeal._share_versions import ShareVersions

# One draw gets what waiting requests need, and beyond that at most the level
# that remains, divided by this.
SURPLUS_DIVISOR = 4
MILLIS_PER_SECOND = 1000


class Holdings:
    """Lenders of the accounts of which this instance holds a share.

    A holder is an instance that keeps a share of an account's rate and burst
    and lends tokens of it to owners. While the configuration is not known to
    be fresh, no tokens are made, lent or spent.
    """

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        config_age_seconds: float,
    ) -> None:
        """Start with no tokens and not fresh.

        :param me: name of this instance.
        :param cfg: configuration in force.
        :param now: monotonic seconds.
        :param config_age_seconds: known time since the configuration was
            published; the real age may be higher.
        """
        self.versions = ShareVersions(me, cfg, now, config_age_seconds)
        self.is_fresh = False
        self._lenders: dict[str, Lender] = {}
        self._next_change_at = float('inf')
        self._discarded_at = now

    @property
    def cfg(self) -> Config:
        """Return the configuration in force."""
        return self.versions.table.cfg

    def find_lender(self, account: str, now: float) -> Lender | None:
        """Return the lender of an account with its level as of now.

        Return None if this instance holds no share or is not fresh.

        :param account: name of the account.
        :param now: monotonic seconds.
        """
        if not self.is_fresh:
            return None
        if now >= self._next_change_at:
            self._resize_lenders(now)
        lender = self._lenders.get(account) or self._create_lender(account, now)
        if lender:
            lender.advance(now)
        return lender

    def lend(self, body: DrawRequest, now: float) -> DrawGrant:
        """Answer a draw with a grant, possibly of zero.

        :param body: the request of the borrower that its lease names.
        :param now: monotonic seconds.
        """
        self.apply_reports(body.account, body.reports, now)
        lender = self.find_lender(body.account, now)
        ttl = body.ttl_millis / MILLIS_PER_SECOND
        if lender is None or ttl > LEASE_TTL_SECONDS:
            return DrawGrant(body.account, body.lease, 0, 0)
        needed = min(body.need, lender.level)
        surplus = (lender.level - needed) // SURPLUS_DIVISOR
        amount = needed + max(0, min(body.want - needed, surplus))
        granted = lender.lend(body.lease, amount, ttl, now)
        return DrawGrant(body.account, body.lease, granted, lender.level)

    def apply_reports(
        self,
        account: str,
        reports: tuple[LeaseReport, ...],
        now: float,
    ) -> None:
        """Apply a borrower's reports.

        :param account: name of the account.
        :param reports: reports on leases of the sender.
        :param now: monotonic seconds.
        """
        lender = self._lenders.get(account)
        if lender is None:
            return
        if self.find_lender(account, now) is None:
            lender.advance_without_refill(now)
        for report in reports:
            lender.apply_report(report)

    def set_fresh(self, is_fresh: bool, now: float) -> None:
        """Enable or disable making and lending tokens.

        :param is_fresh: whether the configuration in force is known to have
            been the newest published one until recently.
        :param now: monotonic seconds.
        """
        if is_fresh == self.is_fresh:
            return
        for lender in self._lenders.values():
            if self.is_fresh:
                lender.advance(now)
            else:
                lender.advance_without_refill(now)
        self.is_fresh = is_fresh

    def on_config(
        self, cfg: Config, now: float, config_age_seconds: float
    ) -> None:
        """Switch to a newer configuration.

        :param cfg: the configuration that came into force.
        :param now: monotonic seconds.
        :param config_age_seconds: as in the constructor.
        """
        if self.is_fresh:
            self.versions.add(cfg, now)
        else:
            self.versions.reset(cfg, now, config_age_seconds)
            self._lenders.clear()
        self._resize_lenders(now)

    def discard_tokens(self, now: float) -> None:
        """Discard all tokens after a pause; the holder is no longer fresh.

        :param now: monotonic seconds.
        """
        self.is_fresh = False
        self._discarded_at = now
        for lender in self._lenders.values():
            lender.discard_level(now)

    def _create_lender(self, account: str, now: float) -> Lender | None:
        share = self.versions.effective_share(account, now)
        if not share.burst:
            return None
        stable = self.versions.stable_share(account)
        lender = Lender(
            capacity=stable.burst,
            rate=stable.rate,
            now=max(self.versions.ready_at(), self._discarded_at),
        )
        lender.resize(capacity=share.burst, rate=share.rate, now=now)
        self._lenders[account] = lender
        return lender

    def _resize_lenders(self, now: float) -> None:
        self.versions.discard_old(now)
        self._next_change_at = self.versions.next_change(now)
        for account, lender in tuple(self._lenders.items()):
            share = self.versions.effective_share(account, now)
            lender.resize(capacity=share.burst, rate=share.rate, now=now)
            if not share.burst and not lender.lent:
                self._lenders.pop(account)
