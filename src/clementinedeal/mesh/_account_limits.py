"""What the daemons may grant an account, within the operators' tolerance."""

from dataclasses import dataclass

from clementinedeal.mesh._settings import Bounds

# Fraction of the operators' tolerance that homes grant on top of the declared
# limits, so that callers close to their rate are not refused wrongly. The rest
# is spare, for daemons that do not know what others grant.
USED_TOLERANCE_FRACTION = 0.5
# Fractions of the spare tolerance for a daemon that begins to count without
# knowing the use: granted at once, and while it settles.
START_FRACTION = 0.16
SETTLE_FRACTION = 0.5
# While a daemon settles, callers may still be counted by the former one.
SETTLE_SECONDS = 1.0
# Least fraction of the rate that all daemons share if they are cut off.
MIN_SHARED_FRACTION = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class CountLimits:
    """Limits of one account for the daemon that counts it.

    ``rate`` and ``settle_rate`` are in tokens per second, ``burst`` and
    ``start_tokens`` in tokens. ``shared_rate`` is what daemons that reach
    nobody who counts may grant together.
    """

    rate: float
    burst: float
    start_tokens: float
    settle_rate: float
    shared_rate: float


def tolerated_limits(rate: float, burst: float, bounds: Bounds) -> CountLimits:
    """Return the limits that are enforced for declared ones.

    :param rate: declared tokens per second.
    :param burst: declared burst in tokens.
    :param bounds: by how much an account may exceed them.
    """
    window = bounds.allowance_window
    used_over = USED_TOLERANCE_FRACTION * bounds.allowance_over
    used_slack = USED_TOLERANCE_FRACTION * bounds.allowance_slack
    home_rate = rate * (1 + used_over)
    allowed = rate * window + burst
    spare = (bounds.allowance_over - used_over) * allowed
    spare += bounds.allowance_slack - used_slack
    settle_rate = SETTLE_FRACTION * spare / SETTLE_SECONDS
    shared_rate = max(MIN_SHARED_FRACTION * rate, spare / window)
    return CountLimits(
        rate=home_rate,
        burst=burst * (1 + used_over) + used_slack,
        start_tokens=START_FRACTION * spare,
        settle_rate=min(home_rate, settle_rate),
        shared_rate=min(rate, shared_rate),
    )
