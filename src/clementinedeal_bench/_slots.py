"""Slots of a stand-in target, with a bounded queue for them."""

import trio


class SlotsFullError(Exception):
    """All slots are in use and the queue is full."""


class Slots:
    """Limits the requests that are served and those that wait.

    ``queued`` is the number of requests that wait for a slot.
    """

    def __init__(self, slot_count: int, queue_limit: int) -> None:
        """Create free slots.

        :param slot_count: requests served at once.
        :param queue_limit: requests that may wait.
        """
        self._free_slots = trio.Semaphore(slot_count)
        self._slot_count = slot_count
        self._queue_limit = queue_limit
        self.queued = 0

    @property
    def in_use(self) -> int:
        """Return the number of requests that are being served."""
        return self._slot_count - self._free_slots.value

    async def acquire(self) -> None:
        """Take a slot, waiting for one if needed.

        :raises SlotsFullError: all slots are in use and the queue is full.
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
        """Release a slot."""
        self._free_slots.release()
