"""Keeps the owned target within the requests that it takes."""

import math

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._contracts import TargetStatement
from clementinedeal.mesh._types import Target
from clementinedeal.mesh._warmup import Warmup

# Requests may be up to this many seconds of the limit ahead of it.
BURST_SECONDS = 1.0
# The same for the rate that a cold target bears.
WARMUP_BURST_SECONDS = 0.25
# A target that takes fewer requests than this, in requests per second, still
# gets so many: only an answer can tell that its limit has ended.
MIN_TRIAL_RATE = 0.2
# At such a target, requests that must not run twice wait for so many trials.
TRIALS_BEFORE_UNSAFE = 3
# Absorbs the rounding of sums of fractions of tokens.
_TOKEN_TOLERANCE = 1e-6


class TargetLimit:
    """The requests that the owned target takes, and whether it leaves.

    A token bucket; every request to the target takes a token. It is filled at
    the limit that the target names or, if lower, at the rate that it bears
    during its ``warmup``. ``limit`` is in requests per second, None while the
    target names none, or ``has_answered`` is False: then it has said nothing
    yet. The bucket begins with no token, for requests that were sent before
    count too.
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
        self._is_filling = False
        self.warmup = Warmup(clock, events)
        self.limit: float | None = None
        self.is_leaving = False

    @property
    def leaving_ms(self) -> int | None:
        """Start of the process, Unix milliseconds, None unless it leaves."""
        return self._process[1] if self.is_leaving else None

    def gauge(self) -> float:
        """Return the limit in requests per second, infinite without one."""
        return math.inf if self.limit is None else self.limit

    @property
    def rate(self) -> float | None:
        """Requests per second that the target takes now, None for no limit."""
        rates = (self.limit, self.warmup.rate())
        return min((one for one in rates if one is not None), default=None)

    def set_target(self, target: Target) -> bool:
        """Forget what was said by any process but this one.

        :param target: the listed target.
        :return: whether it is another process than before.
        """
        self.warmup.set_target(target)
        self._fill()
        process = (target.name, target.started_ms)
        if self._process == process:
            return False
        self._process = process
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
        if statement.warmup_seconds is not None:
            self.warmup.on_told(statement.warmup_seconds, 'answer')
            self._fill()
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
        rate = self._fill()
        if rate is None:
            return 0
        missing = ahead + 1 - self._tokens
        return 0 if missing <= _TOKEN_TOLERANCE else missing / rate

    def take(self) -> None:
        """Take the token of a request that is about to be sent."""
        self._fill()
        self._tokens -= 1
        self._taken_at = self._clock.now()

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        self._tokens += 1

    def _fill(self) -> float | None:
        """Add the tokens due since the last call; return the rate in force."""
        now = self._clock.now()
        elapsed = now - self._filled_at
        self._filled_at = now
        rate = self.rate
        if rate is None or not self._is_filling:
            self._is_filling = rate is not None
            self._tokens = 0
            elapsed = 0
        if rate is None:
            return None
        is_warming = self.warmup.rate() is not None
        burst_seconds = WARMUP_BURST_SECONDS if is_warming else BURST_SECONDS
        rate = max(rate, MIN_TRIAL_RATE)
        most = max(1, rate * burst_seconds)
        self._tokens = min(most, self._tokens + elapsed * rate)
        return rate

    def _set_limit(self, limit: float | None, source: str) -> None:
        if limit == self.limit:
            return
        self._fill()
        if self.limit is None:
            self._tokens = 0
        self._events.emit(
            'target-limit',
            target=self._process[0],
            limit='none' if limit is None else limit,
            former='none' if self.limit is None else self.limit,
            source=source,
        )
        self.limit = limit
        self._fill()
