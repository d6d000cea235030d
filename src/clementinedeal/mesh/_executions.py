"""Attempts at the target beside this daemon, by their id."""

import collections
from dataclasses import dataclass, field

import trio

from clementinedeal._timers import Clock
from clementinedeal.mesh._outcomes import MeshAttempt, MeshOutcome
from clementinedeal.mesh._target_client import BufferedRequest

# Longer than any forward stays on its way and any entry asks again.
RETENTION_SECONDS = 20.0


@dataclass(eq=False, slots=True)
class Execution:
    """One attempt, independent of the connection it came over.

    ``message`` is None until its body was asked for and sent: what has no
    body yet cannot run. ``reached`` is set before the first byte goes to the
    target.
    """

    attempt: MeshAttempt
    message: BufferedRequest | None
    deadline: float
    body_wanted: trio.Event = field(default_factory=trio.Event)
    body_received: trio.Event = field(default_factory=trio.Event)
    reached: bool = False
    reader_count: int = 0
    outcome: MeshOutcome | None = None
    done: trio.Event = field(default_factory=trio.Event)
    cancel_scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class MeshExecutionTable:
    """Remembers attempts, so that none starts twice or after a refusal."""

    def __init__(self, clock: Clock) -> None:
        """Start empty.

        :param clock: monotonic time.
        """
        self._clock = clock
        self._started_at = clock.now()
        self._executions: dict[str, Execution | None] = {}
        self._ended: collections.deque[tuple[float, str]] = collections.deque()

    def add(self, execution: Execution) -> bool:
        """Remember a new attempt; False if its id is known already.

        :param execution: the attempt.
        """
        name = execution.attempt.attempt
        if name in self._executions:
            return False
        self._executions[name] = execution
        return True

    def find(self, attempt_id: str) -> Execution | None:
        """Return an attempt that was opened and is still remembered."""
        return self._executions.get(attempt_id)

    def forbid(self, attempt_id: str, age: float) -> bool:
        """Keep an unknown attempt from ever starting here.

        :param name: the attempt.
        :param age: seconds since it was sent.
        :return: whether it is proved that it never started.
        """
        self._executions.setdefault(attempt_id, None)
        self.expire_later(attempt_id)
        up = self._clock.now() - self._started_at
        return age < min(up, RETENTION_SECONDS)

    def expire_later(self, attempt_id: str) -> None:
        """Forget an attempt after a while.

        :param name: the attempt.
        """
        now = self._clock.now()
        self._ended.append((now, attempt_id))
        while self._ended and now - self._ended[0][0] > RETENTION_SECONDS:
            self._executions.pop(self._ended.popleft()[1], None)
