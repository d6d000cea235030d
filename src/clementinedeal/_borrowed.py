"""The borrower's side of leases: units borrowed from several holders.

A unit is one token of an account's rate; each request spends one.
"""

from collections.abc import Callable
from dataclasses import dataclass

from clementinedeal._leases import LeaseId, LeaseReport


@dataclass(slots=True)
class _BorrowedLease:
    """A lease as the borrower knows it.

    ``holder`` is the instance that granted it. ``expires_at`` is in monotonic
    seconds.
    ``unspent``, ``spent`` and ``reported`` (the part of ``spent`` that was
    sent to the holder) are in micro-units.
    """

    lease: LeaseId
    holder: str
    unspent: int
    expires_at: float
    spent: int = 0
    reported: int = 0

    def report(self, *, closed: bool) -> LeaseReport:
        """Return a report and mark what was spent as reported.

        :param closed: whether the borrower gives the lease up.
        """
        self.reported = self.spent
        return LeaseReport(self.lease, self.spent, closed)


class BorrowedUnits:
    """Units of one account that this instance borrowed from its holders."""

    def __init__(self) -> None:
        """Start without leases."""
        self._held: list[_BorrowedLease] = []

    def add(
        self,
        lease: LeaseId,
        holder: str,
        amount: int,
        expires_at: float,
    ) -> None:
        """Add a granted lease.

        :param lease: id of the draw; must not have been added before.
        :param holder: instance that granted it.
        :param amount: micro-units.
        :param expires_at: monotonic seconds; the lifetime counts from the
            sending of the request.
        """
        self._held.append(_BorrowedLease(lease, holder, amount, expires_at))
        self._held.sort(key=lambda held: held.expires_at)

    def balance(self, now: float) -> int:
        """Remove expired leases and return the micro-units left to spend.

        :param now: monotonic seconds.
        """
        if self._held and self._held[0].expires_at <= now:
            self._held = [held for held in self._held if held.expires_at > now]
        return sum(held.unspent for held in self._held)

    def spend(self, amount: int) -> None:
        """Spend units of the leases that expire first.

        :param amount: micro-units, at most what ``balance`` just returned.
        """
        for held in self._held:
            part = min(amount, held.unspent)
            held.unspent -= part
            held.spent += part
            amount -= part

    def unreported(self) -> dict[str, int]:
        """Return the micro-units spent but not yet reported, by holder."""
        due: dict[str, int] = {}
        for held in self._held:
            if held.spent > held.reported:
                newly_spent = held.spent - held.reported
                due[held.holder] = due.get(held.holder, 0) + newly_spent
        return due

    def report(self, holder: str) -> tuple[LeaseReport, ...]:
        """Report what was spent of a holder's leases since the last report.

        Leases with nothing left are closed.

        :param holder: instance name.
        """
        return self._report(
            lambda held: held.holder == holder and held.spent > held.reported,
            close_all=False,
        )

    def close(self, holder: str) -> tuple[LeaseReport, ...]:
        """Remove a holder's leases and report them as closed.

        :param holder: instance name.
        """
        return self._report(
            lambda held: held.holder == holder,
            close_all=True,
        )

    def holders(self) -> tuple[str, ...]:
        """Return the instances that granted the leases, each once."""
        return tuple(dict.fromkeys(held.holder for held in self._held))

    def _report(
        self,
        matches: Callable[[_BorrowedLease], bool],
        *,
        close_all: bool,
    ) -> tuple[LeaseReport, ...]:
        reports: list[LeaseReport] = []
        kept: list[_BorrowedLease] = []
        for held in self._held:
            closed = close_all or not held.unspent
            if not matches(held):
                kept.append(held)
                continue
            reports.append(held.report(closed=closed))
            if not closed:
                kept.append(held)
        self._held = kept
        return tuple(reports)
