"""The queue for a target's slots, checked against a simple model."""

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from clementinedeal._target_queue import (
    QueueActions,
    RejectRequest,
    StartRequest,
    TargetQueue,
)
from clementinedeal._verdict import Reason

MAX_WAITING = 4
ACCOUNTS = ('a', 'b', 'c')


class QueueMachine(RuleBasedStateMachine):
    """Each request ends once, and a refused one never starts."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.slots = 2
        self.draining = False
        self.queue = TargetQueue(self.slots, MAX_WAITING)
        self.count = 0
        self.waiting: dict[str, tuple[str, float]] = {}
        self.running: list[str] = []
        self.overtaken: Counter[tuple[str, str]] = Counter()

    @rule(
        account=st.sampled_from(ACCOUNTS), patience=st.sampled_from((1, 5, 60))
    )
    def offer(self, account: str, patience: int) -> None:
        self.count += 1
        req_id = str(self.count)
        deadline = self.now + patience
        self.waiting[req_id] = (account, deadline)
        actions = self.queue.offer(req_id, account, deadline, self.now)
        self.apply(actions)

    @rule(pick=st.integers(0, 3))
    def finish(self, pick: int) -> None:
        if self.running:
            req_id = self.running.pop(pick % len(self.running))
            self.apply(self.queue.finish(req_id, self.now))

    @rule(back=st.integers(0, 5))
    def cancel(self, back: int) -> None:
        req_id = str(self.count - back)
        was_waiting = req_id in self.waiting
        actions = self.queue.cancel(req_id)
        assert bool(actions) == was_waiting
        self.apply(actions)

    @rule(slots=st.integers(0, 3))
    def resize(self, slots: int) -> None:
        self.slots = slots
        self.apply(self.queue.resize(slots, self.now))

    @rule(seconds=st.sampled_from((0.5, 3)), ticks=st.booleans())
    def wait(self, seconds: float, ticks: bool) -> None:
        self.now += seconds
        if ticks:
            self.apply(self.queue.on_tick(self.now))
            assert all(end > self.now for _, end in self.waiting.values())

    @rule()
    def drain_and_replace(self) -> None:
        self.apply(self.queue.drain())
        assert not self.waiting
        assert not self.queue.waiting
        late = self.queue.offer('late', 'a', self.now + 60, self.now)
        assert [type(each) for each in late] == [RejectRequest]
        self.running.clear()
        self.queue = TargetQueue(self.slots, MAX_WAITING)

    def apply(self, actions: QueueActions) -> None:
        for action in actions:
            if isinstance(action, StartRequest):
                self.on_start(action.req_id)
            else:
                self.on_reject(action)

    def on_start(self, req_id: str) -> None:
        account, deadline = self.waiting.pop(req_id)
        assert self.now < deadline
        assert len(self.running) < self.slots
        self.running.append(req_id)
        waiting = {name for name, _ in self.waiting.values()}
        for other in ACCOUNTS:
            self.overtaken.pop((account, other), None)
            if other in waiting and other != account:
                self.overtaken[other, account] += 1
                assert self.overtaken[other, account] <= 2

    def on_reject(self, action: RejectRequest) -> None:
        account, _ = self.waiting.pop(action.req_id)
        assert action.retry_after_seconds > 0
        if action.reason is Reason.QUEUE_FULL:
            lengths = Counter(name for name, _ in self.waiting.values())
            lengths[account] += 1
            assert lengths[account] == max(lengths.values())
        for other in ACCOUNTS:
            self.overtaken.pop((account, other), None)

    @invariant()
    def queue_is_short_and_work_conserving(self) -> None:
        assert self.queue.waiting == len(self.waiting) <= MAX_WAITING
        assert not self.waiting or len(self.running) >= self.slots


TestQueue = QueueMachine.TestCase


def test_a_request_that_cannot_start_in_time_is_refused_at_once() -> None:
    queue = TargetQueue(1, MAX_WAITING)
    queue.offer('1', 'a', 10, 0)
    queue.finish('1', 2)
    queue.offer('2', 'a', 10, 2)
    assert queue.offer('3', 'a', 4.5, 2) == ()
    (reject,) = queue.offer('4', 'a', 5.5, 2)
    assert reject == RejectRequest('4', Reason.DEADLINE, 4)


def test_a_full_queue_evicts_from_the_account_with_most_requests() -> None:
    queue = TargetQueue(1, MAX_WAITING)
    for index in range(MAX_WAITING + 1):
        queue.offer(f'a{index}', 'a', 60, 0)
    (reject,) = queue.offer('b', 'b', 60, 0)
    assert reject == RejectRequest('a4', Reason.QUEUE_FULL, 0.1)
    queue.finish('a0', 0)
    assert queue.finish('a1', 0) == (StartRequest('b'),)


def test_a_request_past_its_deadline_is_not_started() -> None:
    queue = TargetQueue(1, MAX_WAITING)
    queue.offer('1', 'a', 10, 0)
    queue.offer('2', 'a', 10, 0)
    (reject,) = queue.finish('1', 10)
    assert isinstance(reject, RejectRequest)
    assert reject.reason is Reason.DEADLINE
