"""Who is alive or leaving, from gossip and the platform's list."""

from collections.abc import Iterator

from clementinedeal._member import NEVER, Member
from clementinedeal._roster import Roster
from clementinedeal._view_actions import (
    InstanceLeaving,
    InstanceLeft,
    InstanceList,
)
from clementinedeal._view_messages import MemberRecord

MAX_UNHEARD_SECONDS = 8.0
MAX_LIST_AGE_SECONDS = 30.0  # how long a reading of the platform's list counts


class Membership:
    """Judges the gossiped table and the list together.

    The list lags: it says who leaves, and stands in for hearing only where
    an instance was never heard.
    """

    def __init__(self, me: str) -> None:
        """Start without members.

        :param me: name of this instance.
        """
        self._me = me
        self.roster = Roster(me)
        self._platform_list = InstanceList(frozenset(), frozenset())
        self._platform_list_at = NEVER
        self._reported_leaving: set[str] = set()

    def on_pause(self, now: float) -> None:
        """Forget who was heard, after a pause.

        :param now: monotonic seconds.
        """
        for member in self.roster:
            member.heard_at = NEVER
            member.since = now

    def on_leaving(self, sender: str, incarnation: int, now: float) -> None:
        """Take a stopping instance's notice.

        :param sender: who stops.
        :param incarnation: as which it stops; others are left alone.
        :param now: monotonic seconds.
        """
        if self.incarnation(sender) in {0, incarnation}:
            record = MemberRecord(0, incarnation, leaving=True, age=0)
            self.roster.set_record(sender, record, now)

    def on_platform_list(
        self, listed: InstanceList, requested_at: float
    ) -> None:
        """Take the platform's list.

        :param listed: live and leaving names.
        :param asked_at: when it was read, in monotonic seconds.
        """
        self._platform_list = listed
        self._platform_list_at = requested_at

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether an instance had its time to be heard and wasn't.

        :param name: the instance.
        :param now: monotonic seconds.
        """
        member = self.roster.find(name)
        return member is None or self._is_silent(member, now)

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether an instance was heard, or else is listed as live.

        :param name: the instance.
        :param now: monotonic seconds.
        """
        member = self.roster.find(name)
        if member is None:
            return False
        if name == self._me or now - member.heard_at <= MAX_UNHEARD_SECONDS:
            return True
        never_heard = member.heard_at == NEVER
        return never_heard and self._is_listed(name, now)

    def is_leaving(self, name: str) -> bool:
        """Return whether an instance leaves, by its word or by the list.

        :param name: the instance.
        """
        member = self.roster.find(name)
        is_announced = member is not None and member.leaving
        return is_announced or name in self._platform_list.leaving

    def incarnation(self, name: str) -> int:
        """Return the newest known incarnation of an instance, 0 if unknown.

        :param name: the instance.
        """
        member = self.roster.find(name)
        return 0 if member is None else member.incarnation

    def changes(self, now: float) -> Iterator[InstanceLeaving | InstanceLeft]:
        """Yield what others must be told since the last call.

        :param now: monotonic seconds.
        """
        for member in self.roster:
            silent = self._is_silent(member, now)
            if silent and not member.is_left:
                yield InstanceLeft(member.name)
            member.is_left = silent
            leaving = (
                member.leaving or member.name in self._platform_list.leaving
            )
            if leaving and member.name not in self._reported_leaving:
                self._reported_leaving.add(member.name)
                yield InstanceLeaving(member.name)
            elif not leaving:
                self._reported_leaving.discard(member.name)

    def _is_silent(self, member: Member, now: float) -> bool:
        if now - member.last_seen_at() <= MAX_UNHEARD_SECONDS:
            return False
        return member.name != self._me

    def _is_listed(self, name: str, now: float) -> bool:
        recent = now - self._platform_list_at <= MAX_LIST_AGE_SECONDS
        return recent and name in self._platform_list.live
