"""Units that one holder lends to many borrowers for a limited time.

A unit is one token of an account's rate; each request spends one. A holder is
an instance that keeps a share of the rate.

A ``Lender`` makes units at a fixed rate up to a capacity. At any time, its
level plus the lent units that are neither reported as spent, nor returned, nor
expired is at most the capacity. ``BorrowedUnits`` (``_borrowed``) is the
borrower's side. Messages may be lost, repeated, late or out of order: units
can be lost by that, but never created.

Amounts are integer micro-units, times are monotonic seconds of the caller's
own clock. The clocks of holder and borrower need not agree, but must run at
nearly the same speed: the borrower counts the time of a lease from before it
sent the request, the holder from after it received the request, and the
holder adds ``LEASE_MARGIN_SECONDS``.
"""

from dataclasses import dataclass

MICROS_PER_UNIT = 1_000_000
LEASE_TTL_SECONDS = 2.0
LEASE_MARGIN_SECONDS = 0.2
# Time after a grant when the holder counts a lease of full length as expired.
HOLDER_LEASE_TTL_SECONDS = LEASE_TTL_SECONDS + LEASE_MARGIN_SECONDS
MAX_LEASES = 1024  # open leases of one lender

_MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class LeaseId:
    """Identifies one draw; an id is never used again.

    ``borrower`` is an instance name. ``incarnation`` differs between two
    processes of the same borrower, ``seq`` between two draws of one process.
    """

    borrower: str
    incarnation: int
    seq: int


@dataclass(frozen=True, slots=True)
class LeaseReport:
    """A borrower's report to the holder on one lease.

    ``spent`` is the total of micro-units spent so far. If ``closed`` is set,
    the borrower spends nothing more from the lease, so the holder may use the
    rest.
    """

    lease: LeaseId
    spent: int
    closed: bool


@dataclass(slots=True)
class _GrantedLease:
    """A lease as the holder knows it.

    Amounts are in micro-units, ``expires_at`` is in monotonic seconds.
    """

    granted: int
    spent: int
    expires_at: float

    @property
    def unspent(self) -> int:
        """Micro-units that are not reported as spent."""
        return self.granted - self.spent


class Lender:
    """The holder's side: makes the units of one share and lends them.

    ``level`` are the micro-units that the holder may spend or lend now,
    ``lent`` those of open leases that are not yet reported as spent.
    """

    def __init__(self, *, capacity: int, rate: int, now: float) -> None:
        """Start empty.

        :param capacity: limit of level and lent micro-units together.
        :param rate: micro-units made per second; may be zero.
        :param now: monotonic seconds from which units are made. A holder
            that may have had a predecessor passes a time at which every lease
            of the predecessor has expired, ``HOLDER_LEASE_TTL_SECONDS`` ahead.
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
        """Make the units that are due and remove expired leases.

        Both are done in order of time, so that capacity freed by an expired
        lease is filled only from the expiry on.

        :param now: monotonic seconds.
        """
        while self._next_expiry <= now:
            self._refill(self._next_expiry)
            self._expire_leases(self._next_expiry)
        self._refill(now)

    def advance_without_refill(self, now: float) -> None:
        """Remove expired leases without making units up to now.

        :param now: monotonic seconds.
        """
        if now >= self._next_expiry:
            self._expire_leases(now)
        self._filled_at = max(self._filled_at, _to_microseconds(now))
        self._remainder = 0

    def resize(self, *, capacity: int, rate: int, now: float) -> None:
        """Change capacity and rate; units above the capacity are discarded.

        :param capacity: new capacity in micro-units.
        :param rate: new rate in micro-units per second.
        :param now: monotonic seconds.
        """
        self.advance(now)
        self.capacity = capacity
        self.rate = rate
        self.level = max(0, min(self.level, capacity - self.lent))

    def discard_level(self, now: float) -> None:
        """Set the level to zero, as after a pause.

        :param now: monotonic seconds.
        """
        self.advance_without_refill(now)
        self.level = 0

    def spend(self, amount: int) -> None:
        """Spend units of the level on this instance.

        :param amount: micro-units, at most the level.
        :raises ValueError: the amount is higher than the level.
        """
        if amount > self.level:
            raise ValueError(
                f'cannot spend {amount} micro-units, only {self.level} left',
            )
        self.level -= amount

    def lend(
        self,
        lease: LeaseId,
        amount: int,
        ttl_seconds: float,
        now: float,
    ) -> int:
        """Lend up to an amount and return the micro-units granted.

        A repeated request gets the same grant again, without lending twice.

        :param lease: id of the draw.
        :param amount: micro-units wanted.
        :param ttl_seconds: lifetime of the lease, which the borrower counts
            from the sending of its request.
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
        """Apply a borrower's report; one on an unknown lease is ignored.

        :param report: from the borrower that the lease names. ``advance`` or
            ``advance_without_refill`` was called with the time of arrival.
        """
        granted_lease = self._leases.get(report.lease)
        if granted_lease is None:
            return
        newly_spent = (
            min(report.spent, granted_lease.granted) - granted_lease.spent
        )
        if newly_spent > 0:
            granted_lease.spent += newly_spent
            self.lent -= newly_spent
        if report.closed:
            self._close(report.lease, granted_lease)

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

    def _close(self, lease: LeaseId, granted_lease: _GrantedLease) -> None:
        self.lent -= granted_lease.unspent
        room = self.capacity - self.lent - self.level
        self.level += max(0, min(granted_lease.unspent, room))
        self._leases.pop(lease)

    def _expire_leases(self, now: float) -> None:
        expired = [
            lease
            for lease, granted_lease in self._leases.items()
            if granted_lease.expires_at <= now
        ]
        for lease in expired:
            self.lent -= self._leases.pop(lease).unspent
        self._next_expiry = min(
            (
                granted_lease.expires_at
                for granted_lease in self._leases.values()
            ),
            default=float('inf'),
        )


def _to_microseconds(seconds: float) -> int:
    return int(seconds * _MICROSECONDS_PER_SECOND)
