"""Reads of parts from the platform, within a budget."""

from collections.abc import Iterator

from clementinedeal._acceptance import Acceptance
from clementinedeal._publication import PART_PREFIX
from clementinedeal._pull import Pull
from clementinedeal._view_actions import ReadPlatform

RETRY_SECONDS = 2.0
READER_PARTS_PER_SECOND = 50.0
LONE_PARTS_PER_SECOND = 2.0
LONE_WAIT_SECONDS = 10.0


class PartReads:
    """Lets readers of the platform go before the other daemons."""

    def __init__(self, acceptance: Acceptance) -> None:
        """Start without allowance.

        :param acceptance: tells whether a version is in force.
        """
        self._acceptance = acceptance
        self._sent: dict[str, float] = {}
        self._allowance = 0.0
        self._earned_at: float | None = None

    def on_part(self, digest: str) -> None:
        """Note that a part came.

        :param digest: its digest.
        """
        self._sent.pop(digest, None)

    def due(
        self,
        pull: Pull,
        now: float,
        *,
        is_reader: bool,
    ) -> Iterator[ReadPlatform]:
        """Yield the reads to begin.

        :param pull: what is lacking.
        :param now: monotonic seconds.
        :param is_reader: whether the fleet relies on this daemon's reads.
        """
        self._earn(now, is_reader=is_reader)
        if not self._may_read(pull, now, is_reader=is_reader):
            return
        for digest in pull.lacking(int(self._allowance)):
            sent = self._sent.get(digest)
            if sent is None or now - sent >= RETRY_SECONDS:
                self._sent[digest] = now
                self._allowance -= 1
                yield ReadPlatform(f'{PART_PREFIX}{digest}')

    def _earn(self, now: float, *, is_reader: bool) -> None:
        rate = READER_PARTS_PER_SECOND if is_reader else LONE_PARTS_PER_SECOND
        if self._earned_at is None:
            self._allowance = LONE_PARTS_PER_SECOND
        else:
            passed = now - self._earned_at
            self._allowance = min(rate, self._allowance + passed * rate)
        self._earned_at = now

    def _may_read(self, pull: Pull, now: float, *, is_reader: bool) -> bool:
        started = self._acceptance.held is not None
        if started or not pull.has_instances():
            return True
        gate = self._acceptance.gate
        if is_reader or gate.asked_at is None:
            return gate.waited(now)
        return now - gate.asked_at >= LONE_WAIT_SECONDS
