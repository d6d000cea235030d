"""What an entry works with."""

from dataclasses import dataclass
from typing import Protocol

from clementinedeal._access import Access, Granted
from clementinedeal._cancel_messages import CancelAnswer, CancelExecution
from clementinedeal._events import EventLog
from clementinedeal._exchange import ExchangeResult
from clementinedeal._forwarding import PeerClient
from clementinedeal._incoming_request import IncomingRequest
from clementinedeal._owner import Owner
from clementinedeal._refusals import Refusal
from clementinedeal._replies import TargetAnswer
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict


class EntryKnowledge(Protocol):
    """What an entry knows of the fleet."""

    @property
    def access(self) -> Access | None:
        """Index of the configuration in force, None before the first."""
        ...

    def fresh(self) -> bool:
        """Whether the configuration is known to be recent."""
        ...

    def candidates(self, granted: Granted) -> tuple[str, ...]:
        """Return targets to try, best first."""
        ...

    def incarnation(self, instance: str) -> str:
        """Return the last known incarnation of an instance, or ''."""
        ...

    def learn_incarnation(self, instance: str, incarnation: str) -> None:
        """Note what an instance said of itself."""
        ...


class RemoteCanceller(Protocol):
    """Cancels attempts at other daemons."""

    async def cancel(
        self, owner: str, cancel_request: CancelExecution
    ) -> CancelAnswer:
        """Ask an owner; UNKNOWN when it does not answer in time."""
        ...


class IdempotencyGate(Protocol):
    """Lets each idempotency key run once."""

    async def claim(
        self, incoming: IncomingRequest
    ) -> Refusal | TargetAnswer | None:
        """Claim the request's key; None when it may run now."""
        ...

    def settle(self, incoming: IncomingRequest, result: ExchangeResult) -> None:
        """Store what the request came to."""
        ...


class RequestRecorder(Protocol):
    """Counts finished requests."""

    def record(
        self,
        incoming: IncomingRequest,
        verdict: Verdict,
        outcome: str,
        answer: TargetAnswer | None,
    ) -> None:
        """Note one request, its verdict, its end and its answer."""
        ...

    def record_early_refusal(self, reason: Reason) -> None:
        """Note one request that route or key did not let in."""
        ...


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Collaborators of an entry; ``me`` is this instance's name."""

    me: str
    clock: Clock
    events: EventLog
    view: EntryKnowledge
    owner: Owner
    peers: PeerClient
    canceller: RemoteCanceller
    idempotency: IdempotencyGate
    recorder: RequestRecorder
    max_body_bytes: int
