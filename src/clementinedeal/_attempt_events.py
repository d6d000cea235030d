"""Events that an ``AttemptPlan`` takes in and actions that it returns.

An attempt is one forward of a request to the owner of a target, the daemon
that runs beside the target. Its id has the form ``request id/number`` and is
unique; a request that is retried or hedged has several attempts.
"""

from dataclasses import dataclass

from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._verdict import Reason, Verdict


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """Event: the attempt ended without an answer from the target.

    The owner refused it, the call to the target failed, or the entry sent
    no byte of it.

    :param attempt_id: id of the attempt.
    :param verdict: whether the attempt may have run at the target.
    :param reason: why it failed.
    :param retry_after: seconds after which a retry makes sense, 0 if unknown.
    """

    attempt_id: str
    verdict: Verdict
    reason: Reason
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """Event: the connection to the owner broke after the first byte was sent.

    The attempt may have run.
    """

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Event: the status line and headers of an answer have been read.

    Nothing has been sent to the caller yet.

    :param attempt_id: id of the attempt.
    :param status: HTTP status of the answer.
    """

    attempt_id: str
    status: int


@dataclass(frozen=True, slots=True)
class AnswerIncomplete:
    """Event: an answer ended early, or failed its digest or request id check.

    :param attempt_id: id of the attempt.
    :param is_partly_sent: whether the caller may have got a part of it.
    :param reason: ``ANSWER_INCOMPLETE`` or ``ANSWER_WRONG``.
    """

    attempt_id: str
    is_partly_sent: bool
    reason: Reason = Reason.ANSWER_INCOMPLETE


@dataclass(frozen=True, slots=True)
class AnswerComplete:
    """Event: the whole answer was sent to the caller."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class CancelAnswered:
    """Event: a cancel was answered, or its wait for an answer timed out."""

    attempt_id: str
    answer: CancelAnswer


@dataclass(frozen=True, slots=True)
class BodyNotReplayable:
    """Event: the request body exceeds the buffer and can't be sent again."""


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Event: the caller closed its connection."""


@dataclass(frozen=True, slots=True)
class Timeout:
    """Event: the time returned by ``AttemptPlan.next_timeout`` is reached."""


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
    """Action: send the request to the owner of a target.

    :param attempt_id: id of the new attempt.
    :param target: name of the target.
    """

    attempt_id: str
    target: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Action: abort the attempt's connection, then cancel it at its owner.

    The connection is aborted first, so that no part of the request is sent
    after the owner has answered the cancel.
    """

    attempt_id: str
    target: str


@dataclass(frozen=True, slots=True)
class RelayAnswer:
    """Action: send the answer of this attempt to the caller."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Action: refuse the request.

    Inside a plan it also holds the verdict and reason of a failed attempt.

    :param verdict: whether the request may have run at a target.
    :param reason: why it is refused.
    :param retry_after: seconds after which a retry makes sense, 0 if unknown.
    """

    verdict: Verdict
    reason: Reason
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class AbortStream:
    """Action: break the caller's connection in the middle of the answer.

    A part of the answer was sent, so no status can report the failure.
    Without a regular end the caller can detect that the answer is incomplete.

    :param verdict: whether the request may have run at a target.
    :param reason: why the answer could not be completed.
    """

    verdict: Verdict
    reason: Reason


AttemptAction = (
    SendAttempt | CancelAttempt | RelayAnswer | RefuseRequest | AbortStream
)
