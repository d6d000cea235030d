import trio

from clementinedeal._replies import AttemptRefusal
from clementinedeal._slot_gate import QueuedSlotGate
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason, Verdict
from fleet import make_config

TARGET = 't-a'


class GateClient:
    """A gate with one free slot share and the refusals it gave."""

    def __init__(self, share: float = 1.0) -> None:
        self.clock = VirtualClock()
        self.share = share
        cfg = make_config(('a',))
        self.gate = QueuedSlotGate(
            'a',
            cfg,
            self.clock,
            lambda target, now: self.share,
        )
        self.gate.on_tick(0)
        self.ended: dict[str, AttemptRefusal | None] = {}

    async def acquire(self, req_id: str, seconds: float = 5) -> None:
        self.ended[req_id] = await self.gate.acquire(
            req_id,
            TARGET,
            'acme',
            seconds,
        )


async def test_a_slow_start_uses_fewer_slots(nursery: trio.Nursery) -> None:
    seats = GateClient(share=0.3)
    for number in range(4):
        nursery.start_soon(seats.acquire, str(number))
    await trio.testing.wait_all_tasks_blocked()
    assert len(seats.ended) == 2
    seats.share = 1
    seats.gate.on_tick(0)
    await trio.testing.wait_all_tasks_blocked()
    assert set(seats.ended.values()) == {None}
    assert len(seats.ended) == 4


async def test_an_ejection_rejects_waiting_requests(
    nursery: trio.Nursery,
) -> None:
    seats = GateClient(share=0.1)
    nursery.start_soon(seats.acquire, 'running')
    await trio.testing.wait_all_tasks_blocked()
    nursery.start_soon(seats.acquire, 'waiting')
    await trio.testing.wait_all_tasks_blocked()
    seats.gate.reject_waiting(TARGET)
    await trio.testing.wait_all_tasks_blocked()
    refused = seats.ended['waiting']
    assert refused == AttemptRefusal(Verdict.NOT_RUN, Reason.TARGET_EJECTED)
    assert seats.ended['running'] is None
    assert seats.gate.load(TARGET) == 1 / 7


async def test_a_caller_that_stops_waiting_takes_no_slot() -> None:
    seats = GateClient(share=0.1)
    await seats.acquire('running')
    with trio.move_on_after(0.01):
        await seats.acquire('gone')
    seats.gate.release('gone', TARGET)
    seats.gate.release('running', TARGET)
    assert seats.gate.load(TARGET) == 0


async def test_a_request_that_waits_past_its_deadline_is_refused(
    nursery: trio.Nursery,
) -> None:
    seats = GateClient(share=0.1)
    await seats.acquire('running')
    nursery.start_soon(seats.acquire, 'late', 1)
    await trio.testing.wait_all_tasks_blocked()
    seats.clock.advance(2)
    seats.gate.on_tick(seats.clock.now())
    await trio.testing.wait_all_tasks_blocked()
    refused = seats.ended['late']
    assert refused is not None
    assert (refused.verdict, refused.reason) == (
        Verdict.NOT_RUN,
        Reason.DEADLINE,
    )
