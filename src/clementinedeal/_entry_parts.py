"""What an entry works with."""

from dataclasses import dataclass
from typing import Protocol

from clementinedeal._access import Access, Granted
from clementinedeal._cancel_messages import CancelAnswer, CancelExecution
from clementinedeal._events import EventLog
from clementinedeal._exchange import Finished
from clementinedeal._forwarding import PeerClient
from clementinedeal._incoming import Incoming
from clementinedeal._owner import Owner
from clementinedeal._refusals import Refusal
from clementinedeal._replies import Answered
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


class RemoteCancel(Protocol):
    """Cancels attempts at other daemons."""

    async def cancel(self, owner: str, wish: CancelExecution) -> CancelAnswer:
        """Ask an owner; UNKNOWN when it does not answer in time."""
        ...


class IdempotencyGate(Protocol):
    """Lets each idempotency key run once."""

    async def claim(self, incoming: Incoming) -> Refusal | Answered | None:
        """Claim the request's key; None when it may run now."""
        ...

    def settle(self, incoming: Incoming, finished: Finished) -> None:
        """Store what the request came to."""
        ...


class RequestRecorder(Protocol):
    """Counts finished requests."""

    def record(
        self,
        incoming: Incoming,
        verdict: Verdict,
        outcome: str,
        answer: Answered | None,
    ) -> None:
        """Note one request, its verdict, its end and its answer."""
        ...

    def refused_early(self, reason: Reason) -> None:
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
    remote: RemoteCancel
    idempotency: IdempotencyGate
    recorder: RequestRecorder
    max_body_bytes: int
