"""The owner's table lets no forward start twice or after its cancel."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from clementinedeal._cancel_messages import CancelAnswer
from clementinedeal._executions import (
    ExecutionLimits,
    ExecutionState,
    ExecutionTable,
)
from clementinedeal._verdict import Reason

RETENTION_SECONDS = 30.0
IDS = st.sampled_from(('r0', 'r1'))


class TableMachine(RuleBasedStateMachine):
    """Forwards arrive within the retention, in any order, also repeatedly."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.table = ExecutionTable(
            'i0', ExecutionLimits(retention_seconds=RETENTION_SECONDS)
        )
        self.starts: dict[str, int] = {}
        self.denied: set[str] = set()
        self.sent: dict[str, tuple[str, float]] = {}

    @rule(req_id=IDS, patience=st.sampled_from((1, 30)))
    def forward(self, req_id: str, patience: float) -> None:
        incarnation, deadline = self.sent.setdefault(
            req_id, (self.table.incarnation, self.now + patience)
        )
        self.table.register(req_id, incarnation, deadline, self.now)

    @rule(req_id=IDS)
    def start(self, req_id: str) -> None:
        if self.table.start(req_id, self.now).is_ok():
            assert self.now < self.sent[req_id][1]
            assert self.sent[req_id][0] == self.table.incarnation
            self.starts[req_id] = self.starts.get(req_id, 0) + 1

    @rule(req_id=IDS)
    def finish(self, req_id: str) -> None:
        self.table.finish(req_id, self.now)

    @rule(req_id=IDS)
    def cancel(self, req_id: str) -> None:
        sent = (self.table.incarnation, self.now + 10)
        incarnation = self.sent.setdefault(req_id, sent)[0]
        answer = self.table.cancel(req_id, incarnation, self.now)
        if answer is CancelAnswer.NEVER_STARTED:
            assert req_id not in self.starts
            self.denied.add(req_id)

    @rule()
    def pause(self) -> None:
        self.now += 0.6
        self.table.on_pause(self.table.incarnation + 'x')

    @rule(seconds=st.sampled_from((0.05, 1)))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def nothing_starts_twice_or_after_its_cancel(self) -> None:
        assert all(count == 1 for count in self.starts.values())
        assert not self.denied & self.starts.keys()


TestTable = TableMachine.TestCase
TestTable.settings = settings(max_examples=300, stateful_step_count=20)


def test_a_full_table_refuses_and_leaves_no_tombstone() -> None:
    table = ExecutionTable(
        'i', ExecutionLimits(max_entries=1, retention_seconds=5)
    )
    assert table.register('a', 'i', 9, 0) == Ok(None)
    assert table.register('b', 'i', 9, 0) == Err(Reason.QUEUE_FULL)
    assert table.cancel('c', 'i', 0) is CancelAnswer.UNKNOWN
    assert table.start('a', 1) == Ok(None)
    table.finish('a', 2)
    assert table.state('a') is ExecutionState.DONE
    assert table.register('b', 'i', 99, 14) == Ok(None)


def test_a_restarted_owner_refuses_forwards_to_its_last_incarnation() -> None:
    table = ExecutionTable('new')
    assert table.cancel('a', 'old', 0) is CancelAnswer.UNKNOWN
    assert table.register('a', 'old', 9, 0) == Err(Reason.WRONG_INCARNATION)


def test_no_forward_starts_between_a_pause_and_the_next_tick() -> None:
    table = ExecutionTable('i')
    table.on_tick(0)
    assert table.register('a', 'i', 99, 0.1) == Ok(None)
    assert table.start('a', 9) == Err(Reason.WRONG_INCARNATION)
    assert table.register('b', 'i', 99, 9) == Err(Reason.WRONG_INCARNATION)
    table.on_tick(9)
    assert table.register('c', 'i', 99, 9) == Ok(None)
    assert table.register('b', 'i', 99, 9) == Err(Reason.CANCELLED)
