"""The short queue of an owner before the slots of one target.

A request is refused at once when it could not start in time; one that waits
is refused when its deadline passes. A request that was refused has not run
and will not.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

from clementinedeal._verdict import Reason

ESTIMATE_WEIGHT = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Action: send the request to the target now."""

    req_id: str


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Action: the request has not run and will not."""

    req_id: str
    reason: Reason
    retry_after_seconds: float


QueueAction = StartRequest | RejectRequest
QueueActions = tuple[QueueAction, ...]


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """A request that waits for a slot; ``deadline`` in monotonic seconds."""

    req_id: str
    account: str
    deadline: float


class AccountLanes:
    """Waiting requests in one lane per account, served in turn."""

    def __init__(self) -> None:
        """Start empty."""
        self._lanes: OrderedDict[str, deque[QueuedRequest]] = OrderedDict()

    def __len__(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._lanes.values()))

    def add(self, req: QueuedRequest) -> None:
        """Append a request to its account's lane."""
        self._lanes.setdefault(req.account, deque()).append(req)

    def count_ahead(self, account: str) -> int:
        """Return how many requests start before a new one of an account.

        :param account: name of the account.
        """
        own = len(self._lanes.get(account, ()))
        others = (
            min(len(lane), own + 1)
            for name, lane in self._lanes.items()
            if name != account
        )
        return own + sum(others)

    def pop(self) -> QueuedRequest:
        """Take the next request, one account after the other."""
        account, lane = next(iter(self._lanes.items()))
        req = lane.popleft()
        self._lanes.pop(account)
        if lane:
            self._lanes[account] = lane
        return req

    def pop_newest_of_longest(self) -> QueuedRequest:
        """Take the newest request of the account that has most waiting."""
        longest = max(self._lanes.values(), key=len)
        req = longest[-1]
        self.remove(req)
        return req

    def remove(self, req: QueuedRequest) -> None:
        """Take a request out of its lane."""
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
        """Start idle.

        :param slots: how many requests may run at once.
        :param limit: how many may wait.
        """
        self._slots = slots
        self._max_waiting = max_waiting
        self._draining = False
        self._lanes = AccountLanes()
        self._started_at: dict[str, float] = {}
        self._service_seconds = 0.0

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._lanes)

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._started_at)

    def offer(
        self,
        req_id: str,
        account: str,
        deadline: float,
        now: float,
    ) -> QueueActions:
        """Start a request, let it wait, or refuse it or another one.

        :param req_id: request id, unique.
        :param account: client account; empty for routes open to all.
        :param deadline: monotonic seconds at which it must have started.
        :param now: monotonic seconds.
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
        """Free the slot of a request whose execution has ended.

        :param req_id: a request that was started; others are ignored.
        :param now: monotonic seconds.
        """
        started_at = self._started_at.pop(req_id, None)
        if started_at is not None:
            self._update_service_seconds(now - started_at)
        return self._start_waiting(now)

    def cancel(self, req_id: str) -> QueueActions:
        """Refuse a request that waits; one that runs goes on.

        :param req_id: request id.
        """
        for req in self._lanes.all():
            if req.req_id == req_id:
                self._lanes.remove(req)
                return (self._reject(req, Reason.CANCELLED),)
        return ()

    def resize(self, slots: int, now: float) -> QueueActions:
        """Change how many may run; those that run go on.

        :param slots: new number, as for a slow start.
        :param now: monotonic seconds.
        """
        self._slots = slots
        return self._start_waiting(now)

    def set_max_waiting(self, max_waiting: int) -> None:
        """Change how many may wait; those that wait stay.

        :param limit: new number, as of another preset.
        """
        self._max_waiting = max_waiting

    def drain(self) -> QueueActions:
        """Refuse all that waits and all that comes."""
        self._draining = True
        refused = self._lanes.all()
        self._lanes = AccountLanes()
        return tuple(self._reject(req, Reason.DRAINING) for req in refused)

    def on_tick(self, now: float) -> QueueActions:
        """Refuse what has not started by its deadline.

        :param now: monotonic seconds.
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
