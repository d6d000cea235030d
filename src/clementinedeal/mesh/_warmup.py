"""How many requests the owned target bears while it is cold."""

import math
from collections.abc import Iterable

from clementinedeal._events import EventLog
from clementinedeal._timers import Clock
from clementinedeal.mesh._types import ServiceRule, Target

# After the warmup the rate doubles in this time, for RAMP_SECONDS; then it is
# not limited any more.
DOUBLING_SECONDS = 1.0
RAMP_SECONDS = 3.0
# For a cold target before this daemon has a declaration, requests per second.
UNDECLARED_RATE = 1.0


class Warmup:
    """The warmup of the owned target's process.

    What was told of its end is never shortened: a later word of less may have
    been written before.
    """

    def __init__(self, clock: Clock, events: EventLog) -> None:
        """Start with a target that is not cold, and without a declaration.

        :param clock: monotonic time.
        :param events: log of the beginning and the end.
        """
        self._clock = clock
        self._events = events
        self._services: dict[str, ServiceRule] | None = None
        self._target: Target | None = None
        self._seen_at = clock.now()
        self._told_until = float('-inf')
        self._was_cold = False

    @property
    def is_cold(self) -> bool:
        """Whether the target is cold now, as far as is known."""
        return self._clock.now() < self._until()

    def set_services(self, services: Iterable[ServiceRule]) -> None:
        """Replace what is declared of the services.

        :param services: all declared services.
        """
        self._services = {one.name: one for one in services}
        self._report('declaration')

    def set_target(self, target: Target) -> None:
        """Replace the process, or what its entry tells.

        :param target: the listed target.
        """
        former = self._target
        self._target = target
        is_same = former is not None and (
            (former.name, former.started_ms) == (target.name, target.started_ms)
        )
        if not is_same:
            self._seen_at = self._clock.now()
            self._told_until = float('-inf')
            self._was_cold = False
        is_told = former is None or (
            former.warmup_seconds != target.warmup_seconds
        )
        if target.warmup_seconds and (is_told or not is_same):
            self.on_told(target.warmup_seconds, 'registry')
        self._report('registry')

    def on_told(self, seconds: float, source: str) -> None:
        """Record how long the target stays cold.

        :param seconds: from now on.
        :param source: who told it, for the log.
        """
        if seconds > 0:
            until = self._clock.now() + seconds
            self._told_until = max(self._told_until, until)
        self._report(source)

    def on_down(self) -> None:
        """Expect a process that has just started: this one has ended."""
        rule = self._find_rule()
        if rule is not None:
            self.on_told(rule.warmup_seconds, 'refused-connection')

    def rate(self) -> float | None:
        """Return the rate that the target bears now, in requests per second.

        :return: None if it is not limited by a warmup.
        """
        self._report('time')
        seconds_warm = self._clock.now() - self._until()
        if self._services is None:
            return UNDECLARED_RATE if seconds_warm < 0 else None
        rule = self._find_rule()
        if rule is None or not rule.warmup_rate:
            return None
        if seconds_warm >= RAMP_SECONDS:
            return None
        growth: float = 2 ** (max(0, seconds_warm) / DOUBLING_SECONDS)
        return rule.warmup_rate * growth

    def gauge(self) -> float:
        """Return the rate in requests per second, infinite if not limited."""
        rate = self.rate()
        return math.inf if rate is None else rate

    def _until(self) -> float:
        """Return when the warmup ends, monotonic seconds."""
        target, rule = self._target, self._find_rule()
        if target is None or rule is None or target.warmup_seconds is not None:
            return self._told_until
        return max(self._told_until, self._seen_at + rule.warmup_seconds)

    def _find_rule(self) -> ServiceRule | None:
        if self._target is None or self._services is None:
            return None
        return self._services.get(self._target.service)

    def _report(self, source: str) -> None:
        """Log that the target has become cold or warm."""
        if self.is_cold == self._was_cold:
            return
        self._was_cold = self.is_cold
        name = self._target.name if self._target else ''
        if not self._was_cold:
            self._events.emit('target-warm', target=name)
            return
        seconds = self._until() - self._clock.now()
        self._events.emit(
            'target-cold',
            target=name,
            seconds=f'{seconds:.2f}',
            rate=f'{self.gauge():.1f}',
            source=source,
        )
