"""Messages with which entries ask owners for the condition of targets."""

import msgspec

from clementinedeal.mesh._outcomes import TargetCondition


class ConditionRequest(
    msgspec.Struct, frozen=True, array_like=True, tag='look'
):
    """Asks an owner for its target's condition.

    ``number`` identifies the request, for the reply to it.
    """

    number: int


class ConditionReply(msgspec.Struct, frozen=True, array_like=True, tag='state'):
    """An owner's reply to the request ``number``.

    ``target`` is the name of its target, empty if it accepts no requests.
    """

    number: int
    target: str
    condition: TargetCondition
