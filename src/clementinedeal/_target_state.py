"""States of an owned target and the actions that report a change."""

import enum
from dataclasses import dataclass

from clementinedeal._target_health import Cause

# Fractions of the slots that are used on trial and when slow start begins.
TRIAL_FRACTION = 0.15
SLOW_START_FRACTION = 0.2
# Length of a slow start; the usable fraction grows at a rate of 1 in this time.
SLOW_START_SECONDS = 10.0


class TargetState(enum.Enum):
    """Whether and how an owned target is used.

    ``REQUESTING`` is a target in use whose owner has asked for a permit to
    eject it. ``EJECTED`` takes no requests. ``TRIAL`` takes idempotent
    requests on a few slots, to find out whether the target has recovered.
    ``SLOW_START`` takes requests on a growing number of slots. ``LEAVING``
    drains and takes no new requests.
    """

    IN_USE = 'in-use'
    REQUESTING = 'requesting'
    EJECTED = 'ejected'
    TRIAL = 'trial'
    SLOW_START = 'slow-start'
    LEAVING = 'leaving'


EJECTED_STATES = frozenset((TargetState.EJECTED, TargetState.TRIAL))


@dataclass(frozen=True, slots=True)
class TargetEjected:
    """Action: stop sending requests to a target until it is reinstated."""

    target: str
    cause: Cause


@dataclass(frozen=True, slots=True)
class TargetReinstated:
    """Action: send requests to the target again."""

    target: str


TargetChange = TargetEjected | TargetReinstated


def usable_fraction_in(state: TargetState, elapsed_seconds: float) -> float:
    """Return the usable fraction of a target's slots, 0 to 1.

    :param state: state of the target.
    :param elapsed_seconds: time since the state was entered.
    """
    if state in {TargetState.EJECTED, TargetState.LEAVING}:
        return 0.0
    if state is TargetState.TRIAL:
        return TRIAL_FRACTION
    if state is TargetState.SLOW_START:
        return min(
            1.0, SLOW_START_FRACTION + elapsed_seconds / SLOW_START_SECONDS
        )
    return 1.0
