"""The slots of one target and the queue before them."""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TypeAlias

import trio

Rank: TypeAlias = tuple[int, int]

# Weight of the newest service time in the running mean.
NEWEST_WEIGHT = 0.1
INITIAL_SERVICE_SECONDS = 0.5


@dataclass(order=True, slots=True)
class Waiter:
    """One request in the queue; the lowest rank goes first."""

    rank: Rank
    sequence: int
    granted: trio.Event = field(compare=False, default_factory=trio.Event)
    cancelled: bool = field(compare=False, default=False)


class SlotQueue:
    """Admits as many requests at once as the target has slots."""

    def __init__(self, slots: int) -> None:
        """Start with all slots free.

        :param slots: requests that the target runs at once.
        """
        self.slots = slots
        self.running = 0
        self.mean_service_seconds = INITIAL_SERVICE_SECONDS
        self._waiting: list[Waiter] = []
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return sum(not waiter.cancelled for waiter in self._waiting)

    def has_free_slot(self) -> bool:
        """Whether a request would start at once."""
        return self.running < self.slots and not self.waiting

    def expected_wait(self, rank: Rank) -> float:
        """Estimate the wait of one more request, in seconds.

        :param rank: requests of a lower or equal rank go before it.
        """
        if self.has_free_slot():
            return 0
        ahead = sum(
            not waiter.cancelled and waiter.rank <= rank
            for waiter in self._waiting
        )
        excess = max(0, self.running - self.slots)
        return (
            (ahead + excess + 1)
            * self.mean_service_seconds
            / max(1, self.slots)
        )

    async def acquire(self, rank: Rank) -> None:
        """Wait for a slot.

        :param rank: the lowest goes first.
        """
        if self.has_free_slot():
            self.running += 1
            return
        waiter = Waiter(rank, next(self._sequence))
        heapq.heappush(self._waiting, waiter)
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            waiter.cancelled = True
            if waiter.granted.is_set():
                self.release()
            raise

    def release(self, seconds: float | None = None) -> None:
        """Give a slot back.

        :param seconds: how long the target worked, if it did.
        """
        if seconds is not None:
            change = seconds - self.mean_service_seconds
            self.mean_service_seconds += NEWEST_WEIGHT * change
        self.running -= 1
        self.fill_free_slots()

    def fill_free_slots(self) -> None:
        """Let waiting requests start while there are free slots."""
        while self._waiting and self.running < self.slots:
            waiter = heapq.heappop(self._waiting)
            if not waiter.cancelled:
                self.running += 1
                waiter.granted.set()
