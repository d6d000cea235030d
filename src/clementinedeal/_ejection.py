"""Detection and ejection of unhealthy targets in one daemon."""

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
    """Ejects unhealthy targets that this daemon owns, and lends permits for it.

    The owner of a target is the daemon beside it and the only one that calls
    it. An owner may eject a target only while it holds a permit of the
    target's service, so that ejections never leave fewer targets in use than
    the service's floor. The permits are lent by the service's permit holder,
    which may be this daemon too.

    Each input returns the actions to carry out: messages to send and changes
    of targets. It performs no input or output itself.
    """

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        *,
        incarnation: int = 0,
        detector_settings: DetectorSettings | None = None,
    ) -> None:
        """Start with every owned target in use and a view that is not fresh.

        :param me: name of this instance.
        :param cfg: the configuration in force.
        :param now: monotonic time in seconds.
        :param incarnation: distinguishes this run of the daemon from others
            of the same instance.
        :param detector_settings: settings of the detectors, None for the
            default.
        """
        self._me = me
        self._incarnation = incarnation
        self._detector_settings = detector_settings or DetectorSettings()
        self._reporter = TargetReporter(cfg)
        self._holders = PermitHolders(me, cfg)
        self._trackers: dict[str, TargetTracker] = {}
        self.on_config(cfg, now)

    def on_config(self, cfg: Config, now: float) -> list[Action]:
        """Apply a new configuration.

        An ejected target that was published with changes is reinstated, and
        so are all if the active preset disables ejection.

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
        if not cfg.active_preset.ejection:
            for tracker in owned:
                actions.extend(tracker.reinstate(now))
        return actions

    def on_outcome(
        self,
        target: str,
        outcome: RequestOutcome,
        now: float,
    ) -> list[Action]:
        """Handle the end of a request to an owned target.

        :param target: name of the target; ignored if it is not owned here.
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

        :param target: name of the target; ignored if it is not owned here.
        :param started: start times of the requests in monotonic seconds.
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
        """Handle a report or a permit answer; other messages are ignored.

        :param sender: name of the instance that sent the message.
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
        """Apply changes and send reports that are due.

        To be called several times a second: the permit holder lends nothing
        ``MAX_TICK_AGE_SECONDS`` after the last call.

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
        """Discard all evidence and borrowed permits, and stop lending for now.

        To be called after a pause of this process, in which permits may have
        expired and other views may have changed.

        :param gap_seconds: length of the pause.
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
        """Stop using a target that announced that it drains.

        :param target: name of the target; ignored if it is not owned here.
        :param now: monotonic time in seconds.
        """
        tracker = self._trackers.get(target)
        if tracker is None:
            return []
        tracker.on_leaving(now)
        return self._deliver_local(self._reporter.report_now(tracker, now), now)

    def on_restarted(self, target: str, now: float) -> list[Action]:
        """Discard the state of a target that has just started.

        It receives work gradually (slow start).

        :param target: name of the target; ignored if it is not owned here.
        :param now: monotonic time in seconds.
        """
        tracker = self._trackers.get(target)
        if tracker is None:
            return []
        return list(tracker.reset_to(TargetState.SLOW_START, now))

    def set_fresh(self, is_fresh: bool, now: float) -> None:
        """Set whether this daemon's view of the fleet is fresh.

        While it is not, this daemon lends, requests and renews no permits.

        :param is_fresh: whether the view is fresh.
        :param now: monotonic time in seconds.
        """
        self._reporter.is_fresh = is_fresh
        self._holders.set_fresh(is_fresh, now)

    def set_absent(self, targets: Iterable[str], now: float) -> None:
        """Set the targets that are known to be dead or leaving.

        :param targets: their names, of any service.
        :param now: monotonic time in seconds.
        """
        self._holders.set_absent(frozenset(targets), now)

    def stop(self, now: float) -> list[Action]:
        """Stop lending and report to the permit holders that targets leave.

        :param now: monotonic time in seconds.
        """
        self._holders.stop(now)
        actions: list[Action] = []
        for target in self._trackers:
            actions.extend(self.on_leaving(target, now))
        return actions

    def state(self, target: str) -> TargetState:
        """Return the state of an owned target.

        :param target: name of the target.
        :raises KeyError: the target is not owned here.
        """
        return self._trackers[target].state

    def usable_fraction(self, target: str, now: float) -> float:
        """Return the usable fraction of an owned target's slots, 0 to 1.

        :param target: name of the target.
        :param now: monotonic time in seconds.
        :raises KeyError: the target is not owned here.
        """
        return self._trackers[target].usable_fraction(now)

    def _tracker_for(self, target: Target, now: float) -> TargetTracker:
        """Return the existing tracker unless the published target changed."""
        former = self._trackers.get(target.name)
        if former is not None and former.target == target:
            return former
        return TargetTracker(
            target, self._incarnation, self._detector_settings, now
        )

    def _deliver_local(self, sends: list[Send], now: float) -> list[Action]:
        """Handle messages to this daemon at once; return all other actions."""
        actions: list[Action] = []
        for send in sends:
            if send.to == self._me:
                actions.extend(self.on_message(self._me, send.body, now))
            else:
                actions.append(send)
        return actions
