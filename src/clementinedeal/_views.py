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
    """Keeps a daemon's view of the fleet.

    The view is the configuration in force, the instances that are alive or
    leaving, and whether it is fresh: the daemon heard within the last
    ``FRESH_SECONDS`` that no newer configuration is in force.

    The transport calls the methods with each input; they return the actions
    to carry out and perform no input or output. ``on_tick`` is to be called
    about ten times a second, and ``on_pause`` before any other method after
    a pause of the process.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        rng: random.Random,
        now: float,
    ) -> None:
        """Create the view of a daemon that has just started.

        :param settings: the daemon's own settings.
        :param rng: source of jitter, choice of peers and incarnations; must
            be seeded differently in each process.
        :param now: monotonic seconds.
        """
        self._state = ViewState(settings, rng, now)
        self._handlers = ViewHandlers(self._state).by_type

    @property
    def config(self) -> Config | None:
        """Return the configuration in force, None before the first one."""
        return self._state.config

    def config_age_seconds(self, now: float) -> float:
        """Return the least time since the version in force was published.

        :param now: monotonic seconds.
        """
        return self._state.config_age_seconds(now)

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is fresh, so that keyed requests are served.

        :param now: monotonic seconds.
        """
        return self._state.is_fresh(now)

    def is_alive(self, instance: str, now: float) -> bool:
        """Return whether requests may be sent to an instance.

        :param instance: name of the instance.
        :param now: monotonic seconds.
        """
        return self._state.members.is_alive(instance, now)

    def is_leaving(self, instance: str) -> bool:
        """Return whether an instance takes no new requests.

        :param instance: name of the instance.
        """
        if instance == self._state.me:
            return self._state.leaving
        return self._state.members.is_leaving(instance)

    def incarnation(self, instance: str) -> int:
        """Return the newest known incarnation of an instance, 0 if unknown.

        :param instance: name of the instance.
        """
        if instance == self._state.me:
            return self._state.incarnation
        return self._state.members.incarnation(instance)

    def handles(self, body: Any) -> bool:
        """Return whether ``on_message`` accepts a control message.

        :param body: the message.
        """
        return isinstance(body, tuple(self._handlers))

    def on_message(self, sender: str, body: Any, now: float) -> Actions:
        """Handle a control message.

        :param sender: name of the instance, which is authenticated.
        :param body: a message that ``handles`` accepts.
        :param now: monotonic seconds.
        """
        handler = self._handlers[type(body)]
        return self._state.apply_changes(handler(sender, body, now), now)

    def on_platform_root(self, blob: bytes | None, now: float) -> Actions:
        """Handle the platform's answer to a read or watch of the root.

        :param blob: the root, or None if the platform answered the watch that
            there is no newer one. A watch without an answer is a failure and
            goes to ``on_platform_failure``.
        :param now: monotonic seconds.
        """
        state = self._state
        root_read = state.schedule.on_root(now, started=self.config is not None)
        if root_read is not None:
            version = (
                root_read.after_version if blob is None else _root_version(blob)
            )
            state.freshness.on_contact(version, root_read.sent_at, now)
        if blob is None:
            return []
        return state.apply_changes(
            state.version_sync.on_platform_root(blob, now), now
        )

    def on_platform_part(self, blob: bytes, now: float) -> Actions:
        """Handle the platform's answer to a read of a part.

        :param blob: the part.
        :param now: monotonic seconds.
        """
        state = self._state
        return state.apply_changes(
            state.version_sync.on_platform_part(blob, now), now
        )

    def on_platform_list(self, listed: InstanceList, now: float) -> Actions:
        """Handle the platform's answer to a read of the instance list.

        :param listed: the instance list.
        :param now: monotonic seconds.
        """
        state = self._state
        state.members.on_platform_list(listed, state.schedule.list_sent_at)
        return list(state.members.changes(now))

    def on_platform_failure(self, name: str, now: float) -> Actions:
        """Handle a read or watch that failed.

        :param name: name of the value that was read.
        :param now: monotonic seconds.
        """
        if name == ROOT_NAME:
            self._state.schedule.on_root_failure(now)
        return []

    def on_tick(self, now: float) -> Actions:
        """Return the reads and requests that are due, and changes of members.

        :param now: monotonic seconds.
        """
        state = self._state
        actions: Actions = list(state.due_reads(now))
        is_reader = state.is_reader(now)
        actions.extend(state.version_sync.on_tick(now, is_reader=is_reader))
        actions.extend(state.sweep_members(now))
        actions.extend(state.request_views(now))
        return state.apply_changes(actions, now)

    def on_pause(self, now: float) -> Actions:
        """Discard what may have changed during a pause of this process.

        The daemon takes a new incarnation and asks its peers for their views.

        :param now: monotonic seconds.
        """
        state = self._state
        state.freshness.on_pause()
        state.gossip.on_pause()
        state.schedule.on_pause()
        state.members.on_pause(now)
        state.renew_incarnation()
        return list(state.request_views(now))

    def stop(self, now: float) -> Actions:
        """Return notices to the peers that this daemon takes no new requests.

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
