"""The queue of an owner for the slots of one target.

A target has a number of slots, the requests that it may run at once. A
request that is not expected to start before its deadline is refused at once;
one that waits is refused when its deadline passes. A refused request has not
run and will not. Each request is identified by the id of its attempt.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

from clementinedeal._verdict import Reason

# Weight of the newest sample in the moving average of service times.
ESTIMATE_WEIGHT = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Action: send the request to the target now."""

    req_id: str


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Action: refuse the request; it has not run and will not.

    :param req_id: id of the attempt.
    :param reason: why it is refused.
    :param retry_after_seconds: when a retry is likely to find a free slot.
    """

    req_id: str
    reason: Reason
    retry_after_seconds: float


QueueAction = StartRequest | RejectRequest
QueueActions = tuple[QueueAction, ...]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot.

    :param req_id: id of the attempt, unique.
    :param account: name of the client account, empty if there is none.
    :param deadline: monotonic time in seconds by which it must have started.
    """

    req_id: str
    account: str
    deadline: float


class AccountLanes:
    """Waiting requests in one lane per account, served round-robin.

    No lane is ever empty.
    """

    def __init__(self) -> None:
        """Create without requests."""
        self._lanes: OrderedDict[str, deque[QueuedRequest]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(map(len, self._lanes.values()))

    def add(self, req: QueuedRequest) -> None:
        """Append a request to its account's lane.

        :param req: the request.
        """
        self._lanes.setdefault(req.account, deque()).append(req)

    def count_ahead(self, account: str) -> int:
        """Return how many requests would start before a new one.

        :param account: account of the new request.
        """
        own = len(self._lanes.get(account, ()))
        others = (
            min(len(lane), own + 1)
            for name, lane in self._lanes.items()
            if name != account
        )
        return own + sum(others)

    def pop(self) -> QueuedRequest:
        """Remove and return the next request; its account is last after it."""
        account, lane = next(iter(self._lanes.items()))
        req = lane.popleft()
        self._lanes.pop(account)
        if lane:
            self._lanes[account] = lane
        return req

    def pop_newest_of_longest(self) -> QueuedRequest:
        """Remove and return the newest request of the longest lane."""
        longest = max(self._lanes.values(), key=len)
        req = longest[-1]
        self.remove(req)
        return req

    def remove(self, req: QueuedRequest) -> None:
        """Remove a request from its lane.

        :param req: a request that was added.
        """
        lane = self._lanes[req.account]
        lane.remove(req)
        if not lane:
            self._lanes.pop(req.account)

    def all(self) -> tuple[QueuedRequest, ...]:
        """Return all waiting requests."""
        return tuple(req for lane in self._lanes.values() for req in lane)


class TargetQueue:
    """Starts, queues or refuses the requests of one target."""

    def __init__(self, slots: int, max_waiting: int) -> None:
        """Create an empty queue.

        :param slots: number of requests that may run at once.
        :param max_waiting: number of requests that may wait.
        """
        self._slots = slots
        self._max_waiting = max_waiting
        self._draining = False
        self._lanes = AccountLanes()
        self._started_at: dict[str, float] = {}
        self._service_seconds = 0.0

    @property
    def waiting(self) -> int:
        """The number of waiting requests."""
        return len(self._lanes)

    @property
    def running(self) -> int:
        """The number of running requests."""
        return len(self._started_at)

    def offer(
        self,
        req_id: str,
        account: str,
        deadline: float,
        now: float,
    ) -> QueueActions:
        """Add a request: start it, queue it or refuse it.

        If the queue is full, the newest request of the account with the most
        waiting requests is refused; this may be the offered one.

        :param req_id: id of the attempt, unique.
        :param account: name of the client account, empty on an open route.
        :param deadline: monotonic time in seconds by which it must start.
        :param now: current monotonic time in seconds.
        """
        req = QueuedRequest(req_id, account, deadline)
        if self._draining:
            return (self._reject(req, Reason.DRAINING),)
        if now + self._expected_wait_seconds(account) >= deadline:
            return (self._reject(req, Reason.DEADLINE),)
        self._lanes.add(req)
        actions = self._start_waiting(now)
        if self.waiting <= self._max_waiting:
            return actions
        evicted = self._lanes.pop_newest_of_longest()
        return (*actions, self._reject(evicted, Reason.QUEUE_FULL))

    def finish(self, req_id: str, now: float) -> QueueActions:
        """Free the slot of a request that has ended and start waiting ones.

        :param req_id: id of a running attempt; others are ignored.
        :param now: current monotonic time in seconds.
        """
        started_at = self._started_at.pop(req_id, None)
        if started_at is not None:
            self._update_service_seconds(now - started_at)
        return self._start_waiting(now)

    def cancel(self, req_id: str) -> QueueActions:
        """Refuse a waiting request; a running one is not affected.

        :param req_id: id of the attempt.
        """
        for req in self._lanes.all():
            if req.req_id == req_id:
                self._lanes.remove(req)
                return (self._reject(req, Reason.CANCELLED),)
        return ()

    def resize(self, slots: int, now: float) -> QueueActions:
        """Change the number of slots; running requests are not affected.

        :param slots: new number of slots, for example during a slow start.
        :param now: current monotonic time in seconds.
        """
        self._slots = slots
        return self._start_waiting(now)

    def set_max_waiting(self, max_waiting: int) -> None:
        """Change how many requests may wait; those that wait stay.

        :param max_waiting: new limit, for example that of another preset.
        """
        self._max_waiting = max_waiting

    def drain(self) -> QueueActions:
        """Refuse all waiting requests and all that are offered later."""
        self._draining = True
        refused = self._lanes.all()
        self._lanes = AccountLanes()
        return tuple(self._reject(req, Reason.DRAINING) for req in refused)

    def on_tick(self, now: float) -> QueueActions:
        """Refuse waiting requests whose deadline has passed.

        :param now: current monotonic time in seconds.
        """
        actions: list[QueueAction] = []
        for req in self._lanes.all():
            if req.deadline <= now:
                self._lanes.remove(req)
                actions.append(self._reject(req, Reason.DEADLINE))
        return tuple(actions)

    def _start_waiting(self, now: float) -> QueueActions:
        actions: list[QueueAction] = list(self.on_tick(now))
        while self._lanes and self.running < self._slots:
            req = self._lanes.pop()
            self._started_at[req.req_id] = now
            actions.append(StartRequest(req.req_id))
        return tuple(actions)

    def _expected_wait_seconds(self, account: str) -> float:
        if not self._lanes and self.running < self._slots:
            return 0
        turns = (self._lanes.count_ahead(account) + 1) / max(1, self._slots)
        return turns * self._service_seconds

    def _update_service_seconds(self, seconds: float) -> None:
        if not self._service_seconds:
            self._service_seconds = seconds
        change = seconds - self._service_seconds
        self._service_seconds += ESTIMATE_WEIGHT * change

    def _reject(self, req: QueuedRequest, reason: Reason) -> RejectRequest:
        wait = self._expected_wait_seconds(req.account)
        return RejectRequest(
            req.req_id,
            reason,
            max(MIN_RETRY_AFTER_SECONDS, wait),
        )
