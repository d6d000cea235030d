"""The owner's record of attempts at its target, by their id."""

import collections
import functools
from dataclasses import dataclass, field

import trio

from clementinedeal._byte_budget import ByteBudget, HeldBytes
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome
from clementinedeal.mesh._target_client import BufferedRequest

# Ended attempts are remembered for longer than a forwarded attempt can be
# delayed in the network, and longer than any entry asks for its outcome.
RETENTION_SECONDS = 20.0
# The body of an answer is kept for longer than its entry takes to notice that
# it was lost and to ask for it again.
ANSWER_RETENTION_SECONDS = 8.0


@dataclass(eq=False, slots=True)
class Execution:
    """One attempt, independent of the connection on which it arrived.

    ``deadline`` is in monotonic seconds. ``request`` is None until the entry
    has sent the body: for a request that is not idempotent it does so once the
    owner has a slot. Without a body the attempt cannot run. ``body_wanted`` is
    set when there is a slot or an outcome, ``is_body_arriving`` with the first
    bytes of the body, ``body_received`` when ``request`` is or the body was
    lost. An attempt that has ended keeps no request. ``reached`` is set before
    the first byte is sent to the target. ``reader_count`` is the number of
    connections that wait for the outcome. ``done`` is set once ``outcome`` is.
    Cancelling ``cancel_scope`` ends the attempt.
    """

    attempt: MeshAttempt
    request: BufferedRequest | None
    deadline: float
    body_wanted: trio.Event = field(default_factory=trio.Event)
    body_received: trio.Event = field(default_factory=trio.Event)
    is_body_arriving: bool = False
    reached: bool = False
    reader_count: int = 0
    outcome: MeshOutcome | None = None
    done: trio.Event = field(default_factory=trio.Event)
    cancel_scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class MeshExecutionTable:
    """Remembers attempts, so that none runs twice or after it was forbidden."""

    def __init__(self, clock: Clock, budget: ByteBudget | None = None) -> None:
        """Create an empty table.

        :param clock: monotonic time.
        :param budget: may drop the bodies of answers; unlimited if None.
        """
        self._clock = clock
        self._started_at = clock.now()
        self._executions: dict[str, Execution | None] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()
        self._answered: collections.deque[tuple[float, Execution, int]]
        self._answered = collections.deque()
        self._budget = budget or ByteBudget(clock)

    def add(self, execution: Execution) -> bool:
        """Add a new attempt.

        :param execution: the attempt.
        :return: False if an attempt of this id is known or was forbidden.
        """
        name = execution.attempt.attempt
        if name in self._executions:
            return False
        self._executions[name] = execution
        return True

    def find(self, attempt_id: str) -> Execution | None:
        """Return an attempt that was added and is still remembered.

        :param attempt_id: id of the attempt.
        """
        return self._executions.get(attempt_id)

    def forbid(self, attempt_id: str, age: float) -> bool:
        """Prevent an unknown attempt from starting here.

        :param attempt_id: id of the attempt.
        :param age: seconds since it was sent.
        :return: whether it certainly never started: this process was running
            when it was sent and still remembers attempts of that age.
        """
        self._executions.setdefault(attempt_id, None)
        self.expire_later(attempt_id)
        uptime = self._clock.now() - self._started_at
        return age < min(uptime, RETENTION_SECONDS)

    def keep_outcome(self, execution: Execution) -> None:
        """Drop the request of an ended attempt, and later its answer's body.

        The id and the outcome stay for ``RETENTION_SECONDS``.

        :param execution: the attempt.
        """
        execution.request = None
        self.expire_later(execution.attempt.attempt)
        now = self._clock.now()
        outcome = execution.outcome
        if outcome is not None and isinstance(outcome.body, HeldBytes):
            drop = functools.partial(_drop_answer, execution)
            key = self._budget.allow_cut(outcome.body, drop)
            self._answered.append((now, execution, key))
        while (
            self._answered
            and now - self._answered[0][0] > ANSWER_RETENTION_SECONDS
        ):
            _, former, key = self._answered.popleft()
            self._budget.forbid_cut(key)
            _drop_answer(former)

    def expire_later(self, attempt_id: str) -> None:
        """Forget an attempt after ``RETENTION_SECONDS``.

        :param attempt_id: id of the attempt.
        """
        now = self._clock.now()
        self._ended.append((now, attempt_id))
        while self._ended and now - self._ended[0][0] > RETENTION_SECONDS:
            self._executions.pop(self._ended.popleft()[1], None)


def _drop_answer(execution: Execution) -> None:
    """Keep of an outcome only that the request has run."""
    if execution.outcome is not None and execution.outcome.body:
        execution.outcome = MeshOutcome(
            verdict=Verdict.MAY_HAVE_RUN,
            reason=Reason.ANSWER_INCOMPLETE,
            reached=True,
            state=execution.outcome.state,
        )
