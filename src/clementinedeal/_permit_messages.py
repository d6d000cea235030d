"""Messages between a target's owner and the service's permit holder."""

from dataclasses import dataclass

from clementinedeal._messages import message
from clementinedeal._target_health import Baseline, Traffic


@message
@dataclass(frozen=True, slots=True)
class TargetReport:
    """An owner's report on a target, sent about once a second.

    ``incarnation`` and ``sent_at`` (the owner's monotonic seconds) order the
    reports on a target and are repeated in the answer. ``wants`` asks for a
    permit to eject the target or for its renewal; a report without it returns
    the permit. ``compares`` asks for the baseline, the median traffic of the
    target's peers. A report with neither is not answered. ``leaving`` is
    whether the target drains.
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
    """Answer to one report.

    ``target``, ``incarnation`` and ``sent_at`` are those of the report.
    ``granted`` lends a permit for ``LEASE_SECONDS`` from ``sent_at``.
    ``baseline`` is None if too few peers are known.
    """

    target: str
    incarnation: int
    sent_at: float
    granted: bool
    baseline: Baseline | None
