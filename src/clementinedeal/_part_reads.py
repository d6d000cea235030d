"""Reads of parts from the platform, within a budget."""

from collections.abc import Iterator

from clementinedeal._acceptance import Acceptance
from clementinedeal._publication import PART_PREFIX
from clementinedeal._pull import Pull
from clementinedeal._view_actions import ReadPlatform

RETRY_INTERVAL_SECONDS = 2.0
READER_PARTS_PER_SECOND = 50.0
NON_READER_PARTS_PER_SECOND = 2.0
NON_READER_WAIT_SECONDS = 10.0


class PartReads:
    """Lets readers of the platform go before the other daemons."""

    def __init__(self, acceptance: Acceptance) -> None:
        """Start without allowance.

        :param acceptance: tells whether a version is in force.
        """
        self._acceptance = acceptance
        self._sent_at: dict[str, float] = {}
        self._budget = 0.0
        self._refilled_at: float | None = None

    def on_part(self, digest: str) -> None:
        """Note that a part came.

        :param digest: its digest.
        """
        self._sent_at.pop(digest, None)

    def due_reads(
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
        self._refill(now, is_reader=is_reader)
        if not self._may_read(pull, now, is_reader=is_reader):
            return
        for digest in pull.missing_digests(int(self._budget)):
            sent_at = self._sent_at.get(digest)
            if sent_at is None or now - sent_at >= RETRY_INTERVAL_SECONDS:
                self._sent_at[digest] = now
                self._budget -= 1
                yield ReadPlatform(f'{PART_PREFIX}{digest}')

    def _refill(self, now: float, *, is_reader: bool) -> None:
        rate = (
            READER_PARTS_PER_SECOND
            if is_reader
            else NON_READER_PARTS_PER_SECOND
        )
        if self._refilled_at is None:
            self._budget = NON_READER_PARTS_PER_SECOND
        else:
            passed = now - self._refilled_at
            self._budget = min(rate, self._budget + passed * rate)
        self._refilled_at = now

    def _may_read(self, pull: Pull, now: float, *, is_reader: bool) -> bool:
        started = self._acceptance.in_force is not None
        if started or not pull.has_instances():
            return True
        gate = self._acceptance.gate
        if is_reader or gate.peers_asked_at is None:
            return gate.has_waited(now)
        return now - gate.peers_asked_at >= NON_READER_WAIT_SECONDS
