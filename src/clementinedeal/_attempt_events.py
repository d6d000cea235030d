"""Typed events and actions of the entry's plan for one request.

An attempt id names one forward; a request has one for each attempt.
"""

from dataclasses import dataclass

from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._verdict import Reason, Verdict


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The owner refused or failed an attempt, or no byte left this entry.

    ``verdict`` is what the sender of the failure proves. ``retry_after`` is
    in seconds.
    """

    attempt_id: str
    verdict: Verdict
    reason: Reason
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection to the owner ended after the first byte was written."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an answer has come whole; nothing went to the caller."""

    attempt_id: str
    status: int


@dataclass(frozen=True, slots=True)
class AnswerIncomplete:
    """An answer was short or wrong.

    ``sent`` tells whether a byte of it went to the caller.
    """

    attempt_id: str
    is_partly_sent: bool
    reason: Reason = Reason.ANSWER_INCOMPLETE


@dataclass(frozen=True, slots=True)
class AnswerComplete:
    """The chosen answer has ended whole."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class CancelAnswered:
    """The owner answered a cancel."""

    attempt_id: str
    answer: CancelAnswer


@dataclass(frozen=True, slots=True)
class BodyNotReplayable:
    """The request body outgrew the buffer, it can't be sent again."""


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller closed its connection."""


@dataclass(frozen=True, slots=True)
class Timeout:
    """The time that ``AttemptPlan.due`` named has come."""


AttemptEvent = (
    AttemptFailed
    | ConnectionLost
    | AnswerHead
    | AnswerIncomplete
    | AnswerComplete
    | CancelAnswered
    | BodyNotReplayable
    | CallerLeft
    | Timeout
)


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Action: send the request to the owner of a target."""

    attempt_id: str
    target: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: abort the attempt's connection, then send the cancel.

    The connection goes first, so that no part of the forward is sent after
    the owner's answer.
    """

    attempt_id: str
    target: str


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Action: pass this attempt's answer to the caller."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Action: refuse the request; ``retry_after`` is in seconds."""

    verdict: Verdict
    reason: Reason
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class AbortStream:
    """Action: end the caller's stream visibly broken."""

    verdict: Verdict
    reason: Reason


AttemptAction = (
    SendAttempt | CancelAttempt | RelayAnswer | RefuseRequest | AbortStream
)
