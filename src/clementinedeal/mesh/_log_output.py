"""Log output that never blocks the event loop."""

import collections
import logging
import os

import trio

# Lines queued while nothing reads standard output; further ones are dropped.
MAX_QUEUED_LINES = 5000
# Beyond this many lines in a second, routine lines are dropped and counted.
MAX_ROUTINE_LINES_PER_SECOND = 200
# Lines are written in blocks of about this size.
_BLOCK_BYTES = 32_768
# Marks of routine lines: they report success and are dropped first under load.
ROUTINE_MARKERS = ('reason=answered', 'outcome=answered')


class OutputQueue(logging.Handler):
    """Queues formatted lines for a task that writes them.

    ``dropped_lines`` counts lines dropped since the start,
    ``unreported_drops`` those that no line has reported yet.
    """

    def __init__(self, descriptor: int) -> None:
        """Start with an empty queue.

        :param descriptor: file descriptor of standard output.
        """
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[str] = collections.deque()
        self._has_lines = trio.Event()
        self._second = 0
        self._lines_in_second = 0
        self.unreported_drops = 0
        self.dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or drop and count it.

        :param record: the record to format as a line.
        """
        line = self.format(record)
        second = int(record.created)
        if second != self._second:
            self._begin_second(second)
        self._lines_in_second += 1
        is_routine = any(mark in line for mark in ROUTINE_MARKERS)
        is_busy = self._lines_in_second > MAX_ROUTINE_LINES_PER_SECOND
        if (is_routine and is_busy) or len(self._lines) >= MAX_QUEUED_LINES:
            self.unreported_drops += 1
            self.dropped_lines += 1
            return
        self._lines.append(line)
        self._has_lines.set()

    async def run(self) -> None:
        """Write lines until cancelled."""
        os.set_blocking(self._descriptor, False)
        while True:
            await self._has_lines.wait()
            self._has_lines = trio.Event()
            while self._lines:
                await _write(self._descriptor, self._take_block())

    def flush_remaining(self) -> None:
        """Write the queued lines as far as possible without blocking."""
        while self._lines:
            try:
                os.write(self._descriptor, self._take_block())
            except BlockingIOError:
                return

    def _begin_second(self, second: int) -> None:
        if self.unreported_drops:
            self._lines.append(
                f'event=lines-left-out count={self.unreported_drops}'
            )
            self.unreported_drops = 0
        self._second = second
        self._lines_in_second = 0

    def _take_block(self) -> bytes:
        block = bytearray()
        while self._lines and len(block) < _BLOCK_BYTES:
            block += f'{self._lines.popleft()}\n'.encode()
        return bytes(block)


async def _write(descriptor: int, block: bytes) -> None:
    """Write a block; wait while the descriptor is not writable."""
    while block:
        try:
            block = block[os.write(descriptor, block) :]
        except BlockingIOError:
            await trio.lowlevel.wait_writable(descriptor)
        else:
            await trio.lowlevel.checkpoint()
