"""One daemon's view of the fleet: configuration, members and freshness."""

import random
from typing import Any

from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._publication import ROOT_NAME, read_root
from clementinedeal._settings import DaemonSettings
from clementinedeal._view_actions import InstanceList
from clementinedeal._view_handlers import ViewHandlers
from clementinedeal._view_messages import LeavingNotice
from clementinedeal._view_state import ViewState

Actions = list[Any]


class FleetView:
    """Driven by the transport; inputs return the actions to carry out.

    Call ``on_tick`` ten times a second or so and ``on_pause`` before anything
    else after a pause.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        rng: random.Random,
        now: float,
    ) -> None:
        """Create the view of a daemon that has just started.

        :param settings: the daemon's own settings.
        :param rng: source of jitter, peers and incarnations; seeded
            differently in each process.
        :param now: monotonic seconds.
        """
        self._state = ViewState(settings, rng, now)
        self._handlers = ViewHandlers(self._state).by_type

    @property
    def config(self) -> Config | None:
        """Return the configuration in force, nothing before the first."""
        return self._state.config

    def config_age_seconds(self, now: float) -> float:
        """Return for how long the version in force is published, at least.

        :param now: monotonic seconds.
        """
        return self._state.config_age_seconds(now)

    def is_fresh(self, now: float) -> bool:
        """Return whether keyed requests may be served.

        :param now: monotonic seconds.
        """
        return self._state.is_fresh(now)

    def is_alive(self, instance: str, now: float) -> bool:
        """Return whether an instance may be tried.

        :param instance: its name.
        :param now: monotonic seconds.
        """
        return self._state.members.is_alive(instance, now)

    def is_leaving(self, instance: str) -> bool:
        """Return whether an instance takes no new work.

        :param instance: its name.
        """
        if instance == self._state.me:
            return self._state.leaving
        return self._state.members.is_leaving(instance)

    def incarnation(self, instance: str) -> int:
        """Return the newest known incarnation of an instance, 0 if unknown.

        :param instance: its name.
        """
        if instance == self._state.me:
            return self._state.incarnation
        return self._state.members.incarnation(instance)

    def handles(self, body: Any) -> bool:
        """Return whether a control message is for this part.

        :param body: the message.
        """
        return isinstance(body, tuple(self._handlers))

    def on_message(self, sender: str, body: Any, now: float) -> Actions:
        """Take a control message.

        :param sender: the authenticated instance.
        :param body: a message that ``handles`` accepts.
        :param now: monotonic seconds.
        """
        handler = self._handlers[type(body)]
        return self._state.apply_changes(handler(sender, body, now), now)

    def on_platform_root(self, blob: bytes | None, now: float) -> Actions:
        """Take the answer to a read or watch of the root.

        :param blob: the value; nothing when the platform answered the watch
            with nothing newer. A watch that got no answer is a failure.
        :param now: monotonic seconds.
        """
        state = self._state
        root_read = state.schedule.on_root(now, started=self.config is not None)
        if root_read is not None:
            version = root_read.after if blob is None else _root_version(blob)
            state.freshness.on_contact(version, root_read.sent_at, now)
        if blob is None:
            return []
        return state.apply_changes(
            state.spread.on_platform_root(blob, now), now
        )

    def on_platform_part(self, blob: bytes, now: float) -> Actions:
        """Take the answer to a read of a part.

        :param blob: the value.
        :param now: monotonic seconds.
        """
        state = self._state
        return state.apply_changes(
            state.spread.on_platform_part(blob, now), now
        )

    def on_platform_list(self, listed: InstanceList, now: float) -> Actions:
        """Take the answer to a read of the instance list.

        :param listed: the list.
        :param now: monotonic seconds.
        """
        state = self._state
        state.members.on_list(listed, state.schedule.list_sent)
        return list(state.members.changes(now))

    def on_platform_failure(self, name: str, now: float) -> Actions:
        """Note a read or watch that failed.

        :param name: what was read.
        :param now: monotonic seconds.
        """
        if name == ROOT_NAME:
            self._state.schedule.on_root_failure(now)
        return []

    def on_tick(self, now: float) -> Actions:
        """Do what is due.

        :param now: monotonic seconds.
        """
        state = self._state
        actions: Actions = list(state.due_reads(now))
        is_reader = state.is_reader(now)
        actions.extend(state.spread.on_tick(now, is_reader=is_reader))
        actions.extend(state.sweep_members(now))
        actions.extend(state.request_views(now))
        return state.apply_changes(actions, now)

    def on_pause(self, now: float) -> Actions:
        """Forget what may have changed during a pause; rejoin as another.

        :param now: monotonic seconds.
        """
        state = self._state
        state.freshness.drop()
        state.gossip.drop()
        state.schedule.drop()
        state.members.drop(now)
        state.renew_incarnation()
        return list(state.request_views(now))

    def stop(self, now: float) -> Actions:
        """Tell peers that this daemon takes no new work.

        :param now: monotonic seconds.
        """
        state = self._state
        state.leaving = True
        notice = LeavingNotice(state.incarnation)
        return [
            Send(name, notice)
            for name in state.members.roster.names
            if name != state.me and not state.members.is_silent(name, now)
        ]


def _root_version(blob: bytes) -> int:
    outcome = read_root(blob)
    return outcome.unwrap().version if outcome.is_ok() else 0
