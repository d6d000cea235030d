"""What the owned target says of itself in its answers: its limit, its end."""

import math

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._contracts import TargetStatement


class TargetLimit:
    """The request limit that the owned target names, and whether it leaves.

    ``limit`` is in requests per second, None while the target names none.
    """

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Start without a limit.

        :param clock: monotonic time.
        :param events: log of changes.
        """
        self._clock = clock
        self._events = events
        self._target = ''
        self._named_at = float('-inf')
        self.limit: float | None = None
        self.is_leaving = False

    def gauge(self) -> float:
        """Return the limit in requests per second, infinite without one."""
        return math.inf if self.limit is None else self.limit

    def reset(self, target: str) -> None:
        """Forget what another process has said.

        :param target: name of the new target.
        """
        self._target = target
        self._named_at = float('-inf')
        self.limit = None
        self.is_leaving = False

    def on_statement(self, statement: TargetStatement, sent_at: float) -> None:
        """Record what an answer says.

        An answer without a limit ends the limit only if its request was sent
        after the limit was named: it may have been written before.

        :param statement: what the answer says.
        :param sent_at: when its request was sent, monotonic seconds.
        """
        if statement.leaving and not self.is_leaving:
            self.is_leaving = True
            self._events.emit('target-leaving', target=self._target)
        if statement.limit_unreadable:
            self._events.emit('target-limit-unreadable', target=self._target)
            return
        limit = statement.request_limit
        if limit is not None:
            self._named_at = self._clock.now()
        elif sent_at < self._named_at:
            return
        self._set_limit(limit, 'answer')

    def _set_limit(self, limit: float | None, source: str) -> None:
        if limit == self.limit:
            return
        self._events.emit(
            'target-limit',
            target=self._target,
            limit='none' if limit is None else limit,
            former='none' if self.limit is None else self.limit,
            source=source,
        )
        self.limit = limit
