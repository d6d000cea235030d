"""Clocks, and timers that call subscribers at times of one clock."""

import heapq
import itertools
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import trio

# Bounds of the sleep between two ticks.
MAX_SLEEP_SECONDS = 0.1
MIN_SLEEP_SECONDS = 0.005
# A longer gap between two ticks is reported as a pause of the process.
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
    """A monotonic clock that also counts time spent in system suspend."""

    def now(self) -> float:
        """Return the seconds since the system was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class VirtualClock:
    """A clock that moves only when ``advance`` is called."""

    def __init__(self, start: float = 0.0) -> None:
        """Create a clock.

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
    """One pending callback, once or periodic; ``cancel`` stops it.

    ``due`` is the monotonic time of the next call and ``period`` the time
    between calls, both in seconds; a period of 0 means once. ``order`` keeps
    subscriptions with the same due time in order of creation.
    """

    due: float
    order: int
    callback: Callable[[float], None] = field(compare=False)
    period: float = field(compare=False, default=0.0)
    cancelled: bool = field(compare=False, default=False)

    def cancel(self) -> None:
        """Stop the callback and its repetitions."""
        self.cancelled = True


class Timers:
    """Calls subscribers when they are due and detects pauses of the process."""

    def __init__(self, clock: Clock) -> None:
        """Create timers without subscribers.

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
        """Call back at multiples of a period on the clock.

        Subscriptions whose periods have common multiples share a wake-up.
        Missed calls, as after a pause of the process, are not repeated.

        :param period: seconds between calls, above zero.
        :param callback: receives the current time in seconds.
        """
        due = _next_multiple(period, self.clock.now())
        return self._push(due, callback, period)

    def on_pause(self, handler: Callable[[float], None]) -> None:
        """Register a handler for pauses; it runs before any due callback.

        :param handler: receives the length of the pause in seconds.
        """
        self._pause_handlers.append(handler)

    def tick(self) -> None:
        """Report a pause if there was one, then call what is due."""
        now = self.clock.now()
        gap = now - self._last_tick
        self._last_tick = now
        if gap > MIN_PAUSE_SECONDS:
            for handler in self._pause_handlers:
                handler(gap)
        while self._heap and self._heap[0].due <= now:
            self._run(heapq.heappop(self._heap), now)

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the loop that ticks.

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
