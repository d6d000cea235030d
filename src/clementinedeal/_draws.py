"""Messages of draws, and the state of one account at one owner.

An owner draws tokens of an account from its holders, the instances that keep
shares of the account's rate, when its own share does not suffice.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from clementinedeal._borrowed import BorrowedUnits
from clementinedeal._leases import LeaseId, LeaseReport, Lender
from clementinedeal._messages import Send, message

DRAW_TIMEOUT_SECONDS = 0.05  # for the holder's answer to one draw
MAX_WAIT_SECONDS = 0.2  # for which a request waits for its token
ON_DEMAND_TTL_SECONDS = 0.25  # of leases that cover waiting requests only
MAX_WAITING_REQUESTS = 64  # for each account at one owner
DEMAND_WINDOW_SECONDS = 1.0  # time constant of an account's average demand


@message
@dataclass(frozen=True, slots=True)
class DrawRequest:
    """Owner to holder: lend tokens of an account.

    ``need`` is what the waiting requests lack, ``want`` the total that the
    owner can use, both in micro-tokens. The lease lasts ``ttl_millis`` from
    the sending of this message. ``reports`` are on earlier leases of the same
    holder.
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
    """Holder to owner: the micro-tokens lent for a draw, possibly zero.

    ``left`` is the holder's level after the grant in micro-tokens; owners ask
    the holders with the highest level first.
    """

    account: str
    lease: LeaseId
    amount: int
    left: int


@message
@dataclass(frozen=True, slots=True)
class SpentReports:
    """Owner to holder: what was spent of the holder's leases."""

    account: str
    reports: tuple[LeaseReport, ...]


@dataclass(frozen=True, slots=True)
class TokenGranted:
    """Action: a token was taken for the request, which may start."""

    req_id: str


@dataclass(frozen=True, slots=True)
class TokenRefused:
    """Action: no token was available; the request must not start."""

    req_id: str
    retry_after_seconds: float


TokenAction = TokenGranted | TokenRefused | Send


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a token since a monotonic time in seconds."""

    req_id: str
    since: float


@dataclass(slots=True)
class OpenDraw:
    """A draw that was sent and not yet answered.

    ``need`` is in micro-tokens. The draw is ``abandoned`` once its timeout
    has passed; a grant that arrives later is returned. The draw is kept until
    ``expires_at``, when the lease would have ended. Times are in monotonic
    seconds.
    """

    holder: str
    need: int
    sent_at: float
    expires_at: float
    abandoned: bool = False


class Demand:
    """Requests per second, as an exponentially decaying average."""

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
        """Return the recent rate in requests per second.

        :param now: monotonic seconds.
        """
        return self._rate * math.exp(
            (self._updated_at - now) / DEMAND_WINDOW_SECONDS
        )


@dataclass(slots=True)
class AccountState:
    """State of one account with recent requests at one owner.

    ``borrowed`` are the leases, ``waiting`` the requests without a token in
    order of arrival, ``draws`` the open draws by sequence number. Holders are
    asked in rounds while requests wait: ``asked_holders`` and ``rounds_sent``
    belong to the current rounds, ``all_answered`` turns false when a holder
    does not answer in time. By holder, ``empty_until`` is the time until which
    it is not preferred, as it had too few tokens, and ``holder_levels`` its
    last known level in micro-tokens. Requests are refused at once until
    ``refuse_until``; spent tokens are reported at ``report_at``. Times are in
    monotonic seconds.
    """

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
        """Return whether ``on_tick`` has anything to do for this account."""
        return bool(self.waiting or self.draws or math.isfinite(self.report_at))

    def is_idle(self, now: float, idle_seconds: float) -> bool:
        """Return whether this state may be removed.

        :param now: monotonic seconds.
        :param idle_seconds: minimum time since the last request.
        """
        unused = now - self.last_request_at >= idle_seconds
        return unused and not self.is_busy() and not self.borrowed.holders()

    def count_pending(self) -> int:
        """Return how many open draws were sent for waiting requests."""
        return sum(
            1
            for draw in self.draws.values()
            if draw.need and not draw.abandoned
        )

    def has_open_draw(self) -> bool:
        """Return whether any draw may still be answered in time."""
        return any(not draw.abandoned for draw in self.draws.values())

    def spend(self, amount: int, lender: Lender | None, now: float) -> bool:
        """Spend borrowed units first, then units of this instance's share.

        Return whether the amount was available; otherwise nothing is spent.

        :param amount: micro-units.
        :param lender: this instance's own share, None if it may not be used.
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

        :param lender: this instance's own share, None if it may not be used.
        :param now: monotonic seconds.
        """
        return self.borrowed.balance(now) + _level(lender)

    def reset_rounds(self) -> None:
        """Start the next search for tokens with the first round again."""
        self.asked_holders.clear()
        self.rounds_sent = 0
        self.all_answered = True

    def expire_draws(self, now: float) -> tuple[str, ...]:
        """Abandon late draws and return the holders that did not answer.

        Draws whose lease would have ended are removed.

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
