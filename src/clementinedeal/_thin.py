"""Gates without decisions, until the offices take their places."""

from collections.abc import Callable

import trio

from clementinedeal._replies import Refused
from clementinedeal._verdict import Reason, Verdict


class SemaphoreSlots:
    """First come, first served."""

    def __init__(self, slots: Callable[[str], int]) -> None:
        """Create.

        :param slots: number of slots of a target.
        """
        self._slots = slots
        self._limits: dict[str, trio.CapacityLimiter] = {}
        self._held: set[str] = set()

    async def acquire(
        self,
        req_id: str,
        target: str,
        account: str,
        seconds_left: float,
    ) -> Refused | None:
        """Wait for a slot."""
        limit = self._limits.setdefault(
            target,
            trio.CapacityLimiter(self._slots(target)),
        )
        await limit.acquire_on_behalf_of(req_id)
        late = seconds_left <= 0
        self._held.add(req_id)
        return Refused(Verdict.NOT_RUN, Reason.CANCELLED) if late else None

    def release(self, req_id: str, target: str) -> None:
        """Give the slot back."""
        if req_id in self._held:
            self._held.discard(req_id)
            self._limits[target].release_on_behalf_of(req_id)

    def load(self, target: str) -> float:
        """Return slots in use per slot."""
        limit = self._limits.get(target)
        return limit.borrowed_tokens / limit.total_tokens if limit else 0
