"""Messages between a target's owner and its service's permit holder."""

from dataclasses import dataclass

from clementinedeal._messages import message
from clementinedeal._target_health import Baseline, Traffic


@message
@dataclass(frozen=True, slots=True)
class TargetReport:
    """What an owner says of its target, about once a second.

    ``incarnation`` and ``sent_at`` (owner's monotonic seconds) order the
    reports of one target and are sent back with the answer. ``wants`` asks
    for a permit or its renewal; without it a permit held is given back.
    ``compares`` asks for the peers' traffic; a report with neither is not
    answered.
    """

    target: str
    incarnation: int
    sent_at: float
    wants: bool
    compares: bool
    leaving: bool
    traffic: Traffic


@message
@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """Answer to one report; ``granted`` lends a permit from ``sent_at``."""

    target: str
    incarnation: int
    sent_at: float
    granted: bool
    baseline: Baseline | None
