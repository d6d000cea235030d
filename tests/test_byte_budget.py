"""The budget of the bytes that a process holds."""

import contextlib

import pytest
import trio
import trio.testing
from tests.test_mesh_executions import MESSAGE, make_attempt

from clementinedeal._byte_budget import (
    SMALL_BODY_BYTES,
    STALL_SECONDS,
    BudgetSpentError,
    ByteBudget,
    HeldBytes,
)
from clementinedeal._http import HttpLimits, TooLongError
from clementinedeal._server_conn import ServerConn
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Verdict
from clementinedeal.mesh._executions import Execution, MeshExecutionTable
from clementinedeal.mesh._outcomes import MeshOutcome
from clementinedeal.mesh._process_limits import ProcessLimits

MAX_BYTES = 1 << 20
PIECE = bytes(SMALL_BODY_BYTES)
# bodies of one piece more than a small one that fit into the budget
LARGE = 2 * len(PIECE)


class Bodies:
    """A budget with bodies that arrive; ``cut`` holds the names of those cut.

    Bytes are counted only while the context is open.
    """

    def __init__(self):
        self.clock = VirtualClock()
        self.budget = ByteBudget(self.clock, MAX_BYTES)
        self.cut = []
        self.stack = contextlib.ExitStack()

    def arrive(self, name, size, *, is_answer=False):
        body = HeldBytes(self.budget, is_answer=is_answer)

        def cut():
            self.cut.append(name)
            body.discard()

        if not is_answer:
            self.stack.enter_context(self.budget.cuttable(body, cut))
        for _ in range(size // len(PIECE)):
            body.add(PIECE)
        return body


@pytest.fixture
def bodies():
    bodies = Bodies()
    yield bodies
    bodies.stack.close()


def fill(bodies):
    """Let large bodies arrive until the next one is refused."""
    with contextlib.suppress(BudgetSpentError):
        for number in range(MAX_BYTES // LARGE):
            bodies.arrive(number, LARGE)
        pytest.fail('all bodies were accepted')


def test_bytes_are_released_with_their_last_reference(bodies):
    body = bodies.arrive('answer', LARGE, is_answer=True)
    assert bodies.budget.held_bytes == LARGE
    del body
    assert bodies.budget.held_bytes == 0


def test_a_large_body_is_refused_while_others_make_progress(bodies):
    fill(bodies)
    assert not bodies.cut
    assert bodies.budget.counts.refused == 1
    assert bodies.budget.held_bytes <= MAX_BYTES


def test_small_bodies_have_a_part_of_their_own(bodies):
    fill(bodies)
    assert bodies.arrive('small', SMALL_BODY_BYTES) == PIECE


def test_stalled_bodies_are_cut_for_a_new_one(bodies):
    fill(bodies)
    bodies.clock.advance(STALL_SECONDS)
    bodies.arrive('new', LARGE)
    assert bodies.cut
    assert 'new' not in bodies.cut
    assert bodies.budget.held_bytes <= MAX_BYTES


def test_the_largest_of_the_longest_stalled_bodies_is_cut(bodies):
    bodies.arrive('old', LARGE)
    bodies.arrive('large', 3 * LARGE)
    bodies.clock.advance(STALL_SECONDS)
    bodies.arrive('recent', 2 * LARGE)
    bodies.budget.check_announced(3 * LARGE)
    assert bodies.cut == ['large']


def test_a_body_that_arrives_byte_by_byte_counts_as_stalled(bodies):
    body = bodies.arrive('slow', LARGE)
    bodies.clock.advance(STALL_SECONDS)
    body.add(b'x')
    assert body.idle_seconds(bodies.clock.now()) == STALL_SECONDS
    body.add(PIECE)
    assert body.idle_seconds(bodies.clock.now()) == 0


def test_arriving_bodies_give_way_to_an_answer(bodies):
    fill(bodies)
    answer = bodies.arrive('answer', 3 * LARGE, is_answer=True)
    assert len(answer) == 3 * LARGE
    assert bodies.cut
    assert bodies.budget.held_bytes <= MAX_BYTES


@pytest.mark.parametrize('memory_mb', [200, 300, 552])
def test_each_machine_has_room_for_one_body_at_the_limit(memory_mb):
    limits = ProcessLimits(memory_mb * 1_000_000, 4100)
    budget = ByteBudget(VirtualClock(), limits.body_bytes)
    budget.check_announced(64 << 20)
    assert limits.caller_connections > 500


def test_an_ended_attempt_keeps_no_request_and_its_answer_for_a_while(bodies):
    table = MeshExecutionTable(bodies.clock, bodies.budget)
    execution = Execution(make_attempt(), MESSAGE, 2.0)
    assert table.add(execution)
    execution.outcome = MeshOutcome(
        verdict=Verdict.RAN,
        reached=True,
        status=200,
        body=bodies.arrive('answer', LARGE, is_answer=True),
    )
    table.keep_outcome(execution)
    assert execution.request is None
    assert execution.outcome.body
    bodies.clock.advance(STALL_SECONDS)
    fill(bodies)
    assert execution.outcome.verdict is Verdict.MAY_HAVE_RUN
    assert not table.add(Execution(make_attempt(), MESSAGE, 2.0))


@pytest.fixture
async def receiving(bodies):
    """A connection on which a large body was announced."""
    near, far = trio.testing.memory_stream_pair()
    conn = ServerConn(near, HttpLimits(), bodies.budget)
    await far.send_all(
        b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n' % LARGE
    )
    assert await conn.next_request()
    return conn, far


async def test_a_body_announced_over_the_limit_is_refused_unread(receiving):
    conn, _ = receiving
    with pytest.raises(TooLongError):
        await conn.read_whole(LARGE - 1)


async def test_a_body_that_was_cut_is_not_taken_as_whole(
    receiving, bodies, nursery
):
    conn, far = receiving
    await far.send_all(PIECE)

    async def cut_and_end():
        await trio.testing.wait_all_tasks_blocked()
        bodies.clock.advance(STALL_SECONDS)
        await far.send_all(PIECE)
        fill(bodies)

    nursery.start_soon(cut_and_end)
    with pytest.raises(BudgetSpentError):
        await conn.read_whole(LARGE)
