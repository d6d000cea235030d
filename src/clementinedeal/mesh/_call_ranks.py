"""Ranks the calls that a target makes for the requests it runs."""

from dataclasses import dataclass

from clementinedeal.mesh._slots import Rank

# Account priority of a request without an account, if none that runs on the
# own target can have made it.
KEYLESS_PRIORITY = 0
# A call ends with the request that makes it. The target counts both from when
# they arrive, so that the call's deadline seems later by the time on the way;
# it may seem sooner by rounding.
MAX_DEADLINE_DELAY_SECONDS = 0.03
MAX_ROUNDING_SECONDS = 0.002


@dataclass(frozen=True, slots=True, eq=False)
class RunningRequest:
    """A request that the target runs; ``deadline`` is in monotonic seconds."""

    rank: Rank
    deadline: float


class CallRanks:
    """Matches calls of a target to the requests that it runs."""

    def __init__(self) -> None:
        """Create a matcher for a target that runs nothing."""
        self._running: set[RunningRequest] = set()

    def add(self, rank: Rank, deadline: float) -> RunningRequest:
        """Record that the target runs a request.

        :param rank: its rank.
        :param deadline: its end, as the target was told, monotonic seconds.
        :return: what ``discard`` takes when the request has ended.
        """
        request = RunningRequest(rank, deadline)
        self._running.add(request)
        return request

    def discard(self, request: RunningRequest) -> None:
        """Record that a request has ended.

        :param request: the request.
        """
        self._running.discard(request)

    def rank_call(self, deadline: float, route_priority: int) -> Rank:
        """Return the rank of a request without an account.

        It is that of the running request which ends with it. If none does, as
        for a call with a shorter limit, it is the median of those that may
        have made it, or its own route's if that is more urgent.

        :param deadline: end of the request, monotonic seconds.
        :param route_priority: priority of its route.
        """
        parent = self._find_parent(deadline)
        if parent is not None:
            return parent.rank
        ranks = sorted(
            request.rank
            for request in self._running
            if request.deadline >= deadline - MAX_DEADLINE_DELAY_SECONDS
        )
        if not ranks:
            return KEYLESS_PRIORITY, route_priority
        median = ranks[(len(ranks) - 1) // 2]
        return min(median, (median[0], route_priority))

    def _find_parent(self, deadline: float) -> RunningRequest | None:
        """Return the request that ends with a call, the nearest of several."""
        candidates = [
            request
            for request in self._running
            if -MAX_ROUNDING_SECONDS
            <= deadline - request.deadline
            <= MAX_DEADLINE_DELAY_SECONDS
        ]
        return min(
            candidates,
            key=lambda request: abs(deadline - request.deadline),
            default=None,
        )
