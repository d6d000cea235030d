"""Which instances are alive or leaving, from gossip and the platform."""

from collections.abc import Iterator

from clementinedeal._member import NEVER, Member
from clementinedeal._roster import Roster
from clementinedeal._view_actions import (
    InstanceLeaving,
    InstanceLeft,
    InstanceList,
)
from clementinedeal._view_messages import MemberRecord

MAX_UNHEARD_SECONDS = 8.0  # an instance not heard for longer counts as silent
MAX_LIST_AGE_SECONDS = 30.0  # an older platform list is not used for liveness


class Membership:
    """Combines the gossiped table of instances with the platform's list.

    The platform's list lags. It is used to learn which instances leave, and
    as evidence of liveness only for instances that were never heard.
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
        """Discard when instances were last heard, after a pause of the process.

        :param now: monotonic seconds.
        """
        for member in self.roster:
            member.heard_at = NEVER
            member.since = now

    def on_leaving(self, sender: str, incarnation: int, now: float) -> None:
        """Note that an instance announced that it is stopping.

        :param sender: name of the stopping instance.
        :param incarnation: the incarnation that stops. A notice of any other
            than the known one is ignored, so that a late notice does not mark
            a restarted instance as leaving.
        :param now: monotonic seconds.
        """
        if self.incarnation(sender) in {0, incarnation}:
            record = MemberRecord(0, incarnation, leaving=True, age=0)
            self.roster.set_record(sender, record, now)

    def on_platform_list(
        self, listed: InstanceList, requested_at: float
    ) -> None:
        """Replace the platform's list of instances.

        :param listed: names of live and of leaving instances.
        :param requested_at: when the read was sent, in monotonic seconds.
        """
        self._platform_list = listed
        self._platform_list_at = requested_at

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether an instance was not heard for too long.

        An instance that was never heard counts as silent only after it has
        been known for ``MAX_UNHEARD_SECONDS``; an unpublished one always does.

        :param name: name of the instance.
        :param now: monotonic seconds.
        """
        member = self.roster.find(name)
        return member is None or self._is_silent(member, now)

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether an instance was heard within ``MAX_UNHEARD_SECONDS``.

        One that was never heard is alive if the platform lists it as live.
        This instance is always alive, if it is published.

        :param name: name of the instance.
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
        """Return whether an instance announced or is listed as leaving.

        :param name: name of the instance.
        """
        member = self.roster.find(name)
        is_announced = member is not None and member.leaving
        return is_announced or name in self._platform_list.leaving

    def incarnation(self, name: str) -> int:
        """Return the newest known incarnation of an instance, 0 if unknown.

        :param name: name of the instance.
        """
        member = self.roster.find(name)
        return 0 if member is None else member.incarnation

    def changes(self, now: float) -> Iterator[InstanceLeaving | InstanceLeft]:
        """Yield which instances left or began to leave since the last call.

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
