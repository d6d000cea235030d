"""Interfaces of the checks and reports around an owner's target calls."""

from typing import Protocol

from clementinedeal._replies import AttemptRefusal, AttemptReply


class TokenGate(Protocol):
    """Limits requests to the rate and burst of their client accounts."""

    async def take(
        self, attempt_id: str, account: str
    ) -> AttemptRefusal | None:
        """Wait for a token of an account.

        :param attempt_id: unique id of the attempt.
        :param account: name of the client account.
        :returns: None if a token was taken, else why not.
        """
        ...


class SlotGate(Protocol):
    """Grants the slots of the owned targets.

    A slot allows one request to run at its target.
    """

    async def acquire(
        self,
        attempt_id: str,
        target: str,
        account: str,
        seconds_left: float,
    ) -> AttemptRefusal | None:
        """Wait for a slot of a target.

        :param attempt_id: unique id of the attempt.
        :param target: name of an owned target.
        :param account: client account; accounts are served round-robin.
        :param seconds_left: time within which the request must start.
        :returns: None if a slot was acquired, else why not.
        """
        ...

    def release(self, attempt_id: str, target: str) -> None:
        """Release a slot, or leave the queue.

        :param attempt_id: unique id of the attempt.
        :param target: name of an owned target.
        """
        ...

    def load(self, target: str) -> float:
        """Return the running and waiting requests per slot.

        :param target: name of a target.
        """
        ...


class OutcomeWatcher(Protocol):
    """Judges the owned targets by the replies of the owner's own calls."""

    def refusal(
        self, target: str, *, idempotent: bool
    ) -> AttemptRefusal | None:
        """Return why a target takes no such request now; None if it does.

        :param target: name of an owned target.
        :param idempotent: whether the request may run more than once.
        """
        ...

    def started(
        self, attempt_id: str, target: str, *, idempotent: bool
    ) -> None:
        """Record that an attempt is about to be sent to its target.

        :param attempt_id: unique id of the attempt.
        :param target: name of the target.
        :param idempotent: whether the request may run more than once.
        """
        ...

    def ended(self, attempt_id: str, target: str, reply: AttemptReply) -> None:
        """Record how an attempt ended.

        :param attempt_id: unique id of the attempt.
        :param target: name of the target.
        :param reply: the target's answer, or the refusal with its reason.
        """
        ...

    def state(self, target: str) -> str:
        """Return the state of a target: in-use, ejected, leaving or trial.

        :param target: name of an owned target.
        """
        ...
