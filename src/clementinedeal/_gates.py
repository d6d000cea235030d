"""What an owner asks before it starts a request, and whom it tells."""

from typing import Protocol

from clementinedeal._replies import AttemptRefusal, AttemptReply


class TokenGate(Protocol):
    """Takes a request from its account's rate and burst."""

    async def take(self, req_id: str, account: str) -> AttemptRefusal | None:
        """Wait for a token; None when it was taken.

        :param req_id: unique id of the attempt.
        :param account: the client account.
        """
        ...


class SlotGate(Protocol):
    """Lends the slots of the owned targets."""

    async def acquire(
        self,
        req_id: str,
        target: str,
        account: str,
        seconds_left: float,
    ) -> AttemptRefusal | None:
        """Wait for a slot; None when it is lent.

        :param req_id: unique id of the attempt.
        :param target: an owned target.
        :param account: shares the queue fairly with other accounts.
        :param seconds_left: time in which the request is of use.
        """
        ...

    def release(self, req_id: str, target: str) -> None:
        """Give a slot back, or leave the queue."""
        ...

    def load(self, target: str) -> float:
        """Return slots in use and waiting requests per slot."""
        ...


class OutcomeWatcher(Protocol):
    """Learns from the owner's own traffic how its targets do."""

    def refusal(
        self, target: str, *, idempotent: bool
    ) -> AttemptRefusal | None:
        """Return why a target takes no such request now, None if it does."""
        ...

    def started(self, req_id: str, target: str, *, idempotent: bool) -> None:
        """Note the first byte to a target."""
        ...

    def ended(self, req_id: str, target: str, reply: AttemptReply) -> None:
        """Note what a started request came to.

        :param reply: answer, or the refusal with its reason.
        """
        ...

    def state(self, target: str) -> str:
        """Return the target's state: in-use, ejected, leaving or trial."""
        ...
