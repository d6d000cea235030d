"""The owner's side: requests take tokens, missing ones are drawn."""

import math

from clementinedeal._draw_plan import DrawPlan
from clementinedeal._draws import (
    DRAW_LIMIT_SECONDS,
    MAX_WAITING,
    AccountDraws,
    Admitted,
    DrawGrant,
    Refused,
    SpentReports,
    TokenAction,
    Waiting,
)
from clementinedeal._holdings import Holdings
from clementinedeal._leases import UNIT_MICROS, LeaseReport
from clementinedeal._messages import Send
from clementinedeal._pace import Pace

IDLE_SECONDS = 5.0

Actions = tuple[TokenAction, ...]


class Borrowing:
    """Takes tokens for requests and draws them from the holders."""

    def __init__(self, me: str, incarnation: int, holdings: Holdings) -> None:
        """Start with nothing borrowed.

        :param me: name of this instance.
        :param incarnation: differs from that of every earlier process of the
            same instance.
        :param holdings: this instance's own shares.
        """
        self._holdings = holdings
        self._draws = DrawPlan(me, incarnation, holdings)
        self._swept_at = 0.0
        self._stopping = False
        self._desks: dict[str, AccountDraws] = {}
        self._busy: dict[str, AccountDraws] = {}

    def take(self, req_id: str, account: str, now: float) -> Actions:
        """Take one token; the outcome may come from a later call.

        :param req_id: request id, unique.
        :param account: name of the account.
        :param now: monotonic seconds.
        """
        desk = self._desks.get(account)
        if desk is None:
            desk = AccountDraws(account)
            self._desks[account] = desk
        desk.used_at = now
        desk.demand.note(now)
        if not desk.waiting and self._spend(desk, now):
            sends = self._draws.prefetch(desk, now)
            self._mark(desk)
            return (Admitted(req_id), *sends)
        if self._is_hopeless(desk, now):
            return (_refuse(self._draws.pace(desk), req_id),)
        desk.waiting.append(Waiting(req_id, now))
        return self._serve(desk, now)

    def cancel(self, req_id: str, account: str) -> bool:
        """Forget a request that waits; tell whether it did.

        :param req_id: request id.
        :param account: name of the account.
        """
        desk = self._desks.get(account)
        for waiting in desk.waiting if desk else ():
            if desk and waiting.req_id == req_id:
                desk.waiting.remove(waiting)
                return True
        return False

    def on_grant(self, sender: str, body: DrawGrant, now: float) -> Actions:
        """Keep a grant if it answers an open draw; give a late one back.

        :param sender: authenticated name of the holder.
        :param body: the grant.
        :param now: monotonic seconds.
        """
        self._draws.siblings.trust(sender)
        desk = self._desks.get(body.account)
        lease = body.lease
        if desk is None or lease.incarnation != self._draws.incarnation:
            return ()
        draw = desk.draws.get(lease.seq)
        if draw is None or draw.holder != sender:
            return ()
        desk.draws.pop(lease.seq)
        if draw.abandoned or self._stopping:
            report = LeaseReport(lease, 0, closed=True)
            return (Send(sender, SpentReports(body.account, (report,))),)
        desk.levels[sender] = body.left
        if body.amount:
            desk.wallet.add(lease, sender, body.amount, draw.expires_at)
        if body.amount < max(1, draw.need):
            desk.dry[sender] = now + self._draws.pace(desk).dry_seconds
        else:
            desk.asked.discard(sender)
            desk.rounds = 0
        return self._serve(desk, now)

    def on_tick(self, now: float) -> Actions:
        """Handle late draws, refusals and reports that are due.

        :param now: monotonic seconds.
        """
        done: list[TokenAction] = []
        for desk in tuple(self._busy.values()):
            for holder in desk.expire(now):
                self._draws.siblings.suspect(holder, now)
            done.extend(self._serve(desk, now))
            done.extend(_settle(desk, now))
            if not desk.is_busy():
                self._busy.pop(desk.account)
        if now - self._swept_at >= IDLE_SECONDS:
            self._sweep(now)
        return tuple(done)

    def on_config(self) -> None:
        """Go by the version that the holdings go by."""
        self._draws.siblings.on_config(self._holdings.cfg)

    def drop(self) -> Actions:
        """Forget all that was borrowed and refuse what waits."""
        done = self._refuse_all()
        self._desks.clear()
        self._busy.clear()
        return done

    def stop(self) -> Actions:
        """Refuse all from now on and give back what was borrowed."""
        self._stopping = True
        done = list(self._refuse_all())
        for desk in self._desks.values():
            done.extend(_give_back(desk))
        return tuple(done)

    def _spend(self, desk: AccountDraws, now: float) -> bool:
        mint = self._holdings.find(desk.account, now)
        if self._stopping or not desk.spend(UNIT_MICROS, mint, now):
            return False
        if desk.settle_at == math.inf and desk.wallet.holders():
            desk.settle_at = now + self._draws.pace(desk).settle_seconds
        return True

    def _is_hopeless(self, desk: AccountDraws, now: float) -> bool:
        return (
            self._stopping
            or now < desk.refuse_until
            or len(desk.waiting) >= MAX_WAITING
            or not self._draws.order(desk, now)
        )

    def _serve(self, desk: AccountDraws, now: float) -> Actions:
        done: list[TokenAction] = []
        while desk.waiting and self._spend(desk, now):
            done.append(Admitted(desk.waiting.popleft().req_id))
        while desk.waiting and not desk.pending():
            sends = self._draws.next_round(desk, now)
            done.extend(sends or self._give_up(desk, now))
        while desk.waiting and _is_late(desk.waiting[0], now):
            done.append(
                _refuse(self._draws.pace(desk), desk.waiting.popleft().req_id)
            )
        if not desk.waiting and not desk.pending():
            done.extend(self._end_run(desk, now))
        self._mark(desk)
        return tuple(done)

    def _mark(self, desk: AccountDraws) -> None:
        if desk.is_busy():
            self._busy[desk.account] = desk

    def _end_run(self, desk: AccountDraws, now: float) -> Actions:
        desk.end_run()
        if self._draws.pace(desk).chunk(desk.demand.rate(now)):
            return ()
        return _give_back(desk) if desk.wallet.balance(now) else ()

    def _give_up(self, desk: AccountDraws, now: float) -> Actions:
        if desk.answered:
            desk.refuse_until = now + self._draws.pace(desk).dry_seconds
        is_final = desk.answered or not self._draws.order(desk, now)
        done: list[TokenAction] = []
        while desk.waiting:
            if not is_final and desk.waiting[0].since > desk.round_at:
                break
            done.append(
                _refuse(self._draws.pace(desk), desk.waiting.popleft().req_id)
            )
        desk.end_run()
        done.extend(_give_back(desk))
        return tuple(done)

    def _refuse_all(self) -> Actions:
        refused: list[TokenAction] = []
        for desk in self._desks.values():
            refused.extend(
                _refuse(self._draws.pace(desk), req.req_id)
                for req in desk.waiting
            )
            desk.waiting.clear()
        return tuple(refused)

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        for desk in tuple(self._desks.values()):
            desk.wallet.balance(now)
            if desk.is_idle(now, IDLE_SECONDS):
                self._desks.pop(desk.account)


def _refuse(pace: Pace, req_id: str) -> Refused:
    return Refused(req_id, pace.retry_after_seconds)


def _settle(desk: AccountDraws, now: float) -> tuple[Send, ...]:
    if now < desk.settle_at:
        return ()
    desk.settle_at = math.inf
    desk.wallet.balance(now)
    return tuple(
        Send(name, SpentReports(desk.account, desk.wallet.report(name)))
        for name in desk.wallet.unreported()
    )


def _give_back(desk: AccountDraws) -> tuple[Send, ...]:
    return tuple(
        Send(name, SpentReports(desk.account, desk.wallet.close(name)))
        for name in desk.wallet.holders()
    )


def _is_late(waiting: Waiting, now: float) -> bool:
    return now - waiting.since >= DRAW_LIMIT_SECONDS
