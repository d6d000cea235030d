"""Ejection of the targets of one daemon."""

from collections.abc import Iterable
from typing import Any

from clementinedeal._detector import DetectorSettings
from clementinedeal._messages import Send
from clementinedeal._model import Config, Target
from clementinedeal._permit_holders import PermitHolders
from clementinedeal._permit_messages import PermitAnswer, TargetReport
from clementinedeal._target_health import RequestOutcome
from clementinedeal._target_reporter import TargetReporter
from clementinedeal._target_state import (
    TargetChange,
    TargetReinstated,
    TargetState,
)
from clementinedeal._target_tracker import TargetTracker

Action = Send | TargetChange


class EjectionManager:
    """Owner's side for each owned target, and the holders placed here."""

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        *,
        incarnation: int = 0,
        detector_settings: DetectorSettings | None = None,
    ) -> None:
        """Start with every owned target in use, in a view not fresh yet.

        :param me: name of this instance.
        :param cfg: the configuration in force.
        :param now: monotonic time in seconds.
        :param incarnation: tells this life of the daemon from others.
        :param detection: settings of the detectors.
        """
        self._me = me
        self._incarnation = incarnation
        self._detector_settings = detector_settings or DetectorSettings()
        self._reporter = TargetReporter(cfg)
        self._holders = PermitHolders(me, cfg)
        self._trackers: dict[str, TargetTracker] = {}
        self.on_config(cfg, now)

    def on_config(self, cfg: Config, now: float) -> list[Action]:
        """Take a new configuration into force.

        :param cfg: the configuration.
        :param now: monotonic time in seconds.
        """
        self._reporter.on_config(cfg)
        former = self._trackers
        self._trackers = {
            name: self._tracker_for(target, now)
            for name, target in cfg.targets.items()
            if target.instance == self._me
        }
        owned = self._trackers.values()
        services = {tracker.target.service for tracker in owned}
        self._holders.on_config(cfg, services, now)
        actions: list[Action] = [
            TargetReinstated(name)
            for name, tracker in former.items()
            if tracker.is_ejected
            and self._trackers.get(name, tracker) != tracker
        ]
        if not cfg.active.ejection:
            for tracker in owned:
                actions.extend(tracker.reinstate(now))
        return actions

    def on_outcome(
        self,
        target: str,
        outcome: RequestOutcome,
        now: float,
    ) -> list[Action]:
        """Take in the end of a request to an owned target.

        :param target: its name; one that is not owned is ignored.
        :param outcome: how the request ended.
        :param now: monotonic time in seconds.
        """
        tracker = self._trackers.get(target)
        if tracker is None:
            return []
        tracker.on_outcome(outcome, now)
        return self._deliver_local(
            self._reporter.report_if_due(tracker, now), now
        )

    def on_inflight(
        self,
        target: str,
        started: Iterable[float],
        now: float,
    ) -> list[Action]:
        """Replace the list of requests in flight at an owned target.

        :param target: its name; one that is not owned is ignored.
        :param started: monotonic times in seconds of their start.
        :param now: monotonic time in seconds.
        """
        tracker = self._trackers.get(target)
        if tracker is None:
            return []
        tracker.detector.on_inflight(tuple(started))
        return self._deliver_local(
            self._reporter.report_if_due(tracker, now), now
        )

    def on_message(self, sender: str, body: Any, now: float) -> list[Action]:
        """Take in a report or an answer; other messages are ignored.

        :param sender: name of the instance it came from.
        :param body: the message.
        :param now: monotonic time in seconds.
        """
        if isinstance(body, TargetReport):
            sends = self._holders.on_report(sender, body, now)
            return self._deliver_local(sends, now)
        if not isinstance(body, PermitAnswer):
            return []
        tracker = self._trackers.get(body.target)
        return list(tracker.on_answer(body, now)) if tracker else []

    def on_tick(self, now: float) -> list[Action]:
        """Let time pass; expected about every 20 ms.

        :param now: monotonic time in seconds.
        """
        self._holders.on_tick(now)
        actions: list[Action] = []
        for tracker in self._trackers.values():
            actions.extend(tracker.on_tick(now))
            sends = self._reporter.report_if_due(tracker, now)
            actions.extend(self._deliver_local(sends, now))
        return actions

    def on_pause(self, gap_seconds: float, now: float) -> list[Action]:
        """Drop all permits, evidence and grants after a pause.

        :param gap: its length in seconds.
        :param now: monotonic time in seconds.
        """
        self._holders.on_pause(now)
        actions: list[Action] = []
        for tracker in self._trackers.values():
            state = tracker.state
            if state is not TargetState.LEAVING:
                state = TargetState.IN_USE
            actions.extend(tracker.reset_to(state, now))
        return actions

    def on_leaving(self, target: str, now: float) -> list[Action]:
        """Act on a target's own drain signal.

        :param target: its name; one that is not owned is ignored.
        :param now: monotonic time in seconds.
        """
        tracker = self._trackers.get(target)
        if tracker is None:
            return []
        tracker.on_leaving(now)
        return self._deliver_local(self._reporter.report_now(tracker, now), now)

    def on_restarted(self, target: str, now: float) -> list[Action]:
        """Begin anew with a target that has just started.

        :param target: its name; one that is not owned is ignored.
        :param now: monotonic time in seconds.
        """
        tracker = self._trackers.get(target)
        if tracker is None:
            return []
        return list(tracker.reset_to(TargetState.SLOW_START, now))

    def set_fresh(self, fresh: bool, now: float) -> None:
        """Tell whether this daemon's view is fresh.

        While it is not, nothing is lent, asked for or renewed here.

        :param fresh: true while it is.
        :param now: monotonic time in seconds.
        """
        self._reporter.is_fresh = fresh
        self._holders.set_fresh(fresh, now)

    def set_absent(self, targets: Iterable[str], now: float) -> None:
        """Tell which targets of any service are known dead or leaving.

        :param targets: their names.
        :param now: monotonic time in seconds.
        """
        self._holders.set_absent(frozenset(targets), now)

    def stop(self, now: float) -> list[Action]:
        """Lend nothing more and tell the holders that the targets leave.

        :param now: monotonic time in seconds.
        """
        self._holders.stop(now)
        actions: list[Action] = []
        for target in self._trackers:
            actions.extend(self.on_leaving(target, now))
        return actions

    def state(self, target: str) -> TargetState:
        """Return the state of an owned target.

        :param target: its name.
        :raises KeyError: the target is not owned here.
        """
        return self._trackers[target].state

    def usable_fraction(self, target: str, now: float) -> float:
        """Return the usable share of an owned target's slots, 0 to 1.

        :param target: its name.
        :param now: monotonic time in seconds.
        :raises KeyError: the target is not owned here.
        """
        return self._trackers[target].usable_fraction(now)

    def _tracker_for(self, target: Target, now: float) -> TargetTracker:
        """Keep the standing of a target unless it was published anew."""
        former = self._trackers.get(target.name)
        if former is not None and former.target == target:
            return former
        return TargetTracker(
            target, self._incarnation, self._detector_settings, now
        )

    def _deliver_local(self, sends: list[Send], now: float) -> list[Action]:
        """Hand what is for this daemon itself over at once."""
        actions: list[Action] = []
        for send in sends:
            if send.to == self._me:
                actions.extend(self.on_message(self._me, send.body, now))
            else:
                actions.append(send)
        return actions
