"""Stores the records of claimed idempotency keys, with limited memory."""

import heapq
from dataclasses import dataclass, replace

from clementinedeal._key_messages import KeyRecord, KeyState, SettleKey
from clementinedeal._verdict import Verdict

DEFAULT_MAX_ENTRIES = 20_000
DEFAULT_MAX_BYTES = 32 * 1024 * 1024
DEFAULT_MAX_BODY_BYTES = 16 * 1024
DEFAULT_RETENTION_SECONDS = 600.0
RECORD_BYTES = 600  # estimate for one record without its answer's body

_SETTLED_STATES = {
    Verdict.NOT_RUN: KeyState.FREE,
    Verdict.MAY_HAVE_RUN: KeyState.IN_DOUBT,
    Verdict.RAN: KeyState.DONE,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class KeeperLimits:
    """Limits of a keeper's memory.

    ``max_entries`` is the limit of the number of records, ``max_bytes`` that
    of their size together, ``max_body_bytes`` that of one answer's body.
    ``retention_seconds`` is the time for which a record is kept after its
    request ended.
    """

    max_entries: int = DEFAULT_MAX_ENTRIES
    max_bytes: int = DEFAULT_MAX_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    retention_seconds: float = DEFAULT_RETENTION_SECONDS


@dataclass(slots=True)
class _StoredRecord:
    """A record, its estimated size and when its request must have ended.

    ``in_progress_until`` is in monotonic seconds.
    """

    record: KeyRecord
    in_progress_until: float
    size_bytes: int


class KeyTable:
    """Records by key.

    A full table refuses new records; it never removes one before its
    retention time has passed.
    """

    def __init__(self, limits: KeeperLimits) -> None:
        """Create an empty table.

        :param limits: limits of its memory.
        """
        self._limits = limits
        self._kept: dict[str, _StoredRecord] = {}
        self._expiries: list[tuple[float, str]] = []
        self._used_bytes = 0

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._kept)

    @property
    def used_bytes(self) -> int:
        """Estimate of the memory in use, in bytes."""
        return self._used_bytes

    def get(self, key: str, now: float) -> KeyRecord | None:
        """Return a key's record with its present state, None if unknown.

        A request in progress is in doubt once its time has passed.

        :param key: digest of account and key.
        :param now: current monotonic time in seconds.
        """
        self._expire(now)
        kept = self._kept.get(key)
        if kept is None:
            return None
        left = kept.in_progress_until - now
        if left > 0 or kept.record.state is not KeyState.IN_PROGRESS:
            return replace(kept.record, patience=max(left, 0))
        return replace(kept.record, patience=0, state=KeyState.IN_DOUBT)

    def put(self, record: KeyRecord, now: float) -> bool:
        """Store a record in place of an older one with the same key.

        Return False if the table is full. An answer that is too large is left
        out.

        :param record: the record to store.
        :param now: current monotonic time in seconds.
        """
        self._expire(now)
        if record.key not in self._kept and self._is_full():
            return False
        self._remove(record.key)
        self._store(record, now + record.patience, now)
        return True

    def settle(self, settlement: SettleKey, now: float) -> None:
        """Store the outcome of a request with a claim.

        A settlement whose claim is not known here is stored too, unless its
        request did not run: in that case a later request may have run.

        :param settlement: from the entry that claimed the key.
        :param now: current monotonic time in seconds.
        """
        kept = self._kept.get(settlement.key)
        if kept is None and settlement.verdict is Verdict.NOT_RUN:
            return
        if kept is not None and not _accepts_settlement(
            kept.record, settlement
        ):
            return
        record = KeyRecord(
            key=settlement.key,
            fingerprint=settlement.fingerprint,
            req_id=settlement.req_id,
            state=_SETTLED_STATES[settlement.verdict],
            answer=settlement.answer,
        )
        self.put(record, now)

    def records(self, now: float) -> tuple[KeyRecord, ...]:
        """Return all records with their present states.

        :param now: current monotonic time in seconds.
        """
        records = [self.get(key, now) for key in tuple(self._kept)]
        return tuple(record for record in records if record is not None)

    def _is_full(self) -> bool:
        if len(self._kept) >= self._limits.max_entries:
            return True
        return self._used_bytes + RECORD_BYTES > self._limits.max_bytes

    def _store(
        self, record: KeyRecord, in_progress_until: float, now: float
    ) -> None:
        size_bytes = RECORD_BYTES
        if record.answer is not None:
            size_bytes += len(record.answer.body)
        total = self._used_bytes + size_bytes
        if total > self._limits.max_bytes or self._has_large_answer(record):
            record = replace(record, answer=None)
            size_bytes = RECORD_BYTES
        self._kept[record.key] = _StoredRecord(
            record, in_progress_until, size_bytes
        )
        self._used_bytes += size_bytes
        forget_at = in_progress_until + self._limits.retention_seconds
        heapq.heappush(self._expiries, (forget_at, record.key))

    def _has_large_answer(self, record: KeyRecord) -> bool:
        answer = record.answer
        limit = self._limits.max_body_bytes
        return answer is not None and len(answer.body) > limit

    def _remove(self, key: str) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._used_bytes -= kept.size_bytes

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, key = heapq.heappop(self._expiries)
            kept = self._kept.get(key)
            if (
                kept
                and kept.in_progress_until + self._limits.retention_seconds
                <= now
            ):
                self._remove(key)


def _accepts_settlement(record: KeyRecord, settlement: SettleKey) -> bool:
    if record.req_id != settlement.req_id:
        return False
    if record.state is KeyState.IN_DOUBT:
        return settlement.verdict is Verdict.RAN
    return record.state is KeyState.IN_PROGRESS
