"""Messages by which an entry cancels an attempt at its owner."""

import enum
from dataclasses import dataclass

from clementinedeal._messages import message


class CancelAnswer(enum.Enum):
    """What an owner can say truthfully about a cancelled forward.

    ``NEVER_STARTED`` also promises that the forward never will start.
    """

    NEVER_STARTED = 'never-started'
    STARTED = 'started'
    FINISHED = 'finished'
    UNKNOWN = 'unknown'


@message
@dataclass(frozen=True, slots=True)
class CancelExecution:
    """Entry to owner: cancel a forward and say whether it started.

    ``incarnation`` is the owner incarnation that the forward named.
    """

    req_id: str
    incarnation: str


@message
@dataclass(frozen=True, slots=True)
class ExecutionCancelled:
    """Owner to entry: answer to ``CancelExecution``."""

    req_id: str
    answer: CancelAnswer
