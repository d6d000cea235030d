"""The table of published instances that daemons exchange by gossip."""

from collections.abc import Iterable, Iterator

import xxhash

from clementinedeal._member import (
    AGE_UNITS_PER_SECOND,
    MAX_AGE_UNITS,
    NEVER,
    Member,
)
from clementinedeal._view_messages import MemberRecord, ViewAnswer

# A changed record is part of every answer for this long.
RECENT_CHANGE_SECONDS = 15.0
MAX_RECENT_RECORDS = 64  # in one answer


class Roster:
    """When each published instance was heard, and its newest record.

    In messages an instance is identified by its index in the sorted published
    names, which holds only between daemons with the same names.
    """

    def __init__(self, me: str) -> None:
        """Start without members.

        :param me: name of this instance.
        """
        self._me = me
        self._members: dict[str, Member] = {}
        self._sorted_members: list[Member] = []
        self._cached_digest: int | None = None
        self.names: tuple[str, ...] = ()
        self.names_digest = 0

    def __iter__(self) -> Iterator[Member]:
        """Iterate over the members in order of their names."""
        return iter(self._sorted_members)

    def set_names(self, names: Iterable[str], now: float) -> list[str]:
        """Replace the published names; return those no longer published.

        The members whose names remain published are kept.

        :param names: names of all published instances.
        :param now: monotonic seconds.
        """
        previous = self._members
        self.names = tuple(sorted(names))
        self._members = {
            name: previous.get(name) or Member(name, now) for name in self.names
        }
        self._sorted_members = list(self._members.values())
        self._cached_digest = None
        joined = '\0'.join(self.names)
        self.names_digest = xxhash.xxh3_64_intdigest(joined.encode()) >> 1
        return [name for name in previous if name not in self._members]

    def find(self, name: str) -> Member | None:
        """Return a member by name, None if it is not published.

        :param name: name of the instance.
        """
        return self._members.get(name)

    def merge_answer(
        self, sender: str, answer: ViewAnswer, sent_at: float
    ) -> None:
        """Merge the table of a peer into this one.

        :param sender: name of the peer that answered.
        :param answer: its view.
        :param sent_at: when the peer was asked, in monotonic seconds. Nothing
            in the answer is known to be more recent than that.
        """
        member = self._members.get(sender)
        if member is not None:
            member.heard_at = max(member.heard_at, sent_at)
            record = MemberRecord(0, answer.incarnation, answer.leaving, 0)
            self.set_record(sender, record, sent_at)
        if answer.names != self.names_digest:
            return
        self._merge_ages(answer.ages, sent_at)
        for record in answer.records:
            if 0 <= record.index < len(self._sorted_members):
                name = self.names[record.index]
                self._merge_record(name, record, sent_at)

    def set_record(
        self, name: str, record: MemberRecord, stated_at: float
    ) -> None:
        """Apply a record that an instance sent about itself.

        :param name: name of the instance.
        :param record: its record; the index is not used.
        :param stated_at: when the instance stated it, in monotonic seconds.
        """
        member = self._members.get(name)
        if member is not None and member.merge(record, stated_at):
            self._cached_digest = None

    def encode_ages(self, now: float) -> bytes:
        """Return how long ago each instance was heard, one byte each.

        Ages are in quarter seconds, rounded up, at most ``MAX_AGE_UNITS``, in
        the order of the sorted names. This instance counts as heard now.

        :param now: monotonic seconds.
        """
        own = self._members.get(self._me)
        if own is not None:
            own.heard_at = now
        oldest = now - (MAX_AGE_UNITS - 1) / AGE_UNITS_PER_SECOND
        return bytes(
            [
                MAX_AGE_UNITS
                if member.heard_at <= oldest
                else int((now - member.heard_at) * AGE_UNITS_PER_SECOND) + 1
                for member in self._sorted_members
            ],
        )

    def records_to_send(
        self, now: float, *, full: bool
    ) -> tuple[MemberRecord, ...]:
        """Return the records to put into an answer.

        :param now: monotonic seconds.
        :param full: whether to send all records, not only those that changed
            within ``RECENT_CHANGE_SECONDS``.
        """
        selected = [
            (member.changed_at, index, member)
            for index, member in enumerate(self._sorted_members)
            if full or now - member.changed_at < RECENT_CHANGE_SECONDS
        ]
        if not full and len(selected) > MAX_RECENT_RECORDS:
            selected.sort(reverse=True, key=lambda candidate: candidate[:2])
            selected = selected[:MAX_RECENT_RECORDS]
        return tuple(
            member.to_record(index, now)
            for _, index, member in selected
            if member.incarnation
        )

    def records_digest(self) -> int:
        """Return a digest of all records, which peers compare with theirs."""
        if self._cached_digest is None:
            text = ','.join(
                f'{member.incarnation}{member.leaving}'
                for member in self._sorted_members
            )
            self._cached_digest = xxhash.xxh3_64_intdigest(text.encode()) >> 1
        return self._cached_digest

    def quorum_at(self, now: float) -> float:
        """Return the latest time at or after which a majority was heard.

        A majority is more than half of the published instances, this one
        included.

        :param now: monotonic seconds.
        """
        times = sorted(
            now if member.name == self._me else member.heard_at
            for member in self._sorted_members
        )
        return times[(len(times) - 1) // 2] if times else NEVER

    def _merge_ages(self, ages: bytes, sent_at: float) -> None:
        for member, age in zip(self._sorted_members, ages, strict=False):
            heard_at = sent_at - age / AGE_UNITS_PER_SECOND
            if heard_at > member.heard_at and age < MAX_AGE_UNITS:
                member.heard_at = heard_at

    def _merge_record(
        self,
        name: str,
        record: MemberRecord,
        sent_at: float,
    ) -> None:
        if name != self._me:
            self.set_record(name, record, sent_at)
