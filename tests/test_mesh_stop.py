"""Graceful stops of whole daemons while requests run."""

import contextlib
import dataclasses
import signal
import time

import pytest
import trio
import trio.lowlevel
from result import Ok
from tests.store_standin import configuration, registration

from clementinedeal._http import ConnLostError, RequestHead
from clementinedeal.mesh import _balancer, _stop
from clementinedeal.mesh._daemon import MeshDaemon
from clementinedeal.mesh._owner import RECONNECT_SECONDS
from clementinedeal.mesh._retry_tokens import RetryTokenBucket
from clementinedeal.mesh._stop import KILL_MARGIN_SECONDS
from clementinedeal.platform import PlatformDialect, PlatformStore

SHORT_NOTICE_SECONDS = 0.3
SHORT_STOP_SECONDS = 2.0
LONG_TIMEOUT_SECONDS = 30.0


async def is_ready(fleet, number):
    """Return whether a daemon answers its readiness check with 200."""
    address = fleet.settings[number].ready_address
    conn = await fleet.pool.acquire(address)
    await conn.send_whole(RequestHead('GET', '/-/ready', HOST_HEADERS), b'')
    answer = await conn.read_head()
    conn.abort()
    return answer.status == 200


HOST_HEADERS = ((b'host', b'x'),)


async def test_planned_stop_cuts_no_request(fleet, nursery):
    fleet.targets[0].work_seconds = 0.5
    statuses = []

    async def send():
        answer, _ = await fleet.send(0, '/book/1')
        statuses.append(answer.status)

    assert await is_ready(fleet, 0)
    for _ in range(5):
        nursery.start_soon(send)
    await trio.sleep(0.1)
    fleet.daemons[0].stop()
    await trio.lowlevel.checkpoint()
    assert not await is_ready(fleet, 0)
    answer, _ = await fleet.send(0, '/book/1')
    assert answer.status == 200
    assert answer.header(b'connection') == b'close'
    await trio.sleep(0.8)
    assert statuses == [200] * 5


async def test_late_requests_of_a_stopping_daemon_are_refused_as_not_run(fleet):
    for target in fleet.targets:
        target.mode = 'hang'
    async with trio.open_nursery() as nursery:
        # the daemon does not end while this request runs
        nursery.start_soon(fleet.send, 0, '/open/1', b'')
        await trio.sleep(0.2)
        fleet.daemons[0].stop()
        await trio.sleep(1.5)
        nursery.cancel_scope.cancel()
    for target in fleet.targets:
        target.mode = 'ok'
        target.work_seconds = 1.5
    count_before = len(fleet.runs())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.send, 0, '/look/2')
        await trio.sleep(1.2)
        answer, _ = await fleet.send(0, '/book/late')
        assert answer.status == 503
        assert answer.header(b'x-verdict') == b'not-run'
    assert not [
        run for run in fleet.runs()[count_before:] if run[1] == '/book/late'
    ]


async def test_requests_without_a_target_are_refused_before_the_end(
    hanging_fleet,
):
    for target in hanging_fleet.targets:
        target.mode = 'shed'
    async with sent_requests(hanging_fleet, (0, '/book/1')) as answers:
        assert not answers
        hanging_fleet.daemons[0]._sender.cancel_unsent()
        await trio.sleep(0.2)
    assert answers['/book/1'] == (503, b'not-run')
    lines = hanging_fleet.daemons[0].events.json_lines()
    assert b'attempt-tried' in lines
    assert b'"draining"' in lines


async def test_a_blocked_event_loop_does_not_delay_the_end(fleet, nursery):
    for target in fleet.targets:
        target.mode = 'hang'

    async def keep_sending():
        while True:
            with contextlib.suppress(ConnLostError):
                await fleet.send(0, '/open/1')
            await trio.lowlevel.checkpoint()

    async def block_event_loop():
        while True:
            time.sleep(0.06)  # noqa: ASYNC251
            await trio.sleep(0.01)

    nursery.start_soon(keep_sending)
    nursery.start_soon(block_event_loop)
    await trio.sleep(0.3)
    started_at = trio.current_time()
    await fleet.daemons[0]._stop.run(fleet.settings[0].bounds.stop_seconds)
    seconds_left = fleet.settings[0].bounds.stop_seconds - (
        trio.current_time() - started_at
    )
    nursery.cancel_scope.cancel()
    # one blocked turn of the event loop may delay the end
    assert seconds_left > KILL_MARGIN_SECONDS - 0.1


