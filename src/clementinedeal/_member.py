"""What a daemon knows of one published instance."""

import math

from clementinedeal._view_messages import MemberRecord

AGE_UNITS_PER_SECOND = 4
MAX_AGE_UNITS = 255
NEVER = -math.inf


class Member:
    """What is known of one published instance; times in monotonic seconds."""

    __slots__ = (
        'changed_at',
        'heard_at',
        'incarnation',
        'is_left',
        'leaving',
        'name',
        'record_at',
        'since',
    )

    def __init__(self, name: str, now: float) -> None:
        """Create a member that was never heard.

        :param name: instance name.
        :param now: monotonic seconds.
        """
        self.name = name
        self.since = now
        self.heard_at = NEVER
        self.incarnation = 0
        self.leaving = False
        self.record_at = NEVER
        self.changed_at = NEVER
        self.is_left = False

    def to_record(self, index: int, now: float) -> MemberRecord:
        """Return the record to tell.

        :param index: place among the sorted published names.
        :param now: monotonic seconds.
        """
        age = now - self.record_at
        return MemberRecord(index, self.incarnation, self.leaving, age)

    def merge(self, record: MemberRecord, sent_at: float) -> bool:
        """Take a record if it is later; return whether anything changed.

        :param record: what a peer said.
        :param sent_at: when that peer was asked, in monotonic seconds.
        """
        said_at = sent_at - record.age
        same_incarnation = record.incarnation == self.incarnation
        if said_at <= self.record_at and not same_incarnation:
            return False
        leaving = record.leaving or (same_incarnation and self.leaving)
        changed = not same_incarnation or leaving != self.leaving
        self.incarnation = record.incarnation
        self.leaving = leaving
        self.record_at = max(self.record_at, said_at)
        if changed:
            self.changed_at = sent_at
        return changed

    def last_seen_at(self) -> float:
        """Return when it was heard, or else when it became known."""
        return max(self.heard_at, self.since)
