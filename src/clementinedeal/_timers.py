"""Timer service: parts subscribe, one clock drives them all."""

import heapq
import itertools
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio

MAX_SLEEP_SECONDS = 0.1
MIN_SLEEP_SECONDS = 0.005
MIN_PAUSE_SECONDS = 0.5


class Clock(Protocol):
    """Source of monotonic time in seconds."""

    def now(self) -> float:
        """Return the current monotonic time in seconds."""
        ...


class MonotonicClock:
    """The process's monotonic clock."""

    def now(self) -> float:
        """Return the current monotonic time in seconds."""
        return time.monotonic()


class BootClock:
    """A steady clock that also counts time in which the machine slept."""

    def now(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class VirtualClock:
    """A clock that only moves when told to."""

    def __init__(self, start: float = 0.0) -> None:
        """Start the clock.

        :param start: first reading in seconds.
        """
        self._now = start

    def now(self) -> float:
        """Return the current virtual time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: how far; must not be negative.
        """
        self._now += seconds


@dataclass(order=True, slots=True)
class Subscription:
    """One pending callback; ``cancel`` stops it and its repetitions."""

    due: float
    order: int
    callback: Callable[[float], None] = field(compare=False)
    period: float = field(compare=False, default=0.0)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        """Stop the subscription."""
        self.cancelled = True


class Timers:
    """Calls subscribers when their time has come and notices pauses."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty service.

        :param clock: the clock that decides what is due.
        """
        self.clock = clock
        self._heap: list[Subscription] = []
        self._order = itertools.count()
        self._pause_handlers: list[Callable[[float], None]] = []
        self._last_tick = clock.now()

    def after(
        self,
        delay: float,
        callback: Callable[[float], None],
    ) -> Subscription:
        """Call back once.

        :param delay: seconds from now.
        :param callback: receives the current time in seconds.
        """
        return self._push(self.clock.now() + delay, callback, 0)

    def every(
        self,
        period: float,
        callback: Callable[[float], None],
    ) -> Subscription:
        """Call back at multiples of a period; missed ones are not made up for.

        Common multiples let several subscriptions share one wake-up.

        :param period: seconds between calls, above zero.
        :param callback: receives the current time in seconds.
        """
        due = _next_multiple(period, self.clock.now())
        return self._push(due, callback, period)

    def on_pause(self, handler: Callable[[float], None]) -> None:
        """Register a handler that runs first after the process was paused.

        :param handler: receives the length of the gap in seconds.
        """
        self._pause_handlers.append(handler)

    def tick(self) -> None:
        """Report a pause if there was one, then run what is due."""
        now = self.clock.now()
        gap = now - self._last_tick
        self._last_tick = now
        if gap > MIN_PAUSE_SECONDS:
            for handler in self._pause_handlers:
                handler(gap)
        while self._heap and self._heap[0].due <= now:
            self._run(heapq.heappop(self._heap), now)

    async def start(self, nursery: trio.Nursery) -> None:
        """Tick from now on.

        :param nursery: runs the loop.
        """
        nursery.start_soon(self.run)

    async def run(self) -> None:
        """Tick until cancelled."""
        self._last_tick = self.clock.now()
        while True:
            await trio.sleep(self._seconds_to_next())
            self.tick()

    def _seconds_to_next(self) -> float:
        if not self._heap:
            return MAX_SLEEP_SECONDS
        wait = self._heap[0].due - self.clock.now()
        return max(MIN_SLEEP_SECONDS, min(MAX_SLEEP_SECONDS, wait))

    def _push(
        self,
        due: float,
        callback: Callable[[float], None],
        period: float,
    ) -> Subscription:
        sub = Subscription(due, next(self._order), callback, period)
        heapq.heappush(self._heap, sub)
        return sub

    def _run(self, sub: Subscription, now: float) -> None:
        if sub.cancelled:
            return
        if sub.period:
            sub.due = _next_multiple(sub.period, now)
            heapq.heappush(self._heap, sub)
        sub.callback(now)


def _next_multiple(period: float, now: float) -> float:
    return (math.floor(now / period) + 1) * period