@pytest.fixture
async def hanging_fleet(fleet, monkeypatch):
    """A fleet whose only target in use hangs and has one slot; short stops."""
    fleet.targets[1].mode = 'hang'
    monkeypatch.setattr(_stop, 'NOTICE_SECONDS', SHORT_NOTICE_SECONDS)
    set_route_times(fleet, LONG_TIMEOUT_SECONDS, LONG_TIMEOUT_SECONDS / 2)
    for number, state in enumerate(('draining', 'ready', 'draining')):
        registered = registration(
            fleet.settings[number].target_address, state=state
        )
        registered['info']['slots'] = 1
        fleet.store.put(f'servers/t{number}', registered)
    for daemon in fleet.daemons:
        settings = daemon._settings
        bounds = dataclasses.replace(
            settings.bounds, stop_seconds=SHORT_STOP_SECONDS
        )
        shorter = dataclasses.replace(settings, bounds=bounds)
        daemon._settings = shorter
        daemon._reload = lambda shorter=shorter: Ok(shorter)
    await trio.sleep(2)
    return fleet


def set_route_times(fleet, timeout_seconds, target_latency_seconds):
    """Publish a configuration with these times, in seconds, at all routes."""
    cfg = configuration(2)
    for entry in cfg['resources']:
        if entry['entry_type'] == 'routes':
            entry['spec']['timeout_s'] = timeout_seconds
            entry['spec']['target_latency_s'] = target_latency_seconds
    fleet.store.put('op/config', cfg)


@pytest.fixture
async def short_objective_fleet(fleet):
    """A fleet whose lookups are overdue after half a second."""
    set_route_times(fleet, LONG_TIMEOUT_SECONDS, 0.4)
    await trio.sleep(0.5)
    return fleet


async def send_request(fleet, number, path, answers, **more):
    """Send a request; set ``answers[path]`` to its status and verdict."""
    answer, _ = await fleet.send(number, path, b'x', patience_ms=30_000, **more)
    answers[path] = (answer.status, answer.header(b'x-verdict'))


@contextlib.asynccontextmanager
async def sent_requests(fleet, *requests):
    """Start requests 0.2 s apart, and yield their answers by path.

    At the end of the context, requests without an answer are cancelled.

    :param requests: pairs of a daemon's number and a path.
    """
    answers = {}
    async with trio.open_nursery() as nursery:
        for number, path in requests:
            nursery.start_soon(send_request, fleet, number, path, answers)
            await trio.sleep(0.2)
        yield answers
        nursery.cancel_scope.cancel()


async def stop(fleet, number):
    """Stop a daemon and wait for its end."""
    fleet.daemons[number].stop()
    with trio.fail_after(SHORT_STOP_SECONDS):
        await fleet.ended[number].wait()


async def test_a_queued_request_is_refused_when_its_entry_stops(hanging_fleet):
    requests = ((1, '/book/first'), (0, '/book/second'))
    async with sent_requests(hanging_fleet, *requests) as answers:
        await stop(hanging_fleet, 0)
    assert answers['/book/second'] == (503, b'not-run')
    assert not [run for run in hanging_fleet.runs() if run[1] == '/book/second']


@pytest.mark.parametrize('path', ['/book/1', '/look/1'])
async def test_a_run_that_outlasts_its_daemon_is_answered(hanging_fleet, path):
    async with sent_requests(hanging_fleet, (0, path)) as answers:
        await stop(hanging_fleet, 0)
    assert answers[path] == (502, b'may-have-run')


async def test_a_late_call_of_a_target_is_refused_and_not_cut(hanging_fleet):
    # the daemon does not end while this request runs
    async with sent_requests(hanging_fleet, (0, '/book/long')) as answers:
        hanging_fleet.daemons[0].stop()
        await trio.sleep(SHORT_NOTICE_SECONDS + 0.2)
        with trio.fail_after(0.2):
            await send_request(hanging_fleet, 0, '/open/call', answers, key='')
    assert answers['/open/call'] == (503, b'not-run')
    assert not [run for run in hanging_fleet.runs() if run[1] == '/open/call']


