"""Collaborators of an entry, most of them as interfaces.

The entry is the daemon that took the caller's request.
"""

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
    """What an entry knows of the configuration and the other daemons."""

    @property
    def access(self) -> Access | None:
        """Routes and accounts in force, None before a configuration is."""
        ...

    def is_fresh(self) -> bool:
        """Return whether the configuration is known to be recent."""
        ...

    def candidates(self, granted: Granted) -> tuple[str, ...]:
        """Return the names of the targets to try, the best first.

        :param granted: route and account of the request.
        """
        ...

    def incarnation(self, instance: str) -> str:
        """Return the last known incarnation of an instance; '' if unknown.

        :param instance: name of the instance.
        """
        ...

    def learn_incarnation(self, instance: str, incarnation: str) -> None:
        """Store the incarnation that an instance reported.

        :param instance: name of the instance.
        :param incarnation: its incarnation as text.
        """
        ...


class RemoteCanceller(Protocol):
    """Cancels attempts at other daemons."""

    async def cancel(
        self, owner: str, cancel_request: CancelExecution
    ) -> CancelAnswer:
        """Cancel an attempt at another daemon and return how far it came.

        :param owner: instance that the attempt was sent to.
        :param cancel_request: names the attempt.
        :returns: the owner's answer, ``UNKNOWN`` if there is none in time.
        """
        ...


class IdempotencyGate(Protocol):
    """Lets at most one request run for each idempotency key."""

    async def claim(
        self, incoming: IncomingRequest
    ) -> Refusal | TargetAnswer | None:
        """Claim the key of a request.

        :param incoming: the request.
        :returns: None if it may run now, else a refusal or the stored answer.
        """
        ...

    def settle(self, incoming: IncomingRequest, result: ExchangeResult) -> None:
        """Store how a request ended.

        :param incoming: a request that was allowed to run.
        :param result: how it ended.
        """
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
        """Count a finished request.

        :param incoming: the request.
        :param verdict: whether it may have run.
        :param outcome: answered, replayed or the reason of a refusal.
        :param answer: the target's answer, None without one.
        """
        ...

    def record_early_refusal(self, reason: Reason) -> None:
        """Count a request that failed the access check.

        :param reason: why it was refused.
        """
        ...


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Collaborators of an entry.

    :param me: name of this instance.
    :param clock: monotonic clock.
    :param events: log of this daemon's events.
    :param view: configuration, candidates and incarnations.
    :param owner: runs attempts at the targets beside this daemon.
    :param peers: forwards attempts to the owners at other daemons.
    :param canceller: cancels attempts at other daemons.
    :param idempotency: checks idempotency keys.
    :param recorder: counts requests.
    :param max_body_bytes: largest request body in bytes.
    """

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
