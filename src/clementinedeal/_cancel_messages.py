"""Messages with which an entry cancels an attempt at its owner."""

import enum
from dataclasses import dataclass

from clementinedeal._messages import message


class CancelAnswer(enum.Enum):
    """How far a cancelled attempt came at its owner.

    ``NEVER_STARTED``: no byte was sent to the target, and none will be.
    ``STARTED``: the request was sent to the target and not answered in full.
    ``FINISHED``: the target answered. ``UNKNOWN``: the owner has no record of
    the attempt that proves any of these.
    """

    NEVER_STARTED = 'never-started'
    STARTED = 'started'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


@message
@dataclass(frozen=True, slots=True)
class CancelExecution:
    """Entry to owner: cancel an attempt and answer whether it started.

    :param req_id: id of the attempt.
    :param incarnation: owner incarnation that the attempt was sent to.
    """

    req_id: str
    incarnation: str


@message
@dataclass(frozen=True, slots=True)
class ExecutionCancelled:
    """Owner to entry: answer to ``CancelExecution``.

    :param req_id: id of the attempt.
    :param answer: how far it came.
    """

    req_id: str
    answer: CancelAnswer
