"""Gates without decisions, until the offices take their places."""

from collections.abc import Callable

import trio

from clementinedeal._access import Access, Granted
from clementinedeal._exchange import Finished
from clementinedeal._executions import CancelAnswer, CancelExecution
from clementinedeal._incoming import Incoming
from clementinedeal._metrics import Metrics
from clementinedeal._refusals import Refusal
from clementinedeal._replies import Answered, Refused, Reply
from clementinedeal._verdict import Reason, Verdict


class OpenTokenGate:
    """Admits everything."""

    async def take(self, req_id: str, account: str) -> Refused | None:
        """Admit."""


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


class Onlooker:
    """Learns nothing."""

    def started(self, req_id: str, target: str, *, idempotent: bool) -> None:
        """Ignore."""

    def ended(self, req_id: str, target: str, reply: Reply) -> None:
        """Ignore."""

    def state(self, target: str) -> str:
        """Return in-use."""
        return 'in-use'


class ThinView:
    """All targets of the service, in published order."""

    def __init__(self) -> None:
        """Create without a configuration."""
        self.access: Access | None = None
        self._incarnations: dict[str, str] = {}
        self._turn = 0

    def fresh(self) -> bool:
        """Return true."""
        return True

    def candidates(self, granted: Granted) -> tuple[str, ...]:
        """Return the targets in turn."""
        if self.access is None:
            return ()
        names = [
            target.name
            for target in self.access.cfg.targets.values()
            if target.service == granted.route.service
        ]
        self._turn += 1
        cut = self._turn % len(names)
        return tuple(names[cut:] + names[:cut])

    def incarnation(self, instance: str) -> str:
        """Return what was learned."""
        return self._incarnations.get(instance, '')

    def learn_incarnation(self, instance: str, incarnation: str) -> None:
        """Remember."""
        self._incarnations[instance] = incarnation

    def attempt_ended(self, target: str, seconds: float, *, ok: bool) -> None:
        """Ignore."""


class NoCancel:
    """Knows nothing."""

    async def cancel(self, owner: str, wish: CancelExecution) -> CancelAnswer:
        """Return UNKNOWN."""
        return CancelAnswer.UNKNOWN


class NoIdempotency:
    """Lets everything run."""

    async def claim(self, incoming: Incoming) -> Refusal | Answered | None:
        """Let it run."""

    def settle(self, incoming: Incoming, finished: Finished) -> None:
        """Ignore."""


class MetricsRecorder:
    """Counts finished requests."""

    def __init__(self, metrics: Metrics) -> None:
        """Create.

        :param metrics: the counters.
        """
        self._metrics = metrics

    def record(self, incoming: Incoming, outcome: str) -> None:
        """Count one request."""
        self._metrics.requests.labels(
            incoming.service,
            incoming.account,
            outcome,
        ).inc()
