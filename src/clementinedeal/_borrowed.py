"""The borrower's side of leases: units borrowed from several holders."""

from collections.abc import Callable
from dataclasses import dataclass

from clementinedeal._leases import LeaseId, LeaseReport


@dataclass(slots=True)
class _BorrowedLease:
    lease: LeaseId
    holder: str
    unspent: int
    expires_at: float
    spent: int = 0
    reported: int = 0

    def report(self, *, closed: bool) -> LeaseReport:
        self.reported = self.spent
        return LeaseReport(self.lease, self.spent, closed)


class BorrowedUnits:
    """The borrower's side: units borrowed from several holders."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._held: list[_BorrowedLease] = []

    def add(
        self,
        lease: LeaseId,
        holder: str,
        amount: int,
        expires_at: float,
    ) -> None:
        """Keep a grant.

        :param lease: name of the draw; the caller adds each only once.
        :param holder: instance that granted it.
        :param amount: micro-units.
        :param expires_at: monotonic seconds, counted from the request.
        """
        self._held.append(_BorrowedLease(lease, holder, amount, expires_at))
        self._held.sort(key=lambda held: held.expires_at)

    def balance(self, now: float) -> int:
        """Return the micro-units that may be spent now."""
        if self._held and self._held[0].expires_at <= now:
            self._held = [held for held in self._held if held.expires_at > now]
        return sum(held.unspent for held in self._held)

    def spend(self, amount: int) -> None:
        """Use units, those that expire first before others.

        :param amount: micro-units, at most the balance just read.
        """
        for held in self._held:
            part = min(amount, held.unspent)
            held.unspent -= part
            held.spent += part
            amount -= part

    def unreported(self) -> dict[str, int]:
        """Return micro-units spent and not yet reported, by holder."""
        due: dict[str, int] = {}
        for held in self._held:
            if held.spent > held.reported:
                newly = held.spent - held.reported
                due[held.holder] = due.get(held.holder, 0) + newly
        return due

    def report(self, holder: str) -> tuple[LeaseReport, ...]:
        """Report what was spent of a holder's leases; close empty ones.

        :param holder: instance name.
        """
        return self._report(
            lambda held: held.holder == holder and held.spent > held.reported,
            close_all=False,
        )

    def close(self, holder: str) -> tuple[LeaseReport, ...]:
        """Give a holder's leases up and report them.

        :param holder: instance name.
        """
        return self._report(
            lambda held: held.holder == holder,
            close_all=True,
        )

    def holders(self) -> tuple[str, ...]:
        """Return the instances whose leases are held, each once."""
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
