"""The permit that an owner has borrowed, and its reports under way."""

import enum
from collections import OrderedDict

from clementinedeal._permits import LEASE_SECONDS
from clementinedeal._reports import PermitAnswer

REPORTS_REMEMBERED = 32


class Reply(enum.Enum):
    """What an answer means to the owner that receives it."""

    VOID = 'void'
    BASELINE = 'baseline'
    GRANTED = 'granted'
    REFUSED = 'refused'


class PermitUse:
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
        self._reports: OrderedDict[float, bool] = OrderedDict()
        self._sent_at = now
        self._until = now

    def holds(self, now: float) -> bool:
        """Return whether the permit surely holds.

        :param now: monotonic time in seconds.
        """
        return now < self._until

    def on_report(self, wants: bool, now: float) -> None:
        """Note a report that is being sent.

        :param wants: whether it asks for a permit; else it gives back.
        :param now: its sending time in monotonic seconds.
        """
        if not wants:
            self.drop(now)
        self._reports[now] = wants
        if len(self._reports) > REPORTS_REMEMBERED:
            self._reports.popitem(last=False)

    def drop(self, now: float) -> None:
        """Stop using the permit; answers under way become void.

        :param now: monotonic time in seconds.
        """
        self._reports.clear()
        self._until = now

    def on_answer(self, answer: PermitAnswer, now: float) -> Reply:
        """Take in an answer.

        :param answer: what the holder says.
        :param now: monotonic time in seconds.
        """
        wanted = self._reports.get(answer.sent_at)
        if wanted is None or answer.incarnation != self.incarnation:
            return Reply.VOID
        if not wanted or answer.sent_at < self._sent_at:
            return Reply.BASELINE
        self._sent_at = answer.sent_at
        if not answer.granted:
            return Reply.REFUSED
        self._until = max(self._until, answer.sent_at + LEASE_SECONDS)
        return Reply.GRANTED if self.holds(now) else Reply.BASELINE