async def test_a_stopping_owner_refuses_its_queued_requests(hanging_fleet):
    requests = ((0, '/book/first'), (0, '/book/second'))
    async with sent_requests(hanging_fleet, *requests) as answers:
        # a new process: one that drains does not become ready again
        registered = registration(
            hanging_fleet.settings[0].target_address, born=6
        )
        hanging_fleet.store.put('servers/t0', registered)
        await trio.sleep(1.5)
        hanging_fleet.daemons[1].stop()
        await trio.sleep(0.3)
    assert answers['/book/second'] == (200, None)


async def test_a_stopping_owner_reports_its_running_requests(hanging_fleet):
    async with sent_requests(hanging_fleet, (0, '/book/1')) as answers:
        await stop(hanging_fleet, 1)
        await trio.sleep(0.2)
    assert answers['/book/1'] == (502, b'may-have-run')


async def test_a_request_that_its_daemon_cuts_is_logged(fleet, monkeypatch):
    monkeypatch.setattr(_stop.PlannedStop, 'run', end_at_once)
    for target in fleet.targets:
        target.mode = 'hang'
    async with trio.open_nursery() as nursery:
        nursery.start_soon(cut, fleet)
        await trio.sleep(0.2)
        fleet.daemons[0].stop()
        await fleet.ended[0].wait()
    lines = fleet.daemons[0].events.json_lines()
    assert lines.count(b'request-cut') == lines.count(b'attempt-cut') == 1


async def end_at_once(*_):
    await trio.lowlevel.checkpoint()


async def cut(fleet):
    with pytest.raises(ConnLostError):
        await fleet.send(0, '/look/1')


@pytest.mark.parametrize('stopping', [False, True])
async def test_a_lookup_is_not_abandoned_when_it_may_not_be_retried(
    short_objective_fleet,
    stopping,
    monkeypatch,
):
    for target in short_objective_fleet.targets:
        target.work_seconds = 1.2
    answers = {}
    async with trio.open_nursery() as nursery:
        if stopping:
            short_objective_fleet.daemons[0].stop()
        else:
            monkeypatch.setattr(RetryTokenBucket, 'take', lambda _: False)
        nursery.start_soon(
            send_request, short_objective_fleet, 0, '/look/slow', answers
        )
    assert answers['/look/slow'] == (200, None)
    assert (
        sum(run[1] == '/look/slow' for run in short_objective_fleet.runs()) == 1
    )


async def test_a_lookup_is_retried_when_its_target_is_silent(
    short_objective_fleet,
):
    short_objective_fleet.targets[0].mode = 'hang'
    answers = {}
    for number in range(6):
        await send_request(
            short_objective_fleet, number % 3, f'/look/{number}', answers
        )
    assert set(answers.values()) == {(200, None)}


@pytest.mark.parametrize('seconds', [0.25, 0.6])
async def test_a_blocked_event_loop_at_the_end_of_a_stop_cuts_no_answer(
    hanging_fleet, seconds
):
    planned_stop = hanging_fleet.daemons[0]._stop
    cancel_running = planned_stop._cancel_running

    def block_then_cancel():
        time.sleep(seconds)
        cancel_running()

    planned_stop._cancel_running = block_then_cancel
    async with sent_requests(hanging_fleet, (0, '/book/1')) as answers:
        hanging_fleet.daemons[0].stop()
        with trio.fail_after(2 * SHORT_STOP_SECONDS):
            await hanging_fleet.ended[0].wait()
    assert answers['/book/1'] == (502, b'may-have-run')


async def test_the_last_answers_are_written_though_no_time_is_left(
    hanging_fleet, monkeypatch
):
    monkeypatch.setattr(_stop, 'LAST_ANSWERS_SECONDS', -1)
    async with sent_requests(hanging_fleet, (0, '/book/1')) as answers:
        hanging_fleet.daemons[0].stop()
        with trio.fail_after(2 * SHORT_STOP_SECONDS):
            await hanging_fleet.ended[0].wait()
    assert answers['/book/1'] == (502, b'may-have-run')


async def test_a_stop_shorter_than_its_notice_answers_running_requests(
    hanging_fleet,
):
    async with sent_requests(hanging_fleet, (0, '/book/1')) as answers:
        with trio.fail_after(1):
            await hanging_fleet.daemons[0]._stop.run(0.5)
        await trio.sleep(0.1)
    assert answers['/book/1'] == (502, b'may-have-run')


