"""Keeps the owned target within the request limit that it names."""

import math

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._contracts import TargetStatement

# Requests may be up to this many seconds of the limit ahead of it.
BURST_SECONDS = 1.0
# A target that takes fewer requests than this, in requests per second, still
# gets so many: only an answer can tell that its limit has ended.
MIN_TRIAL_RATE = 0.2
# At such a target, requests that must not run twice wait for so many trials.
TRIALS_BEFORE_UNSAFE = 3
# Absorbs the rounding of sums of fractions of tokens.
_TOKEN_TOLERANCE = 1e-6


class TargetLimit:
    """The request limit that the owned target names, and whether it leaves.

    A token bucket, filled at the limit; every request to the target takes a
    token. ``limit`` is in requests per second, None while the target names
    none, or ``has_answered`` is False: then it has said nothing yet. A limit
    begins with no token, for requests that were sent before count too.
    """

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Start without a limit.

        :param clock: monotonic time.
        :param events: log of changes.
        """
        self._clock = clock
        self._events = events
        self._process = ('', 0)
        self._named_at = float('-inf')
        self.has_answered = False
        self._tokens = 0.0
        self._filled_at = clock.now()
        self._taken_at = float('-inf')
        self.limit: float | None = None
        self.is_leaving = False

    @property
    def leaving_ms(self) -> int | None:
        """Start of the process, Unix milliseconds, None unless it leaves."""
        return self._process[1] if self.is_leaving else None

    def gauge(self) -> float:
        """Return the limit in requests per second, infinite without one."""
        return math.inf if self.limit is None else self.limit

    def set_process(self, target: str, started_ms: int) -> bool:
        """Forget what was said by any process but this one.

        :param target: name of the target.
        :param started_ms: its start in Unix milliseconds.
        :return: whether it is another process than before.
        """
        if self._process == (target, started_ms):
            return False
        self._process = (target, started_ms)
        self._named_at = float('-inf')
        self.has_answered = False
        self.limit = None
        self.is_leaving = False
        return True

    def on_statement(
        self, statement: TargetStatement, sent_at: float | None
    ) -> None:
        """Record what an answer says.

        An answer without a limit ends the limit only if the target ran its
        request, and it was sent after the limit was named: the answer may have
        been written before.

        :param statement: what the answer says.
        :param sent_at: when its request was sent, monotonic seconds; None if
            the target refused it.
        """
        if statement.leaving and not self.is_leaving:
            self.is_leaving = True
            self._events.emit('target-leaving', target=self._process[0])
        if statement.limit_unreadable:
            self._events.emit(
                'target-limit-unreadable', target=self._process[0]
            )
            return
        limit = statement.request_limit
        if limit is not None:
            self._named_at = self._clock.now()
        elif sent_at is None or sent_at < self._named_at:
            return
        self.has_answered = True
        self._set_limit(limit, 'answer')

    def on_reported(self, limit: float) -> None:
        """Adopt a limit that an entry knows, until the target answers.

        A daemon that has just started knows nothing of its target.

        :param limit: the limit in requests per second.
        """
        if not self.has_answered and limit < self.gauge():
            self._named_at = self._clock.now()
            self._set_limit(limit, 'entry')

    def accepts(self, *, idempotent: bool) -> bool:
        """Whether a request may wait for a token.

        :param idempotent: whether it may run more than once.
        """
        if idempotent or self.gauge() >= MIN_TRIAL_RATE:
            return True
        idle_seconds = self._clock.now() - self._taken_at
        return idle_seconds > TRIALS_BEFORE_UNSAFE / MIN_TRIAL_RATE

    def seconds_until_open(self, ahead: int = 0) -> float:
        """Return how long a request waits for a token, 0 if there is one.

        :param ahead: requests that take a token before it.
        """
        if self.limit is None:
            return 0
        self._fill()
        missing = ahead + 1 - self._tokens
        if missing <= _TOKEN_TOLERANCE:
            return 0
        return missing / max(self.limit, MIN_TRIAL_RATE)

    def take(self) -> None:
        """Take the token of a request that is about to be sent."""
        self._fill()
        self._tokens -= 1
        self._taken_at = self._clock.now()

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        self._tokens += 1

    def _fill(self) -> None:
        """Add the tokens due since the last call."""
        now = self._clock.now()
        elapsed = now - self._filled_at
        self._filled_at = now
        rate = max(self.limit or 0, MIN_TRIAL_RATE)
        most = max(1, rate * BURST_SECONDS)
        self._tokens = min(most, self._tokens + elapsed * rate)

    def _set_limit(self, limit: float | None, source: str) -> None:
        if limit == self.limit:
            return
        if self.limit is None:
            self._tokens = 0
            self._filled_at = self._clock.now()
        self._events.emit(
            'target-limit',
            target=self._process[0],
            limit='none' if limit is None else limit,
            former='none' if self.limit is None else self.limit,
            source=source,
        )
        self.limit = limit
