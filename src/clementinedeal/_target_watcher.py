"""Reports the outcomes of an owner's requests to the ejection manager."""

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
# Refusals for these reasons are evidence about the target, others are not.
_KIND_BY_REASON = {
    Reason.DEADLINE: OutcomeKind.TIMEOUT,
    Reason.ANSWER_WRONG: OutcomeKind.WRONG,
    Reason.ANSWER_INCOMPLETE: OutcomeKind.SHORT,
    Reason.QUEUE_FULL: OutcomeKind.REFUSED,
    Reason.TARGET_FAILED: OutcomeKind.CONNECT,
}


@dataclass(frozen=True, slots=True)
class _RunningRequest:
    """A request that a target runs, started at monotonic seconds."""

    target: str
    started_at: float
    idempotent: bool


class TargetWatcher:
    """Measures requests to owned targets and reports how they ended.

    Implements ``OutcomeWatcher``.
    """

    def __init__(
        self,
        clock: Clock,
        manager: EjectionManager,
        dispatcher: Dispatcher,
        metrics: Metrics,
    ) -> None:
        """Create a watcher.

        :param clock: source of monotonic time.
        :param manager: receives the outcomes.
        :param dispatcher: performs the actions that the manager returns.
        :param metrics: counts executions by target and kind of outcome.
        """
        self._clock = clock
        self._manager = manager
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._running: dict[str, _RunningRequest] = {}

    def refusal(
        self, target: str, *, idempotent: bool
    ) -> AttemptRefusal | None:
        """Return the refusal of a request, or None if the target takes it.

        :param target: name of an owned target.
        :param idempotent: whether the request is idempotent; a target on
            trial takes only such requests.
        """
        state = self._manager.state(target)
        if state is TargetState.LEAVING:
            return AttemptRefusal(Verdict.NOT_RUN, Reason.DRAINING)
        is_barred_by_trial = state is TargetState.TRIAL and not idempotent
        if state is TargetState.EJECTED or is_barred_by_trial:
            return AttemptRefusal(Verdict.NOT_RUN, Reason.TARGET_EJECTED)
        return None

    def started(
        self, attempt_id: str, target: str, *, idempotent: bool
    ) -> None:
        """Record the start of a request, at its first byte to the target.

        :param attempt_id: unique id of the attempt.
        :param target: name of the target.
        :param idempotent: whether the request is idempotent.
        """
        running = _RunningRequest(target, self._clock.now(), idempotent)
        self._running[attempt_id] = running

    def ended(self, attempt_id: str, target: str, reply: AttemptReply) -> None:
        """Report how a request ended.

        A refusal whose reason says nothing about the target is ignored.

        :param attempt_id: unique id of the attempt.
        :param target: name of the target.
        :param reply: the answer, or the refusal with its reason.
        """
        now = self._clock.now()
        kind = _kind(reply)
        running = self._running.pop(attempt_id, None)
        if kind is None:
            return
        outcome = RequestOutcome(
            kind=kind,
            latency_seconds=now - running.started_at if running else 0,
            idempotent=running.idempotent if running else True,
        )
        self._metrics.executions.labels(target, kind.value).inc()
        self._perform(self._manager.on_outcome(target, outcome, now))
        if _is_leaving_reply(reply):
            self._perform(self._manager.on_leaving(target, now))

    def state(self, target: str) -> str:
        """Return the value of the target's state, such as 'in-use'.

        :param target: name of an owned target.
        """
        return self._manager.state(target).value

    def report_in_flight(self, now: float) -> None:
        """Pass the requests in flight to the manager, to detect hangs.

        :param now: monotonic time in seconds.
        """
        started: dict[str, list[float]] = {}
        for running in self._running.values():
            started.setdefault(running.target, []).append(running.started_at)
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
