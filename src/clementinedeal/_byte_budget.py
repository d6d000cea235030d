"""One budget for the bytes that a process holds for its clients.

It answers many large bodies at once: their sum would go over the memory of
the machine.
"""

import contextlib
import itertools
import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from clementinedeal._http import HttpError
from clementinedeal._timers import Clock

# Part of the budget that only bodies up to SMALL_BODY_BYTES may use, so that
# ordinary requests are served while large ones stall.
SMALL_RESERVE = 0.125
SMALL_BODY_BYTES = 65536
# A body makes progress with each MIN_PROGRESS_BYTES. Without any for
# STALL_SECONDS it may be cut for another one.
MIN_PROGRESS_BYTES = 65536
STALL_SECONDS = 1.0
# Part of the budget that is freed beyond what is needed, so that stalled
# bodies are not sorted for each byte.
FREED_SHARE = 0.0625
RETRY_AFTER_SECONDS = 1.0
_UNAVAILABLE_STATUS = 503


class BudgetSpentError(HttpError):
    """There is no memory for a body that is not sent anywhere yet."""

    def __init__(self) -> None:
        """Create the error of a request that may be sent again."""
        super().__init__('no memory left', status=_UNAVAILABLE_STATUS)


@dataclass(slots=True)
class BudgetCounts:
    """Bodies that were ``refused`` or ``cut`` since the start."""

    refused: int = 0
    cut: int = 0


class ByteBudget:
    """Decides which bodies a process holds.

    ``held_bytes`` is the sum of all bodies. Only a body that still arrives is
    cut, or an answer that is not read or only kept to be asked for again:
    neither can make a request run twice. ``on_cut`` is called with the bytes
    and the seconds without progress of a body that is cut.
    """

    def __init__(self, clock: Clock, max_bytes: float = math.inf) -> None:
        """Create a budget that is not used yet.

        :param clock: monotonic time.
        :param max_bytes: the largest sum of all bodies.
        """
        self.clock = clock
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.counts = BudgetCounts()
        self.on_cut: Callable[[int, float], None] | None = None
        self._max_large_bytes = max_bytes * (1 - SMALL_RESERVE)
        self._cuttable: dict[int, tuple[HeldBytes, Callable[[], None]]] = {}
        self._keys = itertools.count()

    def take(self, body: 'HeldBytes', size: int) -> None:
        """Count more bytes of a body.

        :param body: the body.
        :param size: number of bytes.
        :raises BudgetSpentError: there is no room; nothing is counted.
        """
        limit = self._max_large_bytes
        if body.is_answer or body.counted_bytes + size <= SMALL_BODY_BYTES:
            limit = self.max_bytes
        if self.held_bytes + size > limit:
            self._make_room(body, limit - size)
        self.held_bytes += size
        body.counted_bytes += size

    def check_announced(self, size: int) -> None:
        """Make room for a body that is about to arrive.

        :param size: its number of bytes.
        :raises BudgetSpentError: there is no room for it.
        """
        limit = self._max_large_bytes - size
        if size > SMALL_BODY_BYTES and self.held_bytes > limit:
            self._make_room(None, limit)

    @contextlib.contextmanager
    def cuttable(
        self, body: 'HeldBytes', cut: Callable[[], None]
    ) -> Iterator[None]:
        """Allow a body to be cut within the context.

        :param body: the body.
        :param cut: releases the body and ends the task that uses it.
        """
        key = self.allow_cut(body, cut)
        try:
            yield
        finally:
            self.forbid_cut(key)

    def allow_cut(self, body: 'HeldBytes', cut: Callable[[], None]) -> int:
        """Allow a body to be cut; return the key for ``forbid_cut``.

        :param body: the body.
        :param cut: releases the body.
        """
        key = next(self._keys)
        self._cuttable[key] = body, cut
        return key

    def forbid_cut(self, key: int) -> None:
        """Forbid again what ``allow_cut`` has allowed.

        :param key: what it has returned.
        """
        self._cuttable.pop(key, None)

    def _make_room(self, wanted: 'HeldBytes | None', limit: float) -> None:
        """Cut bodies until at most ``limit`` bytes are held.

        Those go first that take the most bytes for the longest time without
        progress. For an answer, whose request has run, any other goes.
        """
        now = self.clock.now()
        is_answer = wanted is not None and wanted.is_answer
        min_seconds = 0.0 if is_answer else STALL_SECONDS
        stalled = [
            (body.counted_bytes * body.idle_seconds(now), key)
            for key, (body, _) in self._cuttable.items()
            if body is not wanted and body.idle_seconds(now) >= min_seconds
        ]
        stalled.sort()
        wanted_limit = limit - self.max_bytes * FREED_SHARE
        while stalled and self.held_bytes > wanted_limit:
            self._cut(stalled.pop()[1], now)
        if self.held_bytes > limit:
            self.counts.refused += 1
            raise BudgetSpentError

    def _cut(self, key: int, now: float) -> None:
        body, cut = self._cuttable.pop(key)
        self.counts.cut += 1
        if self.on_cut is not None:
            self.on_cut(body.counted_bytes, body.idle_seconds(now))
        cut()


class HeldBytes(bytearray):  # noqa: WPS600 - is sent and compared as bytes
    """A body that counts toward a budget for as long as it is referenced.

    The bytes are released with the object, so that no path through the code
    can leave a count behind. ``is_answer``: its request has run. Progress is
    measured from ``progress_at``, in monotonic seconds.
    """

    __slots__ = (
        '_budget',
        '_progress_bytes',
        'counted_bytes',
        'is_answer',
        'progress_at',
    )

    def __init__(self, budget: ByteBudget, *, is_answer: bool = False) -> None:
        """Create an empty body.

        :param budget: what it counts toward.
        :param is_answer: whether it answers a request that has run.
        """
        super().__init__()
        self._budget = budget
        self._progress_bytes = MIN_PROGRESS_BYTES
        self.counted_bytes = 0
        self.is_answer = is_answer
        self.progress_at = budget.clock.now()

    def __del__(self) -> None:  # noqa: WPS603 - releases with the object
        """Release the bytes."""
        self.uncount()

    def add(self, piece: bytes | bytearray) -> None:
        """Append a piece.

        :param piece: the bytes.
        :raises BudgetSpentError: there is no room for them.
        """
        self._budget.take(self, len(piece))
        self.extend(piece)
        if self.counted_bytes >= self._progress_bytes:
            self._progress_bytes = self.counted_bytes + MIN_PROGRESS_BYTES
            self.progress_at = self._budget.clock.now()

    def idle_seconds(self, now: float) -> float:
        """Return the time without progress.

        :param now: monotonic seconds.
        """
        return now - self.progress_at

    def discard(self) -> None:
        """Drop the bytes now; nobody else may use them."""
        self.clear()
        self.uncount()

    def uncount(self) -> None:
        """Count the bytes no more: they are about to be dropped."""
        self._budget.held_bytes -= self.counted_bytes
        self.counted_bytes = 0
