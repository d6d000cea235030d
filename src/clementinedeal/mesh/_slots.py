"""The slots of one target and the queue for them."""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

import trio

from clementinedeal._verdict import Reason

# Priorities of the account and of the route; the lowest rank goes first.
Rank: TypeAlias = tuple[int, int]

# Weight of the newest service time in the exponential moving average.
NEWEST_WEIGHT = 0.1
INITIAL_SERVICE_SECONDS = 0.5


class Gate(Protocol):
    """A limit on requests besides the number of slots."""

    def seconds_until_open(self, ahead: int = 0) -> float:
        """Return how long a request is held back, 0 if it is not.

        :param ahead: requests that go before it.
        """
        ...

    def take(self) -> None:
        """Count a request that is about to be sent."""
        ...

    def give_back(self) -> None:
        """Take back the count of a request that was not sent."""
        ...


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
    ``run`` must be running for requests that the gate holds back.
    """

    def __init__(self, slots: int, gate: Gate) -> None:
        """Create a queue with all slots free.

        :param slots: requests that the target runs at once.
        :param gate: limits how often requests start.
        """
        self.slots = slots
        self._gate = gate
        self._gate_closed = trio.Event()
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
        return (
            self.running < self.slots
            and not self.waiting
            and not self._gate.seconds_until_open()
        )

    def full_reason(self) -> Reason:
        """Return why a new request would not start at once."""
        if self.running < self.slots and self._gate.seconds_until_open():
            return Reason.TARGET_LIMITED
        return Reason.QUEUE_FULL

    async def run(self) -> None:
        """Start waiting requests when the gate opens, until cancelled."""
        while True:
            await self._gate_closed.wait()
            self._gate_closed = trio.Event()
            await trio.sleep(self._gate.seconds_until_open())
            self.fill_free_slots()

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
        gate_seconds = self._gate.seconds_until_open(ahead)
        if self.running + ahead < self.slots:
            return gate_seconds
        excess = max(0, self.running - self.slots)
        slot_seconds = (
            (ahead + excess + 1)
            * self.mean_service_seconds
            / max(1, self.slots)
        )
        return max(slot_seconds, gate_seconds)

    async def acquire(self, rank: Rank) -> None:
        """Wait for a slot and take it.

        :param rank: rank of the request.
        :raises trio.Cancelled: no slot is held then.
        """
        if self.has_free_slot():
            self._start_one()
            return
        waiter = Waiter(rank, next(self._sequence))
        heapq.heappush(self._waiting, waiter)
        self.fill_free_slots()
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
        if seconds is None:
            self._gate.give_back()
        else:
            change = seconds - self.mean_service_seconds
            self.mean_service_seconds += NEWEST_WEIGHT * change
        self.running -= 1
        self.fill_free_slots()

    def fill_free_slots(self) -> None:
        """Give free slots to waiting requests, as the gate allows."""
        while self._waiting and self.running < self.slots:
            if self._waiting[0].cancelled:
                heapq.heappop(self._waiting)
                continue
            if self._gate.seconds_until_open():
                self._gate_closed.set()
                return
            waiter = heapq.heappop(self._waiting)
            self._start_one()
            waiter.granted.set()

    def _start_one(self) -> None:
        self.running += 1
        self._gate.take()
