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
from clementinedeal._token_amounts import Pace

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
        reporter = self._desks.get(account)
        if reporter is None:
            reporter = AccountDraws(account)
            self._desks[account] = reporter
        reporter.used_at = now
        reporter.demand.note(now)
        if not reporter.waiting and self._spend(reporter, now):
            sends = self._draws.prefetch(reporter, now)
            self._mark(reporter)
            return (Admitted(req_id), *sends)
        if self._is_hopeless(reporter, now):
            return (_refuse(self._draws.pace(reporter), req_id),)
        reporter.waiting.append(Waiting(req_id, now))
        return self._serve(reporter, now)

    def cancel(self, req_id: str, account: str) -> bool:
        """Forget a request that waits; tell whether it did.

        :param req_id: request id.
        :param account: name of the account.
        """
        reporter = self._desks.get(account)
        for waiting in reporter.waiting if reporter else ():
            if reporter and waiting.req_id == req_id:
                reporter.waiting.remove(waiting)
                return True
        return False

    def on_grant(self, sender: str, body: DrawGrant, now: float) -> Actions:
        """Keep a grant if it answers an open draw; give a late one back.

        :param sender: authenticated name of the holder.
        :param body: the grant.
        :param now: monotonic seconds.
        """
        self._draws.siblings.trust(sender)
        reporter = self._desks.get(body.account)
        lease = body.lease
        if reporter is None or lease.incarnation != self._draws.incarnation:
            return ()
        draw = reporter.draws.get(lease.seq)
        if draw is None or draw.holder != sender:
            return ()
        reporter.draws.pop(lease.seq)
        if draw.abandoned or self._stopping:
            report = LeaseReport(lease, 0, closed=True)
            return (Send(sender, SpentReports(body.account, (report,))),)
        reporter.levels[sender] = body.left
        if body.amount:
            reporter.borrowed.add(lease, sender, body.amount, draw.expires_at)
        if body.amount < max(1, draw.need):
            reporter.dry[sender] = now + self._draws.pace(reporter).dry_seconds
        else:
            reporter.asked.discard(sender)
            reporter.rounds = 0
        return self._serve(reporter, now)

    def on_tick(self, now: float) -> Actions:
        """Handle late draws, refusals and reports that are due.

        :param now: monotonic seconds.
        """
        done: list[TokenAction] = []
        for reporter in tuple(self._busy.values()):
            for holder in reporter.expire(now):
                self._draws.siblings.suspect(holder, now)
            done.extend(self._serve(reporter, now))
            done.extend(_settle(reporter, now))
            if not reporter.is_busy():
                self._busy.pop(reporter.account)
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
        for reporter in self._desks.values():
            done.extend(_give_back(reporter))
        return tuple(done)

    def _spend(self, reporter: AccountDraws, now: float) -> bool:
        lender = self._holdings.find(reporter.account, now)
        if self._stopping or not reporter.spend(UNIT_MICROS, lender, now):
            return False
        if reporter.settle_at == math.inf and reporter.borrowed.holders():
            reporter.settle_at = now + self._draws.pace(reporter).settle_seconds
        return True

    def _is_hopeless(self, reporter: AccountDraws, now: float) -> bool:
        return (
            self._stopping
            or now < reporter.refuse_until
            or len(reporter.waiting) >= MAX_WAITING
            or not self._draws.order(reporter, now)
        )

    def _serve(self, reporter: AccountDraws, now: float) -> Actions:
        done: list[TokenAction] = []
        while reporter.waiting and self._spend(reporter, now):
            done.append(Admitted(reporter.waiting.popleft().req_id))
        while reporter.waiting and not reporter.pending():
            sends = self._draws.next_round(reporter, now)
            done.extend(sends or self._give_up(reporter, now))
        while reporter.waiting and _is_late(reporter.waiting[0], now):
            done.append(
                _refuse(
                    self._draws.pace(reporter),
                    reporter.waiting.popleft().req_id,
                )
            )
        if not reporter.waiting and not reporter.pending():
            done.extend(self._end_run(reporter, now))
        self._mark(reporter)
        return tuple(done)

    def _mark(self, reporter: AccountDraws) -> None:
        if reporter.is_busy():
            self._busy[reporter.account] = reporter

    def _end_run(self, reporter: AccountDraws, now: float) -> Actions:
        reporter.end_run()
        if self._draws.pace(reporter).chunk(reporter.demand.rate(now)):
            return ()
        return _give_back(reporter) if reporter.borrowed.balance(now) else ()

    def _give_up(self, reporter: AccountDraws, now: float) -> Actions:
        if reporter.answered:
            reporter.refuse_until = now + self._draws.pace(reporter).dry_seconds
        is_final = reporter.answered or not self._draws.order(reporter, now)
        done: list[TokenAction] = []
        while reporter.waiting:
            if not is_final and reporter.waiting[0].since > reporter.round_at:
                break
            done.append(
                _refuse(
                    self._draws.pace(reporter),
                    reporter.waiting.popleft().req_id,
                )
            )
        reporter.end_run()
        done.extend(_give_back(reporter))
        return tuple(done)

    def _refuse_all(self) -> Actions:
        refused: list[TokenAction] = []
        for reporter in self._desks.values():
            refused.extend(
                _refuse(self._draws.pace(reporter), req.req_id)
                for req in reporter.waiting
            )
            reporter.waiting.clear()
        return tuple(refused)

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        for reporter in tuple(self._desks.values()):
            reporter.borrowed.balance(now)
            if reporter.is_idle(now, IDLE_SECONDS):
                self._desks.pop(reporter.account)


def _refuse(pace: Pace, req_id: str) -> Refused:
    return Refused(req_id, pace.retry_after_seconds)


def _settle(reporter: AccountDraws, now: float) -> tuple[Send, ...]:
    if now < reporter.settle_at:
        return ()
    reporter.settle_at = math.inf
    reporter.borrowed.balance(now)
    return tuple(
        Send(
            name, SpentReports(reporter.account, reporter.borrowed.report(name))
        )
        for name in reporter.borrowed.unreported()
    )


def _give_back(reporter: AccountDraws) -> tuple[Send, ...]:
    return tuple(
        Send(
            name, SpentReports(reporter.account, reporter.borrowed.close(name))
        )
        for name in reporter.borrowed.holders()
    )


def _is_late(waiting: Waiting, now: float) -> bool:
    return now - waiting.since >= DRAW_LIMIT_SECONDS
