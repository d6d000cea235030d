"""Requests that wait for a slot of a target."""

import trio

from clementinedeal._replies import AttemptRefusal
from clementinedeal._slot_gate import QueuedSlotGate
from clementinedeal._timers import VirtualClock
from clementinedeal._verdict import Reason, Verdict
from fleet import make_config

TARGET = 't-a'


class GateClient:
    """A gate with one target, and the results of its waits by request."""

    def __init__(self, usable_fraction: float = 1.0) -> None:
        self.clock = VirtualClock()
        self.usable_fraction = usable_fraction
        cfg = make_config(('a',))
        self.gate = QueuedSlotGate(
            'a',
            cfg,
            self.clock,
            lambda target, now: self.usable_fraction,
        )
        self.gate.on_tick(0)
        self.results: dict[str, AttemptRefusal | None] = {}

    async def acquire(self, req_id: str, seconds: float = 5) -> None:
        self.results[req_id] = await self.gate.acquire(
            req_id,
            TARGET,
            'acme',
            seconds,
        )


async def test_a_slow_start_uses_fewer_slots(nursery: trio.Nursery) -> None:
    client = GateClient(usable_fraction=0.3)
    for number in range(4):
        nursery.start_soon(client.acquire, str(number))
    await trio.testing.wait_all_tasks_blocked()
    assert len(client.results) == 2
    client.usable_fraction = 1
    client.gate.on_tick(0)
    await trio.testing.wait_all_tasks_blocked()
    assert set(client.results.values()) == {None}
    assert len(client.results) == 4


async def test_an_ejection_rejects_waiting_requests(
    nursery: trio.Nursery,
) -> None:
    client = GateClient(usable_fraction=0.1)
    nursery.start_soon(client.acquire, 'running')
    await trio.testing.wait_all_tasks_blocked()
    nursery.start_soon(client.acquire, 'waiting')
    await trio.testing.wait_all_tasks_blocked()
    client.gate.reject_waiting(TARGET)
    await trio.testing.wait_all_tasks_blocked()
    refused = client.results['waiting']
    assert refused == AttemptRefusal(Verdict.NOT_RUN, Reason.TARGET_EJECTED)
    assert client.results['running'] is None
    assert client.gate.load(TARGET) == 1 / 7


async def test_a_caller_that_stops_waiting_takes_no_slot() -> None:
    client = GateClient(usable_fraction=0.1)
    await client.acquire('running')
    with trio.move_on_after(0.01):
        await client.acquire('gone')
    client.gate.release('gone', TARGET)
    client.gate.release('running', TARGET)
    assert client.gate.load(TARGET) == 0


async def test_a_request_that_waits_past_its_deadline_is_refused(
    nursery: trio.Nursery,
) -> None:
    client = GateClient(usable_fraction=0.1)
    await client.acquire('running')
    nursery.start_soon(client.acquire, 'late', 1)
    await trio.testing.wait_all_tasks_blocked()
    client.clock.advance(2)
    client.gate.on_tick(client.clock.now())
    await trio.testing.wait_all_tasks_blocked()
    refused = client.results['late']
    assert refused is not None
    assert (refused.verdict, refused.reason) == (
        Verdict.NOT_RUN,
        Reason.DEADLINE,
    )
