"""The permit that an owner has borrowed, and its reports under way."""

import enum
from collections import OrderedDict

from clementinedeal._permit_messages import PermitAnswer
from clementinedeal._permits import LEASE_SECONDS

MAX_PENDING_REPORTS = 32


class PermitReply(enum.Enum):
    """What an answer means to the owner that receives it."""

    VOID = 'void'
    BASELINE = 'baseline'
    GRANTED = 'granted'
    REFUSED = 'refused'


class BorrowedPermit:
    """Knows until when a permit surely holds.

    The lease runs from the time at which the request was sent, which is
    before the holder began to count it.
    """

    def __init__(self, incarnation: int, now: float) -> None:
        """Start without a permit.

        :param incarnation: tells this life of the owner from others.
        :param now: monotonic time in seconds.
        """
        self.incarnation = incarnation
        self._pending_reports: OrderedDict[float, bool] = OrderedDict()
        self._answered_report_at = now
        self._expires_at = now

    def is_held(self, now: float) -> bool:
        """Return whether the permit surely holds.

        :param now: monotonic time in seconds.
        """
        return now < self._expires_at

    def on_report(self, wants: bool, now: float) -> None:
        """Note a report that is being sent.

        :param wants: whether it asks for a permit; else it gives back.
        :param now: its sending time in monotonic seconds.
        """
        if not wants:
            self.drop(now)
        self._pending_reports[now] = wants
        if len(self._pending_reports) > MAX_PENDING_REPORTS:
            self._pending_reports.popitem(last=False)

    def drop(self, now: float) -> None:
        """Stop using the permit; answers under way become void.

        :param now: monotonic time in seconds.
        """
        self._pending_reports.clear()
        self._expires_at = now

    def on_answer(self, answer: PermitAnswer, now: float) -> PermitReply:
        """Take in an answer.

        :param answer: what the holder says.
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
