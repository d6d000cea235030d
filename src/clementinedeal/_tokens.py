"""Rate and burst of client accounts over the whole fleet.

The owner of a target takes a token for each request before it starts. Tokens
come from the shares of a few holders; an owner without tokens draws from the
holders before it refuses.
"""

from typing import Any

from clementinedeal._borrowing import Borrowing, TokenActions
from clementinedeal._draws import DrawGrant, DrawRequest, SpentReports
from clementinedeal._holdings import Holdings
from clementinedeal._leases import LeaseReport
from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._timers import PAUSE_SECONDS

# Above the timers' limit, so that they report every pause noticed here and
# freshness is renewed after it.
MAX_CALL_GAP_SECONDS = 2 * PAUSE_SECONDS


class TokenManager:
    """Takes, lends and draws the tokens of all accounts for one daemon.

    The transport calls ``on_tick`` at least every 50 ms. A gap between two
    calls of more than ``GAP_SECONDS`` counts as a pause, also before the
    timers report it.
    """

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        *,
        incarnation: int,
        known_for: float = 0.0,
    ) -> None:
        """Start with no tokens and not fresh.

        :param me: name of this instance.
        :param cfg: version in force.
        :param now: monotonic seconds.
        :param incarnation: differs from that of every earlier process of the
            same instance.
        :param known_for: seconds for which the version is known to have been
            published, at least. The shares of this instance stay empty until
            ``GROW_WAIT_SECONDS`` after the publication.
        """
        self._last_call_at = now
        self._holdings = Holdings(me, cfg, now, known_for)
        self._borrowing = Borrowing(me, incarnation, self._holdings)

    def holders(self, account: str) -> tuple[str, ...]:
        """Return the instances that hold shares of an account.

        :param account: name of the account; unknown ones have none.
        """
        return self._holdings.versions.table.find(account).holders

    def take(self, req_id: str, account: str, now: float) -> TokenActions:
        """Take one token; the outcome may come from a later call.

        :param req_id: request id, unique.
        :param account: name of the account.
        :param now: monotonic seconds.
        """
        pause_actions = self._detect_pause(now)
        return pause_actions + self._borrowing.take(req_id, account, now)

    def cancel(self, req_id: str, account: str) -> bool:
        """Forget a request that waits; tell whether it did.

        :param req_id: request id.
        :param account: name of the account.
        """
        return self._borrowing.cancel(req_id, account)

    def on_message(self, sender: str, body: Any, now: float) -> TokenActions:
        """Handle a control message of another instance's manager.

        :param sender: its authenticated name.
        :param body: any message; others than the manager's are ignored.
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
        """Handle what has become due.

        :param now: monotonic seconds.
        """
        return self._detect_pause(now) + self._borrowing.on_tick(now)

    def on_config(
        self,
        cfg: Config,
        now: float,
        known_for: float = 0.0,
    ) -> TokenActions:
        """Go by a newer version; others are ignored.

        A daemon that was not fresh is told that it is with ``set_fresh`` only
        after this call, never before.

        :param cfg: the version that came into force.
        :param now: monotonic seconds.
        :param known_for: as in the constructor.
        """
        pause_actions = self._detect_pause(now)
        if cfg.version > self._holdings.cfg.version:
            self._holdings.on_config(cfg, now, known_for)
            self._borrowing.on_config()
        return pause_actions

    def set_fresh(self, is_fresh: bool, now: float) -> TokenActions:
        """Start or stop making, lending and spending this daemon's shares.

        :param is_fresh: whether nothing newer is known to be published.
        :param now: monotonic seconds.
        """
        pause_actions = self._detect_pause(now)
        self._holdings.set_fresh(is_fresh, now)
        return pause_actions

    def on_pause(self, gap: float, now: float) -> TokenActions:
        """Drop all tokens and refuse what waits; freshness must be renewed.

        :param gap: length of the pause in seconds.
        :param now: monotonic seconds.
        """
        self._last_call_at = now
        self._holdings.discard_tokens(now)
        return self._borrowing.reset()

    def stop(self, now: float) -> TokenActions:
        """Refuse what waits and give borrowed tokens back.

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
