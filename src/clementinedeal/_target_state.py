"""States of an owned target and the actions that announce a change."""

import enum
from dataclasses import dataclass

from clementinedeal._target_health import Cause

TRIAL_FRACTION = 0.15
SLOW_START_FRACTION = 0.2
SLOW_START_SECONDS = 10.0


class TargetState(enum.Enum):
    """Whether and how a target is used."""

    IN_USE = 'in-use'
    REQUESTING = 'requesting'
    EJECTED = 'ejected'
    TRIAL = 'trial'
    SLOW_START = 'slow-start'
    LEAVING = 'leaving'


EJECTED_STATES = frozenset((TargetState.EJECTED, TargetState.TRIAL))


@dataclass(frozen=True, slots=True)
class TargetEjected:
    """Action: the target takes no work until it is reinstated."""

    target: str
    cause: Cause


@dataclass(frozen=True, slots=True)
class TargetReinstated:
    """Action: the target takes work again."""

    target: str


TargetChange = TargetEjected | TargetReinstated


def usable_fraction_in(state: TargetState, elapsed_seconds: float) -> float:
    """Return the usable share of a target's slots, 0 to 1.

    :param state: state of the target.
    :param elapsed: seconds since it was entered.
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
