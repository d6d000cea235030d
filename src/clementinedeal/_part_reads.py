"""Reads parts from the platform at a limited rate."""

from collections.abc import Iterator

from clementinedeal._acceptance import Acceptance
from clementinedeal._publication import PART_PREFIX
from clementinedeal._pull import Pull
from clementinedeal._view_actions import ReadPlatform

RETRY_INTERVAL_SECONDS = 2.0  # until a part that has not arrived is reread
# Parts that one daemon reads from the platform, as a reader and otherwise.
READER_PARTS_PER_SECOND = 50.0
NON_READER_PARTS_PER_SECOND = 2.0
# At start a non-reader waits this long for parts from its peers.
NON_READER_WAIT_SECONDS = 10.0


class PartReads:
    """Limits the reads of parts, with a lower rate for non-readers.

    Readers are the few daemons that read the platform for the whole fleet.
    The others get parts from their peers and read only as a fallback.
    """

    def __init__(self, acceptance: Acceptance) -> None:
        """Start with an empty budget.

        :param acceptance: provides the version in force and the start gate.
        """
        self._acceptance = acceptance
        self._sent_at: dict[str, float] = {}
        self._budget = 0.0
        self._refilled_at: float | None = None

    def on_part(self, digest: str) -> None:
        """Note that a part arrived.

        :param digest: digest of the part.
        """
        self._sent_at.pop(digest, None)

    def due_reads(
        self,
        pull: Pull,
        now: float,
        *,
        is_reader: bool,
    ) -> Iterator[ReadPlatform]:
        """Yield the reads of missing parts that are due.

        :param pull: the version being pulled.
        :param now: monotonic seconds.
        :param is_reader: whether this daemon reads the platform for the
            fleet.
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
        """Return whether to read parts, or to wait for peers to send them.

        A daemon that starts reads the parts with instances at once, because
        it needs them to know its peers.
        """
        started = self._acceptance.in_force is not None
        if started or not pull.has_instances():
            return True
        gate = self._acceptance.gate
        if is_reader or gate.peers_asked_at is None:
            return gate.has_waited(now)
        return now - gate.peers_asked_at >= NON_READER_WAIT_SECONDS
