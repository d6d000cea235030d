"""Handlers of the messages by which daemons keep their view of the fleet."""

from collections.abc import Callable
from typing import Any

from clementinedeal._messages import Send
from clementinedeal._part_answers import PartAnswers
from clementinedeal._view_actions import PeerAddress
from clementinedeal._view_messages import (
    Announcement,
    LeavingNotice,
    MemberRecord,
    PartsAnswer,
    PartsRequest,
    RootAnswer,
    RootRequest,
    ViewAnswer,
    ViewRequest,
)
from clementinedeal._view_state import ViewState

Handler = Callable[[str, Any, float], list[Any]]


class ViewHandlers:
    """Maps each type of message to its handler, in ``by_type``.

    A handler takes the sender's name, the message and the monotonic time in
    seconds, and returns the actions to carry out.
    """

    def __init__(self, state: ViewState) -> None:
        """Create the handlers of a daemon.

        :param state: the daemon's view of the fleet.
        """
        self._state = state
        answers = PartAnswers(state.acceptance, state.version_sync)
        self.by_type: dict[type[Any], Handler] = {
            ViewRequest: self._on_view_request,
            ViewAnswer: self._on_view_answer,
            Announcement: self._on_announcement,
            RootRequest: answers.on_root_request,
            RootAnswer: state.version_sync.on_root_answer,
            PartsRequest: answers.on_parts_request,
            PartsAnswer: state.version_sync.on_parts_answer,
            LeavingNotice: self._on_leaving_notice,
        }

    def _on_view_request(
        self,
        sender: str,
        body: ViewRequest,
        now: float,
    ) -> list[Any]:
        state = self._state
        actions: list[Any] = []
        if state.members.roster.find(sender) is None:
            actions.append(PeerAddress(sender, body.control))
        if body.held is not None:
            state.freshness.on_accepted(body.held.version, now)
            actions.extend(state.version_sync.on_ref(body.held, sender, now))
        return [*actions, Send(sender, self._build_answer(body, now))]

    def _build_answer(self, body: ViewRequest, now: float) -> ViewAnswer:
        state = self._state
        roster = state.members.roster
        own = MemberRecord(0, state.incarnation, state.leaving, 0)
        roster.set_record(state.me, own, now)
        held = state.acceptance.in_force
        rejected = state.acceptance.newest_rejected
        return ViewAnswer(
            nonce=body.nonce,
            incarnation=state.incarnation,
            leaving=state.leaving,
            fresh=state.is_fresh(now),
            held=None if held is None else held.ref,
            held_for=state.version_ages.age_seconds(
                held.ref if held else None, now
            ),
            rejected=None if rejected is None else rejected.ref,
            newest=state.freshness.newest_known,
            accepted=state.freshness.newest_accepted,
            contact=state.freshness.contact(now),
            names=roster.names_digest,
            ages=roster.encode_ages(now),
            records=roster.records_to_send(now, full=body.full),
            records_digest=roster.records_digest(),
        )

    def _on_view_answer(
        self,
        sender: str,
        body: ViewAnswer,
        now: float,
    ) -> list[Any]:
        state = self._state
        sent_at = state.gossip.on_answer(sender, body, now)
        if sent_at is None:
            return []
        state.freshness.on_known(body.newest, now)
        state.freshness.on_accepted(body.accepted, now)
        if body.contact is not None:
            contact_at = sent_at - body.contact.age
            state.freshness.on_contact(body.contact.version, contact_at, now)
        state.members.roster.merge_answer(sender, body, sent_at)
        if body.held is not None:
            state.version_ages.note_published(body.held, now - body.held_for)
        state.acceptance.gate.on_peer_answer(body.held, is_fresh=body.fresh)
        actions: list[Any] = []
        for ref in (body.held, body.rejected):
            if ref is not None:
                actions.extend(state.version_sync.on_ref(ref, sender, now))
        return actions

    def _on_announcement(
        self,
        sender: str,
        body: Announcement,
        now: float,
    ) -> list[Any]:
        self._state.freshness.on_known(body.ref.version, now)
        return self._state.version_sync.on_ref(body.ref, sender, now)

    def _on_leaving_notice(
        self,
        sender: str,
        body: LeavingNotice,
        now: float,
    ) -> list[Any]:
        self._state.members.on_leaving(sender, body.incarnation, now)
        return list(self._state.members.changes(now))
