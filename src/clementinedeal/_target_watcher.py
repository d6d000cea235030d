"""Feeds what the owner's own traffic shows to the ejection manager."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from clementinedeal._dispatch import Dispatcher
from clementinedeal._ejection import EjectionManager
from clementinedeal._metrics import Metrics
from clementinedeal._replies import AttemptRefusal, AttemptReply, TargetAnswer
from clementinedeal._target_call import TARGET_STATE_HEADER
from clementinedeal._target_health import OutcomeKind, RequestOutcome
from clementinedeal._target_state import TargetState
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict

_SERVER_ERROR = 500
_LEAVING = b'leaving'
_KIND_BY_REASON = {
    Reason.DEADLINE: OutcomeKind.TIMEOUT,
    Reason.ANSWER_WRONG: OutcomeKind.WRONG,
    Reason.ANSWER_INCOMPLETE: OutcomeKind.SHORT,
    Reason.QUEUE_FULL: OutcomeKind.REFUSED,
    Reason.TARGET_FAILED: OutcomeKind.CONNECT,
}


@dataclass(frozen=True, slots=True)
class _RunningRequest:
    target: str
    at: float
    idempotent: bool


class TargetWatcher:
    """Times requests at owned targets and reports how they end."""

    def __init__(
        self,
        clock: Clock,
        manager: EjectionManager,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        """Create a watcher.

        :param clock: times requests.
        :param manager: learns.
        :param dispatcher: performs what the manager decides.
        :param metrics: counts executions.
        """
        self._clock = clock
        self._manager = manager
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._running: dict[str, _RunningRequest] = {}

    def refusal(
        self, target: str, *, idempotent: bool
    ) -> AttemptRefusal | None:
        """Return why a target takes no such request now, None if it does.

        :param target: an owned target.
        :param idempotent: a target on trial takes only such requests.
        """
        state = self._manager.state(target)
        if state is TargetState.LEAVING:
            return AttemptRefusal(Verdict.NOT_RUN, Reason.DRAINING)
        on_trial = state is TargetState.TRIAL and not idempotent
        if state is TargetState.EJECTED or on_trial:
            return AttemptRefusal(Verdict.NOT_RUN, Reason.TARGET_EJECTED)
        return None

    def started(self, req_id: str, target: str, *, idempotent: bool) -> None:
        """Note the first byte to a target."""
        started = _RunningRequest(target, self._clock.now(), idempotent)
        self._running[req_id] = started

    def ended(self, req_id: str, target: str, reply: AttemptReply) -> None:
        """Note what a request came to.

        :param req_id: unique id of the attempt.
        :param target: the target.
        :param reply: answer, or the refusal with its reason.
        """
        now = self._clock.now()
        kind = _kind(reply)
        started = self._running.pop(req_id, None)
        if kind is None:
            return
        outcome = RequestOutcome(
            kind=kind,
            latency_seconds=now - started.at if started else 0,
            idempotent=started.idempotent if started else True,
        )
        self._metrics.executions.labels(target, kind.value).inc()
        self._perform(self._manager.on_outcome(target, outcome, now))
        if _is_leaving_reply(reply):
            self._perform(self._manager.on_leaving(target, now))

    def state(self, target: str) -> str:
        """Return the target's state at this owner."""
        return self._manager.state(target).value

    def report_in_flight(self, now: float) -> None:
        """Tell the manager what is running, so that a hang shows.

        :param now: monotonic time in seconds.
        """
        started: dict[str, list[float]] = {}
        for running in self._running.values():
            started.setdefault(running.target, []).append(running.at)
        for target, times in started.items():
            self._perform(self._manager.on_inflight(target, times, now))

    def _perform(self, actions: Iterable[Any]) -> None:
        self._dispatcher.perform(actions)


def _kind(reply: AttemptReply) -> OutcomeKind | None:
    if isinstance(reply, AttemptRefusal):
        return _KIND_BY_REASON.get(reply.reason)
    if reply.head.status >= _SERVER_ERROR:
        return OutcomeKind.ERROR
    return OutcomeKind.OK


def _is_leaving_reply(reply: AttemptReply) -> bool:
    return (
        isinstance(reply, TargetAnswer)
        and reply.head.header(TARGET_STATE_HEADER) == _LEAVING
    )
