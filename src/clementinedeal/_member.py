"""What a daemon knows about one published instance."""

import math

from clementinedeal._view_messages import MemberRecord

# Ages are sent as one byte each, in quarter seconds.
AGE_UNITS_PER_SECOND = 4
MAX_AGE_UNITS = 255  # this old or older, or never heard
NEVER = -math.inf


class Member:
    """What is known about one published instance.

    An instance is *heard* when it answers a request for its view. All times
    are in monotonic seconds: ``since`` is when the instance became known,
    ``heard_at`` when any daemon last heard it, ``record_at`` when it stated
    its incarnation and whether it leaves, and ``changed_at`` when that
    statement last changed here. ``is_left`` is set while the instance is
    reported as gone.
    """

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

        :param name: name of the instance.
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
        """Return the record to send to peers.

        :param index: index of the instance in the sorted published names.
        :param now: monotonic seconds.
        """
        age = now - self.record_at
        return MemberRecord(index, self.incarnation, self.leaving, age)

    def merge(self, record: MemberRecord, sent_at: float) -> bool:
        """Apply a record; return whether anything changed.

        A record of another incarnation is applied only if it is later than
        the one held. Within one incarnation, leaving is final.

        :param record: the record that a peer sent.
        :param sent_at: when the peer was asked, in monotonic seconds.
        """
        stated_at = sent_at - record.age
        same_incarnation = record.incarnation == self.incarnation
        if stated_at <= self.record_at and not same_incarnation:
            return False
        leaving = record.leaving or (same_incarnation and self.leaving)
        changed = not same_incarnation or leaving != self.leaving
        self.incarnation = record.incarnation
        self.leaving = leaving
        self.record_at = max(self.record_at, stated_at)
        if changed:
            self.changed_at = sent_at
        return changed

    def last_seen_at(self) -> float:
        """Return when it was last heard or became known, the later of both."""
        return max(self.heard_at, self.since)
