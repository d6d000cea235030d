"""The owner's table of the attempts that entries forwarded to it.

The owner is the daemon beside a target, the only one that calls it. A forward
is one attempt of a request, as its entry sends it to the owner; the attempt's
id identifies it.
"""

import enum
import heapq
from dataclasses import dataclass

from result import Err, Ok, Result

from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._timers import MIN_PAUSE_SECONDS
from clementinedeal._verdict import Reason

DEFAULT_MAX_ENTRIES = 65_536
DEFAULT_RETENTION_SECONDS = 120.0


class ExecutionState(enum.Enum):
    """Progress of one forward at its owner.

    ``QUEUED`` and ``STARTED`` are open. ``DONE``: the target answered.
    ``ABANDONED``: the owner stopped waiting for the target. ``CANCELLED``: it
    never started and never will.
    """

    QUEUED = 'queued'
    STARTED = 'started'
    DONE = 'done'
    ABANDONED = 'abandoned'
    CANCELLED = 'cancelled'


# A forward refused for these reasons is recorded as cancelled, so that a
# later copy of it is not accepted either.
_RECORDED_REFUSALS = frozenset((Reason.DEADLINE, Reason.WRONG_INCARNATION))
_CANCEL_ANSWERS = {
    ExecutionState.CANCELLED: CancelAnswer.NEVER_STARTED,
    ExecutionState.STARTED: CancelAnswer.STARTED,
    ExecutionState.ABANDONED: CancelAnswer.STARTED,
    ExecutionState.DONE: CancelAnswer.FINISHED,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ExecutionLimits:
    """Bounds of the table.

    The retention must exceed both the time for which a forward may stay in
    the network after its connection was aborted, and the time for which an
    entry trusts the answer to a cancel (``PROOF_WINDOW_SECONDS``).

    :param max_entries: forwards remembered at the most.
    :param retention_seconds: how long a closed forward is remembered after
        its deadline or its last change, whichever is later.
    """

    max_entries: int = DEFAULT_MAX_ENTRIES
    retention_seconds: float = DEFAULT_RETENTION_SECONDS


@dataclass(slots=True)
class _Execution:
    """A forward in the table; times are in monotonic seconds."""

    state: ExecutionState
    incarnation: str
    deadline: float
    forget_at: float


class ExecutionTable:
    """Remembers forwards so that none starts twice or after its cancel.

    Each attempt of a request has an id of its own. Forwards that are queued
    or started are never dropped; a full table refuses new ones.
    """

    def __init__(
        self,
        incarnation: str,
        limits: ExecutionLimits | None = None,
    ) -> None:
        """Create an empty table.

        :param incarnation: identifies this run of the daemon.
        :param limits: bounds of the table; None for the defaults.
        """
        self.incarnation = incarnation
        self._limits = limits or ExecutionLimits()
        self._table: dict[str, _Execution] = {}
        # Heap of closed forwards by the time at which they are forgotten.
        self._expiries: list[tuple[float, str]] = []
        # Until the first tick no gap is detected.
        self._last_tick = float('inf')

    def __len__(self) -> int:
        """Return the number of remembered forwards."""
        return len(self._table)

    def register(
        self,
        attempt_id: str,
        incarnation: str,
        deadline: float,
        now: float,
    ) -> Result[None, Reason]:
        """Record a forward as queued.

        A forward that is registered and refused later, for instance by a full
        queue, must be cancelled.

        :param attempt_id: id of the forward.
        :param incarnation: owner incarnation that the forward names.
        :param deadline: monotonic time in seconds by which it must start.
        :param now: current monotonic time in seconds.
        :returns: why it is refused, if it is. The request has then not run,
            except for ``DUPLICATE``, where the other copy may have run.
        """
        self._expire(now)
        refusal = self._register_refusal(attempt_id, incarnation, deadline, now)
        if refusal is not None:
            if refusal in _RECORDED_REFUSALS:
                self._record_cancelled(attempt_id, incarnation, now)
            return Err(refusal)
        self._table[attempt_id] = _Execution(
            ExecutionState.QUEUED,
            incarnation,
            deadline,
            0,
        )
        return Ok(None)

    def start(self, attempt_id: str, now: float) -> Result[None, Reason]:
        """Record a forward as started, right before its first byte is sent.

        :param attempt_id: id of a registered forward.
        :param now: current monotonic time in seconds.
        :returns: why it may not start, if so; it then never starts.
        """
        execution = self._table.get(attempt_id)
        if execution is None:
            return Err(Reason.CANCELLED)
        reason = self._start_refusal(execution, now)
        if reason is None:
            execution.state = ExecutionState.STARTED
            return Ok(None)
        if execution.state is ExecutionState.QUEUED:
            self._close(attempt_id, execution, ExecutionState.CANCELLED, now)
        return Err(reason)

    def finish(self, attempt_id: str, now: float) -> None:
        """Record that the target answered a started forward.

        :param attempt_id: id of the forward; ignored if unknown or ended.
        :param now: current monotonic time in seconds.
        """
        self._close_if_started(attempt_id, ExecutionState.DONE, now)

    def abandon(self, attempt_id: str, now: float) -> None:
        """Record that the owner no longer waits for a started forward.

        :param attempt_id: id of the forward; ignored if unknown or ended.
        :param now: current monotonic time in seconds.
        """
        self._close_if_started(attempt_id, ExecutionState.ABANDONED, now)

    def cancel(
        self,
        attempt_id: str,
        incarnation: str,
        now: float,
    ) -> CancelAnswer:
        """Cancel a forward, including one that has not arrived yet.

        A forward that has started is not stopped by this.

        :param attempt_id: id of the forward.
        :param incarnation: owner incarnation that the forward named.
        :param now: current monotonic time in seconds.
        :returns: how far the forward came. ``UNKNOWN`` if it is not in the
            table and was meant for another incarnation, or the table is full.
        """
        self._expire(now)
        execution = self._table.get(attempt_id)
        if execution is None:
            return self._record_cancelled(attempt_id, incarnation, now)
        if execution.state is ExecutionState.QUEUED:
            self._close(attempt_id, execution, ExecutionState.CANCELLED, now)
        return _CANCEL_ANSWERS[execution.state]

    def on_tick(self, now: float) -> None:
        """Record that the process is running.

        Once called, it must be called several times a second. After a gap
        that shows that the process was paused, no forward is registered or
        started until the next call.

        :param now: current monotonic time in seconds.
        """
        self._last_tick = now

    def on_pause(self, incarnation: str) -> None:
        """Take a new incarnation after the process was paused.

        Forwards that were queued or on their way before the pause don't start
        any more.

        :param incarnation: the new incarnation.
        """
        self.incarnation = incarnation

    def state(self, attempt_id: str) -> ExecutionState | None:
        """Return the state of a forward, or None if it is unknown.

        :param attempt_id: id of the forward.
        """
        execution = self._table.get(attempt_id)
        return execution.state if execution else None

    def _close_if_started(
        self, attempt_id: str, state: ExecutionState, now: float
    ) -> None:
        execution = self._table.get(attempt_id)
        if execution and execution.state is ExecutionState.STARTED:
            self._close(attempt_id, execution, state, now)

    def _register_refusal(
        self,
        attempt_id: str,
        incarnation: str,
        deadline: float,
        now: float,
    ) -> Reason | None:
        existing = self._table.get(attempt_id)
        if existing and existing.state is ExecutionState.CANCELLED:
            return Reason.CANCELLED
        if existing:
            return Reason.DUPLICATE
        if incarnation != self.incarnation or self._has_missed_ticks(now):
            return Reason.WRONG_INCARNATION
        if deadline <= now:
            return Reason.DEADLINE
        if len(self._table) >= self._limits.max_entries:
            return Reason.QUEUE_FULL
        return None

    def _start_refusal(
        self,
        execution: _Execution,
        now: float,
    ) -> Reason | None:
        if execution.state is ExecutionState.CANCELLED:
            return Reason.CANCELLED
        if execution.state is not ExecutionState.QUEUED:
            return Reason.DUPLICATE
        if execution.incarnation != self.incarnation:
            return Reason.WRONG_INCARNATION
        if self._has_missed_ticks(now):
            return Reason.WRONG_INCARNATION
        if execution.deadline <= now:
            return Reason.DEADLINE
        return None

    def _has_missed_ticks(self, now: float) -> bool:
        return now - self._last_tick > MIN_PAUSE_SECONDS

    def _record_cancelled(
        self,
        attempt_id: str,
        incarnation: str,
        now: float,
    ) -> CancelAnswer:
        """Add a forward that may never start, if the table has room."""
        is_full = len(self._table) >= self._limits.max_entries
        if is_full or incarnation != self.incarnation:
            return CancelAnswer.UNKNOWN
        tombstone = _Execution(ExecutionState.QUEUED, incarnation, now, 0)
        self._table[attempt_id] = tombstone
        self._close(attempt_id, tombstone, ExecutionState.CANCELLED, now)
        return CancelAnswer.NEVER_STARTED

    def _close(
        self,
        attempt_id: str,
        execution: _Execution,
        state: ExecutionState,
        now: float,
    ) -> None:
        execution.state = state
        last_use = max(execution.deadline, now)
        execution.forget_at = last_use + self._limits.retention_seconds
        heapq.heappush(self._expiries, (execution.forget_at, attempt_id))

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, attempt_id = heapq.heappop(self._expiries)
            self._table.pop(attempt_id, None)
