"""An entry's own experience of the way to each owner."""

from dataclasses import dataclass

PATH_FAULT_SECONDS = 3.0
LATENCY_WEIGHT = 0.2
# Path latency that counts as much as a target whose slots are all busy.
FULL_LOAD_LATENCY_SECONDS = 0.02


@dataclass(slots=True)
class NetworkPath:
    """Smoothed latency and the latest failure to connect, in seconds."""

    latency: float = 0.0
    faulty_until: float = 0.0


class NetworkPaths:
    """Path faults of one daemon; they say nothing about the target."""

    def __init__(self) -> None:
        """Start without any experience."""
        self._paths: dict[str, NetworkPath] = {}

    def on_answer(self, owner: str, latency: float) -> None:
        """Take in what a forward took besides the owner's own time.

        :param owner: instance that was called.
        :param latency: seconds spent on the way.
        """
        path = self._paths.setdefault(owner, NetworkPath(latency))
        path.latency += LATENCY_WEIGHT * (latency - path.latency)
        path.faulty_until = 0.0

    def on_connect_failure(self, owner: str, now: float) -> None:
        """Avoid an owner for a while where there is another.

        :param owner: instance that could not be reached.
        :param now: monotonic time in seconds.
        """
        path = self._paths.setdefault(owner, NetworkPath())
        path.faulty_until = now + PATH_FAULT_SECONDS

    def is_faulty(self, owner: str, now: float) -> bool:
        """Return whether the owner was out of reach a moment ago.

        :param owner: instance to be called.
        :param now: monotonic time in seconds.
        """
        path = self._paths.get(owner)
        return path is not None and now < path.faulty_until

    def load_equivalent(self, owner: str) -> float:
        """Return the path latency as a share of a target's capacity.

        :param owner: instance to be called.
        """
        path = self._paths.get(owner)
        return path.latency / FULL_LOAD_LATENCY_SECONDS if path else 0.0

    def retain(self, owners: set[str]) -> None:
        """Forget all other owners.

        :param owners: those that are published.
        """
        self._paths = {
            owner: path
            for owner, path in self._paths.items()
            if owner in owners
        }
