"""One account at one owner: borrowed tokens, waiting requests, open draws."""

import math
from collections import deque
from dataclasses import dataclass, field

from clementinedeal._borrowed import BorrowedUnits
from clementinedeal._leases import LeaseId, LeaseReport, Lender
from clementinedeal._messages import Send, message

DRAW_TIMEOUT_SECONDS = 0.05
MAX_WAIT_SECONDS = 0.2
ON_DEMAND_TTL_SECONDS = 0.25
MAX_WAITING_REQUESTS = 64
DEMAND_WINDOW_SECONDS = 1.0


@message
@dataclass(frozen=True, slots=True)
class DrawRequest:
    """Asks a holder for tokens of an account.

    ``need`` and ``want`` are micro-tokens: what requests wait for, and what
    would be useful in all. The lease lasts ``ttl_millis`` from the sending.
    """

    account: str
    lease: LeaseId
    need: int
    want: int
    ttl_millis: int
    reports: tuple[LeaseReport, ...] = ()


@message
@dataclass(frozen=True, slots=True)
class DrawGrant:
    """Answers a draw with the micro-tokens lent, zero included.

    ``left`` is what the holder has after it, for the choice of the next one.
    """

    account: str
    lease: LeaseId
    amount: int
    left: int


@message
@dataclass(frozen=True, slots=True)
class SpentReports:
    """Tells a holder what became of its leases."""

    account: str
    reports: tuple[LeaseReport, ...]


@dataclass(frozen=True, slots=True)
class TokenGranted:
    """Action: the request holds a token and may start."""

    req_id: str


@dataclass(frozen=True, slots=True)
class TokenRefused:
    """Action: no token; the request must not start."""

    req_id: str
    retry_after_seconds: float


TokenAction = TokenGranted | TokenRefused | Send


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a token."""

    req_id: str
    since: float


@dataclass(slots=True)
class OpenDraw:
    """A draw that was sent; ``abandoned`` after its timeout."""

    holder: str
    need: int
    sent_at: float
    expires_at: float
    abandoned: bool = False


class Demand:
    """Requests per second, with an exponential window."""

    def __init__(self) -> None:
        """Start at zero."""
        self._rate = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """Count one request.

        :param now: monotonic seconds.
        """
        self._rate = self.rate(now) + 1 / DEMAND_WINDOW_SECONDS
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return requests per second around now."""
        return self._rate * math.exp(
            (self._updated_at - now) / DEMAND_WINDOW_SECONDS
        )


@dataclass(slots=True)
class AccountState:
    """What an owner keeps for one account with recent demand."""

    account: str
    borrowed: BorrowedUnits = field(default_factory=BorrowedUnits)
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    draws: dict[int, OpenDraw] = field(default_factory=dict)
    demand: Demand = field(default_factory=Demand)
    asked_holders: set[str] = field(default_factory=set)
    empty_until: dict[str, float] = field(default_factory=dict)
    holder_levels: dict[str, int] = field(default_factory=dict)
    rounds_sent: int = 0
    round_started_at: float = 0
    all_answered: bool = True
    refuse_until: float = 0
    report_at: float = float('inf')
    last_request_at: float = 0

    def is_busy(self) -> bool:
        """Tell whether something may become due."""
        return bool(self.waiting or self.draws or math.isfinite(self.report_at))

    def is_idle(self, now: float, idle_seconds: float) -> bool:
        """Tell whether nothing is left to keep.

        :param now: monotonic seconds.
        :param idle_seconds: time without a request.
        """
        unused = now - self.last_request_at >= idle_seconds
        return unused and not self.is_busy() and not self.borrowed.holders()

    def count_pending(self) -> int:
        """Return how many draws with requests behind them are unanswered."""
        return sum(
            1
            for draw in self.draws.values()
            if draw.need and not draw.abandoned
        )

    def has_open_draw(self) -> bool:
        """Tell whether any draw is unanswered."""
        return any(not draw.abandoned for draw in self.draws.values())

    def spend(self, amount: int, lender: Lender | None, now: float) -> bool:
        """Spend borrowed units first, then own ones; all or nothing.

        :param amount: micro-units.
        :param lender: this instance's own share if it may be used now.
        :param now: monotonic seconds.
        """
        borrowed = min(amount, self.borrowed.balance(now))
        own = amount - borrowed
        if own > _level(lender):
            return False
        self.borrowed.spend(borrowed)
        if lender and own:
            lender.spend(own)
        return True

    def available(self, lender: Lender | None, now: float) -> int:
        """Return the micro-units that could be spent now.

        :param lender: this instance's own share if it may be used now.
        :param now: monotonic seconds.
        """
        return self.borrowed.balance(now) + _level(lender)

    def reset_rounds(self) -> None:
        """Forget whom the last requests asked."""
        self.asked_holders.clear()
        self.rounds_sent = 0
        self.all_answered = True

    def expire_draws(self, now: float) -> tuple[str, ...]:
        """Abandon late draws and return the holders that did not answer.

        :param now: monotonic seconds.
        """
        late: list[str] = []
        for seq, draw in tuple(self.draws.items()):
            if (
                not draw.abandoned
                and draw.sent_at + DRAW_TIMEOUT_SECONDS <= now
            ):
                draw.abandoned = True
                self.all_answered = False
                late.append(draw.holder)
            if draw.expires_at <= now:
                self.draws.pop(seq)
        return tuple(late)


def _level(lender: Lender | None) -> int:
    return lender.level if lender else 0
