"""Rate and burst of client accounts over the whole fleet.

The owner of a target takes a token for each request before it starts. An
account's rate and burst are split into shares, each held by one instance (a
holder). An owner that has no tokens borrows some from the holders before it
refuses a request; such a loan is called a draw.
"""

from typing import Any

from clementinedeal._borrowing import Borrowing, TokenActions
from clementinedeal._draws import DrawGrant, DrawRequest, SpentReports
from clementinedeal._holdings import Holdings
from clementinedeal._leases import LeaseReport
from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._timers import MIN_PAUSE_SECONDS

# Greater than the pause threshold of the timers: every pause detected here is
# also reported by them, and the daemon renews its freshness after the report.
MAX_CALL_GAP_SECONDS = 2 * MIN_PAUSE_SECONDS


class TokenManager:
    """Takes, lends and draws the tokens of all accounts for one daemon.

    The daemon is an owner (takes tokens for the requests of its targets) and
    may be a holder (lends tokens of its shares to owners) at the same time.
    Methods return the actions to perform; they do no input or output.

    ``on_tick`` must be called at least every 50 ms. If more than
    ``MAX_CALL_GAP_SECONDS`` pass between two calls of any method, the process
    is taken to have been paused, even if the timers have not reported it yet.
    """

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        *,
        incarnation: int,
        config_age_seconds: float = 0.0,
    ) -> None:
        """Start with no tokens and not fresh.

        :param me: name of this instance.
        :param cfg: configuration in force.
        :param now: monotonic seconds.
        :param incarnation: number of this process, different from that of
            every earlier process of the same instance.
        :param config_age_seconds: known time since the configuration was
            published; the real age may be higher. The shares of this
            instance stay empty until the age is ``GROW_WAIT_SECONDS``.
        """
        self._last_call_at = now
        self._holdings = Holdings(me, cfg, now, config_age_seconds)
        self._borrowing = Borrowing(me, incarnation, self._holdings)

    def holders(self, account: str) -> tuple[str, ...]:
        """Return the instances that hold shares of an account.

        :param account: name of the account; an unknown one has no holders.
        """
        return self._holdings.versions.table.find(account).holders

    def take(self, req_id: str, account: str, now: float) -> TokenActions:
        """Take one token for a request.

        The decision (``TokenGranted`` or ``TokenRefused``) is among the
        returned actions, or among those of a later call.

        :param req_id: unique id of the attempt that needs the token.
        :param account: name of the account.
        :param now: monotonic seconds.
        """
        pause_actions = self._detect_pause(now)
        return pause_actions + self._borrowing.take(req_id, account, now)

    def cancel(self, req_id: str, account: str) -> bool:
        """Remove a waiting request and return whether it was waiting.

        :param req_id: id given to ``take``.
        :param account: name of the account.
        """
        return self._borrowing.cancel(req_id, account)

    def on_message(self, sender: str, body: Any, now: float) -> TokenActions:
        """Handle a control message of another instance's token manager.

        :param sender: authenticated name of the other instance.
        :param body: any control message; other kinds are ignored.
        :param now: monotonic seconds.
        """
        pause_actions = self._detect_pause(now)
        if isinstance(body, DrawRequest):
            return pause_actions + self._on_draw(sender, body, now)
        if isinstance(body, DrawGrant):
            return pause_actions + self._borrowing.on_grant(sender, body, now)
        if isinstance(body, SpentReports) and _all_name_sender(
            sender, body.reports
        ):
            self._holdings.apply_reports(body.account, body.reports, now)
        return pause_actions

    def on_tick(self, now: float) -> TokenActions:
        """Handle timeouts, refusals and reports that are due.

        :param now: monotonic seconds.
        """
        return self._detect_pause(now) + self._borrowing.on_tick(now)

    def on_config(
        self,
        cfg: Config,
        now: float,
        config_age_seconds: float = 0.0,
    ) -> TokenActions:
        """Switch to a newer configuration; older ones are ignored.

        If the daemon becomes fresh through this configuration, ``set_fresh``
        must be called after this method.

        :param cfg: the configuration that came into force.
        :param now: monotonic seconds.
        :param config_age_seconds: as in the constructor.
        """
        pause_actions = self._detect_pause(now)
        if cfg.version > self._holdings.cfg.version:
            self._holdings.on_config(cfg, now, config_age_seconds)
            self._borrowing.on_config()
        return pause_actions

    def set_fresh(self, is_fresh: bool, now: float) -> TokenActions:
        """Enable or disable the use of this daemon's shares.

        While disabled, no tokens of the shares are made, lent or spent.

        :param is_fresh: whether the configuration in force is known to have
            been the newest published one until recently.
        :param now: monotonic seconds.
        """
        pause_actions = self._detect_pause(now)
        self._holdings.set_fresh(is_fresh, now)
        return pause_actions

    def on_pause(self, gap: float, now: float) -> TokenActions:
        """Discard all tokens and refuse the waiting requests.

        The shares are not used until ``set_fresh`` is called again.

        :param gap: length of the pause in seconds.
        :param now: monotonic seconds.
        """
        self._last_call_at = now
        self._holdings.discard_tokens(now)
        return self._borrowing.reset()

    def stop(self, now: float) -> TokenActions:
        """Refuse all requests from now on and return borrowed tokens.

        :param now: monotonic seconds.
        """
        return self._detect_pause(now) + self._borrowing.stop()

    def _detect_pause(self, now: float) -> TokenActions:
        gap = now - self._last_call_at
        self._last_call_at = max(now, self._last_call_at)
        if gap > MAX_CALL_GAP_SECONDS:
            return self.on_pause(gap, now)
        return ()

    def _on_draw(
        self, sender: str, body: DrawRequest, now: float
    ) -> TokenActions:
        if body.lease.borrower != sender or not _all_name_sender(
            sender, body.reports
        ):
            return ()
        return (Send(sender, self._holdings.lend(body, now)),)


def _all_name_sender(sender: str, reports: tuple[LeaseReport, ...]) -> bool:
    return all(report.lease.borrower == sender for report in reports)
