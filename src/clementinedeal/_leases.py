"""Conserved units that one holder lends to many borrowers for a time.

A ``Lender`` makes units at a fixed rate up to a capacity. At every moment its
level plus what it has lent, and cannot prove gone, is at most the capacity.
A ``BorrowedUnits``
(``_borrowed``) is the borrower's side. Messages may be lost, repeated, late or
out of order: each can only lose units.

Amounts are integer micro-units, times are monotonic seconds of the caller's
own clock. Clocks of holder and borrower need not agree, only run at nearly
the same speed: the borrower counts a lease from before it sent the request,
the holder from after it received it and adds ``LEASE_MARGIN_SECONDS``.
"""

from dataclasses import dataclass

MICROS_PER_UNIT = 1_000_000
LEASE_TTL_SECONDS = 2.0
LEASE_MARGIN_SECONDS = 0.2
HOLDER_LEASE_TTL_SECONDS = LEASE_TTL_SECONDS + LEASE_MARGIN_SECONDS
MAX_LEASES = 1024

_MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class LeaseId:
    """Names one draw for ever.

    ``incarnation`` differs between two processes of the same ``borrower``,
    ``seq`` between two draws of one process.
    """

    borrower: str
    incarnation: int
    seq: int


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """What a borrower tells the holder about one lease.

    ``spent`` is cumulative micro-units. After ``closed`` the borrower spends
    nothing more from the lease, so the holder may use the rest.
    """

    lease: LeaseId
    spent: int
    closed: bool


@dataclass(slots=True)
class _GrantedLease:
    granted: int
    spent: int
    expires_at: float

    @property
    def unspent(self) -> int:
        return self.granted - self.spent


class Lender:
    """The holder's side of one share."""

    def __init__(self, *, capacity: int, rate: int, now: float) -> None:
        """Start empty.

        :param capacity: most micro-units in the level and lent together.
        :param rate: micro-units made per second; zero for pure permits.
        :param now: monotonic seconds from which units are made. A holder
            that may follow another one passes a time at which every lease
            of its predecessor has expired, ``QUIET_SECONDS`` ahead.
        """
        self.capacity = capacity
        self.rate = rate
        self.level = 0
        self.lent = 0
        self._filled_at = _to_microseconds(now)
        self._remainder = 0
        self._leases: dict[LeaseId, _GrantedLease] = {}
        self._next_expiry = float('inf')

    def advance(self, now: float) -> None:
        """Make the units due and forget expired leases, in order of time.

        :param now: monotonic seconds.
        """
        while self._next_expiry <= now:
            self._refill(self._next_expiry)
            self._expire_leases(self._next_expiry)
        self._refill(now)

    def advance_without_refill(self, now: float) -> None:
        """Let time pass without making units.

        :param now: monotonic seconds.
        """
        if now >= self._next_expiry:
            self._expire_leases(now)
        self._filled_at = max(self._filled_at, _to_microseconds(now))
        self._remainder = 0

    def resize(self, *, capacity: int, rate: int, now: float) -> None:
        """Change the share from now on; what exceeds it is dropped.

        :param capacity: new capacity in micro-units.
        :param rate: new rate in micro-units per second.
        :param now: monotonic seconds.
        """
        self.advance(now)
        self.capacity = capacity
        self.rate = rate
        self.level = max(0, min(self.level, capacity - self.lent))

    def discard_level(self, now: float) -> None:
        """Empty the level, as after a pause.

        :param now: monotonic seconds.
        """
        self.advance_without_refill(now)
        self.level = 0

    def spend(self, amount: int) -> None:
        """Use units of the level here.

        :param amount: micro-units, at most the level.
        :raises ValueError: the level is lower.
        """
        if amount > self.level:
            raise ValueError(f'{amount} exceeds the level {self.level}')
        self.level -= amount

    def lend(
        self,
        lease: LeaseId,
        amount: int,
        ttl_seconds: float,
        now: float,
    ) -> int:
        """Lend up to an amount and return what was granted.

        A repeated request is answered with the first grant.

        :param lease: name of the draw.
        :param amount: micro-units wanted.
        :param ttl: seconds that the borrower counts from its request.
        :param now: monotonic seconds; ``advance`` was called with it.
        """
        known = self._leases.get(lease)
        if known is not None:
            return known.granted
        granted = min(amount, self.level)
        if granted <= 0 or len(self._leases) >= MAX_LEASES:
            return 0
        expires_at = now + ttl_seconds + LEASE_MARGIN_SECONDS
        self._leases[lease] = _GrantedLease(granted, 0, expires_at)
        self._next_expiry = min(self._next_expiry, expires_at)
        self.level -= granted
        self.lent += granted
        return granted

    def apply_report(self, report: LeaseReport) -> None:
        """Take in a report; one of an unknown lease changes nothing.

        :param report: from the borrower that the lease names. ``advance`` or
            ``skip`` was called with the time of its arrival.
        """
        lent = self._leases.get(report.lease)
        if lent is None:
            return
        newly = min(report.spent, lent.granted) - lent.spent
        if newly > 0:
            lent.spent += newly
            self.lent -= newly
        if report.closed:
            self._close(report.lease, lent)

    def _refill(self, now: float) -> None:
        elapsed = _to_microseconds(now) - self._filled_at
        if elapsed <= 0:
            return
        self._filled_at += elapsed
        room = max(0, self.capacity - self.lent - self.level)
        made = self.rate * elapsed + self._remainder
        whole = made // _MICROSECONDS_PER_SECOND
        self._remainder = made % _MICROSECONDS_PER_SECOND
        if whole >= room:
            whole = room
            self._remainder = 0
        self.level += whole

    def _close(self, lease: LeaseId, lent: _GrantedLease) -> None:
        self.lent -= lent.unspent
        room = self.capacity - self.lent - self.level
        self.level += max(0, min(lent.unspent, room))
        self._leases.pop(lease)

    def _expire_leases(self, now: float) -> None:
        expired = [
            lease
            for lease, lent in self._leases.items()
            if lent.expires_at <= now
        ]
        for lease in expired:
            self.lent -= self._leases.pop(lease).unspent
        self._next_expiry = min(
            (lent.expires_at for lent in self._leases.values()),
            default=float('inf'),
        )


def _to_microseconds(seconds: float) -> int:
    return int(seconds * _MICROSECONDS_PER_SECOND)
