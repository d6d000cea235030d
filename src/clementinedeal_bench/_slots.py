"""Slots of a stand-in target with a short queue before them."""

import trio


class SlotsFullError(Exception):
    """All slots and queue places are taken."""


class Slots:
    """Counts requests in service and in the queue."""

    def __init__(self, slot_count: int, queue_limit: int) -> None:
        """Create free slots.

        :param slots: requests served at once.
        :param queue_limit: requests that may wait.
        """
        self._free_slots = trio.Semaphore(slot_count)
        self._slot_count = slot_count
        self._queue_limit = queue_limit
        self.queued = 0

    @property
    def in_use(self) -> int:
        """Return the number of requests in service."""
        return self._slot_count - self._free_slots.value

    async def acquire(self) -> None:
        """Wait for a slot.

        :raises SlotsFullError: the queue is full.
        """
        if self._free_slots.value:
            self._free_slots.acquire_nowait()
            return
        if self.queued >= self._queue_limit:
            raise SlotsFullError
        self.queued += 1
        try:
            await self._free_slots.acquire()
        finally:
            self.queued -= 1

    def release(self) -> None:
        """Give a slot back."""
        self._free_slots.release()