async def test_an_owner_waits_for_a_request_whose_entry_is_gone(hanging_fleet):
    hanging_fleet.targets[1].mode = 'ok'
    hanging_fleet.targets[1].work_seconds = 1.0
    with trio.move_on_after(0.2):
        await send_request(hanging_fleet, 0, '/book/1', {})
    started_at = trio.current_time()
    hanging_fleet.daemons[1].stop()
    await hanging_fleet.ended[1].wait()
    assert trio.current_time() - started_at > 0.7


async def test_no_attempt_is_abandoned_once_a_stop_has_begun(
    short_objective_fleet,
):
    for target in short_objective_fleet.targets:
        target.work_seconds = 1.2
    sender = short_objective_fleet.daemons[0]._sender
    answers = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            send_request, short_objective_fleet, 0, '/look/slow', answers
        )
        await trio.sleep(0.1)
        (attempt,) = sender._running_attempts
        seconds_left = (
            attempt.overdue_at - short_objective_fleet.daemons[0]._clock.now()
        )
        # stop the daemon between two of its checks for overdue attempts
        await trio.sleep(seconds_left - 0.002)
        short_objective_fleet.daemons[0].stop()
    assert answers['/look/slow'] == (200, None)
    assert (
        sum(run[1] == '/look/slow' for run in short_objective_fleet.runs()) == 1
    )


async def test_a_working_target_is_kept_if_no_other_grants_a_slot(
    short_objective_fleet, monkeypatch
):
    fleet = short_objective_fleet
    monkeypatch.setattr(_balancer, 'OTHER_INSTANCE_COST', 10)
    fleet.targets[0].work_seconds = 1.2
    for daemon in fleet.daemons[1:]:
        daemon._owner.slot_queue.running = daemon._owner.slot_queue.slots
    answer, answer_body = await fleet.send(0, '/look/slow')
    assert answer.status == 200
    assert answer_body.startswith(b't0')
    assert len([run for run in fleet.runs() if run[1] == '/look/slow']) == 1


@pytest.mark.parametrize('first', [0, 1])
async def test_another_target_takes_over_from_one_that_hangs(
    short_objective_fleet, monkeypatch, first
):
    fleet = short_objective_fleet
    sender = fleet.daemons[0]._sender
    monkeypatch.setattr(
        sender._parts.balancer, '_host', fleet.targets[first].address[:9]
    )
    monkeypatch.setattr(_balancer, 'OTHER_INSTANCE_COST', 10)
    fleet.targets[first].mode = 'hang'
    answer, _ = await fleet.send(0, '/look/slow')
    assert answer.status == 200
    await trio.sleep(RECONNECT_SECONDS + 0.15)
    assert fleet.targets[first].disconnects == 1


async def test_a_second_stop_signal_does_not_end_the_process(fleet, nursery):
    daemon = MeshDaemon(
        fleet.settings[0],
        lambda: Ok(fleet.settings[0]),
        PlatformStore,
        PlatformDialect(),
    )
    nursery.start_soon(daemon._wait_for_stop_signal)
    await trio.sleep(0.05)
    handler = signal.getsignal(signal.SIGINT)
    signal.raise_signal(signal.SIGINT)
    await trio.sleep(0.05)
    assert daemon._stopping.is_set()
    assert signal.getsignal(signal.SIGINT) == handler


@pytest.mark.parametrize('work_seconds', [0.3, 5.0])
async def test_no_request_is_passed_on_and_cut_at_the_end_of_a_stop(
    hanging_fleet, nursery, work_seconds
):
    fleet = hanging_fleet
    fleet.targets[1].mode = 'ok'
    fleet.targets[1].work_seconds = work_seconds
    fleet.targets[1].executed.clear()
    answers = {}

    async def send(path):
        with contextlib.suppress(ConnLostError):
            await send_request(fleet, 0, path, answers)

    fleet.daemons[0].stop()
    number = 0
    while not fleet.ended[0].is_set():
        number += 1
        kind = 'book' if number % 2 else 'look'
        nursery.start_soon(send, f'/{kind}/{number}')
        await trio.sleep(0.05)
    await trio.sleep(0.2)
    ran = {path for _, path, _, _ in fleet.targets[1].executed}
    assert ran
    assert ran <= answers.keys()
    refused = {path for path, (status, _) in answers.items() if status == 503}
    assert refused
    assert not refused & ran
    assert (200, None) in answers.values() or work_seconds > 1
