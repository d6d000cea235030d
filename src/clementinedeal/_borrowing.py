"""Takes tokens for an owner's requests and borrows those that it lacks."""

import math

from clementinedeal._draw_planner import DrawPlanner
from clementinedeal._draw_policy import DrawPolicy
from clementinedeal._draws import (
    MAX_WAIT_SECONDS,
    MAX_WAITING_REQUESTS,
    AccountState,
    DrawGrant,
    SpentReports,
    TokenAction,
    TokenGranted,
    TokenRefused,
    WaitingRequest,
)
from clementinedeal._holdings import Holdings
from clementinedeal._leases import MICROS_PER_UNIT, LeaseReport
from clementinedeal._messages import Send

ACCOUNT_IDLE_SECONDS = 5.0  # without a request, before the state is removed

TokenActions = tuple[TokenAction, ...]


class Borrowing:
    """Takes tokens for the requests of one owner.

    The owner is the daemon beside a target, the only one that calls it. Its
    tokens come from its own shares and from draws on the other holders.
    """

    def __init__(self, me: str, incarnation: int, holdings: Holdings) -> None:
        """Start with nothing borrowed.

        :param me: name of this instance.
        :param incarnation: number of this process, different from that of
            every earlier process of the same instance.
        :param holdings: this instance's own shares.
        """
        self._holdings = holdings
        self._planner = DrawPlanner(me, incarnation, holdings)
        self._swept_at = 0.0
        self._is_stopping = False
        self._accounts: dict[str, AccountState] = {}
        self._busy_accounts: dict[str, AccountState] = {}

    def take(self, req_id: str, account: str, now: float) -> TokenActions:
        """Take one token for a request.

        The decision (``TokenGranted`` or ``TokenRefused``) is among the
        returned actions, or among those of a later call.

        :param req_id: unique id of the attempt that needs the token.
        :param account: name of the account.
        :param now: monotonic seconds.
        """
        state = self._accounts.get(account)
        if state is None:
            state = AccountState(account)
            self._accounts[account] = state
        state.last_request_at = now
        state.demand.record(now)
        if not state.waiting and self._spend(state, now):
            sends = self._planner.prefetch(state, now)
            self._mark_busy(state)
            return (TokenGranted(req_id), *sends)
        if self._must_refuse(state, now):
            return (_refuse(self._planner.policy(state), req_id),)
        state.waiting.append(WaitingRequest(req_id, now))
        return self._process_waiting(state, now)

    def cancel(self, req_id: str, account: str) -> bool:
        """Remove a waiting request and return whether it was waiting.

        :param req_id: id given to ``take``.
        :param account: name of the account.
        """
        state = self._accounts.get(account)
        for waiting in state.waiting if state else ():
            if state and waiting.req_id == req_id:
                state.waiting.remove(waiting)
                return True
        return False

    def on_grant(
        self, sender: str, body: DrawGrant, now: float
    ) -> TokenActions:
        """Add the tokens of a grant; give those of a late one back.

        :param sender: authenticated name of the holder.
        :param body: the grant; ignored if it answers no draw of this process.
        :param now: monotonic seconds.
        """
        self._planner.holder_order.clear_suspect(sender)
        state = self._accounts.get(body.account)
        lease = body.lease
        if state is None or lease.incarnation != self._planner.incarnation:
            return ()
        draw = state.draws.get(lease.seq)
        if draw is None or draw.holder != sender:
            return ()
        state.draws.pop(lease.seq)
        if draw.abandoned or self._is_stopping:
            report = LeaseReport(lease, 0, closed=True)
            return (Send(sender, SpentReports(body.account, (report,))),)
        state.holder_levels[sender] = body.left
        if body.amount:
            state.borrowed.add(lease, sender, body.amount, draw.expires_at)
        if body.amount < max(1, draw.need):
            state.empty_until[sender] = (
                now + self._planner.policy(state).empty_backoff_seconds
            )
        else:
            state.asked_holders.discard(sender)
            state.rounds_sent = 0
        return self._process_waiting(state, now)

    def on_tick(self, now: float) -> TokenActions:
        """Abandon unanswered draws and act on what is due.

        Requests that have waited too long are refused, and spent tokens are
        reported to the holders.

        :param now: monotonic seconds.
        """
        actions: list[TokenAction] = []
        for state in tuple(self._busy_accounts.values()):
            for holder in state.expire_draws(now):
                self._planner.holder_order.mark_suspect(holder, now)
            actions.extend(self._process_waiting(state, now))
            actions.extend(_report_spent(state, now))
            if not state.is_busy():
                self._busy_accounts.pop(state.account)
        if now - self._swept_at >= ACCOUNT_IDLE_SECONDS:
            self._remove_idle(now)
        return tuple(actions)

    def on_config(self) -> None:
        """Switch to the configuration that the holdings use."""
        self._planner.holder_order.on_config(self._holdings.cfg)

    def reset(self) -> TokenActions:
        """Discard all borrowed tokens and refuse the waiting requests."""
        refusals = self._refuse_all()
        self._accounts.clear()
        self._busy_accounts.clear()
        return refusals

    def stop(self) -> TokenActions:
        """Refuse all requests from now on and return borrowed tokens."""
        self._is_stopping = True
        actions = list(self._refuse_all())
        for state in self._accounts.values():
            actions.extend(_return_leases(state))
        return tuple(actions)

    def _spend(self, state: AccountState, now: float) -> bool:
        lender = self._holdings.find_lender(state.account, now)
        if self._is_stopping or not state.spend(MICROS_PER_UNIT, lender, now):
            return False
        if state.report_at == math.inf and state.borrowed.holders():
            state.report_at = (
                now + self._planner.policy(state).report_delay_seconds
            )
        return True

    def _must_refuse(self, state: AccountState, now: float) -> bool:
        return (
            self._is_stopping
            or now < state.refuse_until
            or len(state.waiting) >= MAX_WAITING_REQUESTS
            or not self._planner.order(state, now)
        )

    def _process_waiting(self, state: AccountState, now: float) -> TokenActions:
        actions: list[TokenAction] = []
        while state.waiting and self._spend(state, now):
            actions.append(TokenGranted(state.waiting.popleft().req_id))
        while state.waiting and not state.count_pending():
            sends = self._planner.next_round(state, now)
            actions.extend(sends or self._refuse_waiting(state, now))
        while state.waiting and _is_late(state.waiting[0], now):
            actions.append(
                _refuse(
                    self._planner.policy(state),
                    state.waiting.popleft().req_id,
                )
            )
        if not state.waiting and not state.count_pending():
            actions.extend(self._end_rounds(state, now))
        self._mark_busy(state)
        return tuple(actions)

    def _mark_busy(self, state: AccountState) -> None:
        if state.is_busy():
            self._busy_accounts[state.account] = state

    def _end_rounds(self, state: AccountState, now: float) -> TokenActions:
        state.reset_rounds()
        if self._planner.policy(state).prefetch_amount(state.demand.rate(now)):
            return ()
        return _return_leases(state) if state.borrowed.balance(now) else ()

    def _refuse_waiting(self, state: AccountState, now: float) -> TokenActions:
        """Refuse the waiting requests, as the rounds brought too few tokens.

        If all holders answered, new requests are refused at once for a while.
        If some did not, requests that arrived after the start of the last
        round stay, and new rounds are started for them.
        """
        if state.all_answered:
            state.refuse_until = (
                now + self._planner.policy(state).empty_backoff_seconds
            )
        is_final = state.all_answered or not self._planner.order(state, now)
        actions: list[TokenAction] = []
        while state.waiting:
            if not is_final and state.waiting[0].since > state.round_started_at:
                break
            actions.append(
                _refuse(
                    self._planner.policy(state),
                    state.waiting.popleft().req_id,
                )
            )
        state.reset_rounds()
        actions.extend(_return_leases(state))
        return tuple(actions)

    def _refuse_all(self) -> TokenActions:
        refusals: list[TokenAction] = []
        for state in self._accounts.values():
            refusals.extend(
                _refuse(self._planner.policy(state), req.req_id)
                for req in state.waiting
            )
            state.waiting.clear()
        return tuple(refusals)

    def _remove_idle(self, now: float) -> None:
        self._swept_at = now
        for state in tuple(self._accounts.values()):
            state.borrowed.balance(now)
            if state.is_idle(now, ACCOUNT_IDLE_SECONDS):
                self._accounts.pop(state.account)


def _refuse(policy: DrawPolicy, req_id: str) -> TokenRefused:
    return TokenRefused(req_id, policy.retry_after_seconds)


def _report_spent(state: AccountState, now: float) -> tuple[Send, ...]:
    if now < state.report_at:
        return ()
    state.report_at = math.inf
    state.borrowed.balance(now)
    return tuple(
        Send(name, SpentReports(state.account, state.borrowed.report(name)))
        for name in state.borrowed.unreported()
    )


def _return_leases(state: AccountState) -> tuple[Send, ...]:
    return tuple(
        Send(name, SpentReports(state.account, state.borrowed.close(name)))
        for name in state.borrowed.holders()
    )


def _is_late(waiting: WaitingRequest, now: float) -> bool:
    return now - waiting.since >= MAX_WAIT_SECONDS
