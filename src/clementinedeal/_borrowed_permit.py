"""The permit that an owner has borrowed, and its pending reports."""

import enum
from collections import OrderedDict

from clementinedeal._permit_messages import PermitAnswer
from clementinedeal._permits import LEASE_SECONDS

# Bounds the memory for reports that are never answered.
MAX_PENDING_REPORTS = 32


class PermitReply(enum.Enum):
    """Effect of a permit holder's answer on the owner that receives it.

    ``VOID`` answers no pending report and has no effect. ``BASELINE`` brings
    a baseline and changes nothing about the permit. ``GRANTED`` means that
    the permit is held, ``REFUSED`` that the holder does not lend it.
    """

    VOID = 'void'
    BASELINE = 'baseline'
    GRANTED = 'granted'
    REFUSED = 'refused'


class BorrowedPermit:
    """Records until when an owner holds the permit to eject its target.

    The lease runs from the time at which the report that asked for it was
    sent. This is before the holder started to count the lease, so it never
    ends later here than at the holder.
    """

    def __init__(self, incarnation: int, now: float) -> None:
        """Start without a permit.

        :param incarnation: distinguishes this run of the owner from others.
        :param now: monotonic time in seconds.
        """
        self.incarnation = incarnation
        self._pending_reports: OrderedDict[float, bool] = OrderedDict()
        self._answered_report_at = now
        self._expires_at = now

    def is_held(self, now: float) -> bool:
        """Return whether the permit is valid.

        :param now: monotonic time in seconds.
        """
        return now < self._expires_at

    def on_report(self, wants: bool, now: float) -> None:
        """Record a report that is being sent.

        :param wants: whether it asks for the permit; if not, it returns it.
        :param now: sending time of the report in monotonic seconds.
        """
        if not wants:
            self.drop(now)
        self._pending_reports[now] = wants
        if len(self._pending_reports) > MAX_PENDING_REPORTS:
            self._pending_reports.popitem(last=False)

    def drop(self, now: float) -> None:
        """Stop using the permit and ignore answers to earlier reports.

        :param now: monotonic time in seconds.
        """
        self._pending_reports.clear()
        self._expires_at = now

    def on_answer(self, answer: PermitAnswer, now: float) -> PermitReply:
        """Handle an answer and return what it means.

        :param answer: the permit holder's answer.
        :param now: monotonic time in seconds.
        """
        wanted = self._pending_reports.get(answer.sent_at)
        if wanted is None or answer.incarnation != self.incarnation:
            return PermitReply.VOID
        if not wanted or answer.sent_at < self._answered_report_at:
            return PermitReply.BASELINE
        self._answered_report_at = answer.sent_at
        if not answer.granted:
            return PermitReply.REFUSED
        self._expires_at = max(self._expires_at, answer.sent_at + LEASE_SECONDS)
        return (
            PermitReply.GRANTED if self.is_held(now) else PermitReply.BASELINE
        )
