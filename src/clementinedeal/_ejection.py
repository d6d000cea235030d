"""Ejection of the targets of one daemon."""

from collections.abc import Iterable
from typing import Any

from clementinedeal._detector import DetectorSettings
from clementinedeal._health import Outcome
from clementinedeal._messages import Send
from clementinedeal._model import Config, Target
from clementinedeal._permit_holders import Holders
from clementinedeal._reporter import Reporter
from clementinedeal._reports import PermitAnswer, TargetReport
from clementinedeal._standing import Standing
from clementinedeal._target_state import (
    Change,
    TargetReinstated,
    TargetState,
)

Action = Send | Change


class EjectionManager:
    """Owner's side for each owned target, and the holders placed here."""

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        *,
        incarnation: int = 0,
        detection: DetectorSettings | None = None,
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
        self._detection = detection or DetectorSettings()
        self._reporter = Reporter(cfg)
        self._holders = Holders(me, cfg)
        self._standings: dict[str, Standing] = {}
        self.on_config(cfg, now)

    def on_config(self, cfg: Config, now: float) -> list[Action]:
        """Take a new configuration into force.

        :param cfg: the configuration.
        :param now: monotonic time in seconds.
        """
        self._reporter.on_config(cfg)
        former = self._standings
        self._standings = {
            name: self._standing(target, now)
            for name, target in cfg.targets.items()
            if target.instance == self._me
        }
        owned = self._standings.values()
        services = {standing.target.service for standing in owned}
        self._holders.on_config(cfg, services, now)
        actions: list[Action] = [
            TargetReinstated(name)
            for name, standing in former.items()
            if standing.out and self._standings.get(name, standing) != standing
        ]
        if not cfg.active.ejection:
            for standing in owned:
                actions.extend(standing.reinstate(now))
        return actions

    def on_outcome(
        self,
        target: str,
        outcome: Outcome,
        now: float,
    ) -> list[Action]:
        """Take in the end of a request to an owned target.

        :param target: its name; one that is not owned is ignored.
        :param outcome: how the request ended.
        :param now: monotonic time in seconds.
        """
        standing = self._standings.get(target)
        if standing is None:
            return []
        standing.on_outcome(outcome, now)
        return self._route(self._reporter.if_due(standing, now), now)

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
        standing = self._standings.get(target)
        if standing is None:
            return []
        standing.detector.on_inflight(tuple(started))
        return self._route(self._reporter.if_due(standing, now), now)

    def on_message(self, sender: str, body: Any, now: float) -> list[Action]:
        """Take in a report or an answer; other messages are ignored.

        :param sender: name of the instance it came from.
        :param body: the message.
        :param now: monotonic time in seconds.
        """
        if isinstance(body, TargetReport):
            sends = self._holders.on_report(sender, body, now)
            return self._route(sends, now)
        if not isinstance(body, PermitAnswer):
            return []
        standing = self._standings.get(body.target)
        return list(standing.on_answer(body, now)) if standing else []

    def on_tick(self, now: float) -> list[Action]:
        """Let time pass; expected about every 20 ms.

        :param now: monotonic time in seconds.
        """
        self._holders.on_tick(now)
        actions: list[Action] = []
        for standing in self._standings.values():
            actions.extend(standing.on_tick(now))
            sends = self._reporter.if_due(standing, now)
            actions.extend(self._route(sends, now))
        return actions

    def on_pause(self, gap: float, now: float) -> list[Action]:
        """Drop all permits, evidence and grants after a pause.

        :param gap: its length in seconds.
        :param now: monotonic time in seconds.
        """
        self._holders.on_pause(now)
        actions: list[Action] = []
        for standing in self._standings.values():
            state = standing.state
            if state is not TargetState.LEAVING:
                state = TargetState.IN_USE
            actions.extend(standing.begin_anew(state, now))
        return actions

    def on_leaving(self, target: str, now: float) -> list[Action]:
        """Act on a target's own drain signal.

        :param target: its name; one that is not owned is ignored.
        :param now: monotonic time in seconds.
        """
        standing = self._standings.get(target)
        if standing is None:
            return []
        standing.on_leaving(now)
        return self._route(self._reporter.at_once(standing, now), now)

    def on_cold(self, target: str, now: float) -> list[Action]:
        """Begin anew with a target that has just started.

        :param target: its name; one that is not owned is ignored.
        :param now: monotonic time in seconds.
        """
        standing = self._standings.get(target)
        if standing is None:
            return []
        return list(standing.begin_anew(TargetState.SLOW_START, now))

    def set_fresh(self, fresh: bool, now: float) -> None:
        """Tell whether this daemon's view is fresh.

        While it is not, nothing is lent, asked for or renewed here.

        :param fresh: true while it is.
        :param now: monotonic time in seconds.
        """
        self._reporter.fresh = fresh
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
        for target in self._standings:
            actions.extend(self.on_leaving(target, now))
        return actions

    def state(self, target: str) -> TargetState:
        """Return the state of an owned target.

        :param target: its name.
        :raises KeyError: the target is not owned here.
        """
        return self._standings[target].state

    def share(self, target: str, now: float) -> float:
        """Return the usable share of an owned target's slots, 0 to 1.

        :param target: its name.
        :param now: monotonic time in seconds.
        :raises KeyError: the target is not owned here.
        """
        return self._standings[target].share(now)

    def _standing(self, target: Target, now: float) -> Standing:
        """Keep the standing of a target unless it was published anew."""
        former = self._standings.get(target.name)
        if former is not None and former.target == target:
            return former
        return Standing(target, self._incarnation, self._detection, now)

    def _route(self, sends: list[Send], now: float) -> list[Action]:
        """Hand what is for this daemon itself over at once."""
        actions: list[Action] = []
        for send in sends:
            if send.to == self._me:
                actions.extend(self.on_message(self._me, send.body, now))
            else:
                actions.append(send)
        return actions
