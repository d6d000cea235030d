"""Latency and reachability of owners as measured by this entry."""

from dataclasses import dataclass

# How long an owner is avoided after a failure to connect to it.
PATH_FAULT_SECONDS = 3.0
# Weight of the newest sample in the moving average of a path's latency.
LATENCY_WEIGHT = 0.2
# Path latency that counts as much as a target whose slots are all busy.
FULL_LOAD_LATENCY_SECONDS = 0.02


@dataclass(slots=True)
class NetworkPath:
    """State of the path to one owner.

    :param latency_seconds: moving average of the time spent on the network.
    :param faulty_until: monotonic time in seconds up to which the owner is
        avoided.
    """

    latency_seconds: float = 0.0
    faulty_until: float = 0.0


class NetworkPaths:
    """Paths from this daemon to the owners of targets.

    A path fault only affects the order in which this daemon tries targets. It
    is no evidence against the target, which may work for other daemons.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._paths: dict[str, NetworkPath] = {}

    def on_answer(self, owner: str, latency_seconds: float) -> None:
        """Record the path latency of an answered forward.

        :param owner: instance that was called.
        :param latency_seconds: time of the forward minus the time that the
            owner spent on it.
        """
        path = self._paths.setdefault(owner, NetworkPath(latency_seconds))
        path.latency_seconds += LATENCY_WEIGHT * (
            latency_seconds - path.latency_seconds
        )
        path.faulty_until = 0.0

    def on_connect_failure(self, owner: str, now: float) -> None:
        """Mark the path to an owner as faulty for ``PATH_FAULT_SECONDS``.

        :param owner: instance that could not be reached.
        :param now: current monotonic time in seconds.
        """
        path = self._paths.setdefault(owner, NetworkPath())
        path.faulty_until = now + PATH_FAULT_SECONDS

    def is_faulty(self, owner: str, now: float) -> bool:
        """Return whether connecting to an owner failed a short time ago.

        :param owner: name of the instance.
        :param now: current monotonic time in seconds.
        """
        path = self._paths.get(owner)
        return path is not None and now < path.faulty_until

    def load_equivalent(self, owner: str) -> float:
        """Return the path latency in units of a target's load.

        :param owner: name of the instance.
        :returns: 1 for a latency of ``FULL_LOAD_LATENCY_SECONDS``.
        """
        path = self._paths.get(owner)
        return path.latency_seconds / FULL_LOAD_LATENCY_SECONDS if path else 0.0

    def retain(self, owners: set[str]) -> None:
        """Forget all owners but the given ones.

        :param owners: names of the instances to keep.
        """
        self._paths = {
            owner: path
            for owner, path in self._paths.items()
            if owner in owners
        }
