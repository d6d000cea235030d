"""The slots of one target and the queue for them."""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import TypeAlias

import trio

# Priorities of the account and of the route; the lowest rank goes first.
Rank: TypeAlias = tuple[int, int]

# Weight of the newest service time in the exponential moving average.
NEWEST_WEIGHT = 0.1
INITIAL_SERVICE_SECONDS = 0.5


@dataclass(order=True, slots=True)
class Waiter:
    """One request in the queue, ordered by rank, then by arrival."""

    rank: Rank
    sequence: int
    granted: trio.Event = field(compare=False, default_factory=trio.Event)
    cancelled: bool = field(compare=False, default=False)


class SlotQueue:
    """Lets as many requests run at once as the target has slots.

    ``running`` may exceed ``slots`` after the number of slots has decreased.
    """

    def __init__(self, slots: int) -> None:
        """Create a queue with all slots free.

        :param slots: requests that the target runs at once.
        """
        self.slots = slots
        self.running = 0
        self.mean_service_seconds = INITIAL_SERVICE_SECONDS
        self._waiting: list[Waiter] = []
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return sum(not waiter.cancelled for waiter in self._waiting)

    def has_free_slot(self) -> bool:
        """Whether a new request would start at once."""
        return self.running < self.slots and not self.waiting

    def expected_wait(self, rank: Rank) -> float:
        """Estimate how long a new request would wait, in seconds.

        :param rank: its rank; queued requests of a lower or equal rank go
            before it.
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
        """Wait for a slot and take it.

        :param rank: rank of the request.
        :raises trio.Cancelled: no slot is held then.
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

        :param seconds: the target's service time, None if it was not called.
        """
        if seconds is not None:
            change = seconds - self.mean_service_seconds
            self.mean_service_seconds += NEWEST_WEIGHT * change
        self.running -= 1
        self.fill_free_slots()

    def fill_free_slots(self) -> None:
        """Give free slots to waiting requests."""
        while self._waiting and self.running < self.slots:
            waiter = heapq.heappop(self._waiting)
            if not waiter.cancelled:
                self.running += 1
                waiter.granted.set()
