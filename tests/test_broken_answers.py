"""Answers that are cut, or whose head is no HTTP, are no answers."""

import pytest
import trio
from tests.broken_answer_standin import BrokenAnswerStandIn, send_and_end
from tests.store_standin import configuration

from clementinedeal._events import EventLog
from clementinedeal._pool import ConnPool
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh._contracts import CallContext
from clementinedeal.mesh._target_client import BufferedRequest, TargetClient
from clementinedeal.platform import PlatformDialect

# More than the buffers of both sockets take.
UPLOAD = bytes(16 << 20)
# A reset wakes the task that writes and the one that reads in any order, and
# only the first of them gets the error.
TRIES = 20
HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'


async def call_target(address, body=b'x'):
    """Return the outcome of a call to a target."""
    clock = MonotonicClock()
    client = TargetClient(
        address, ConnPool(clock), PlatformDialect(), clock, EventLog('i', '1')
    )
    headers = ((b'host', b'x'), (b'attempt-id', b'r1'))
    request = BufferedRequest('POST', '/book/1', headers, body)
    context = CallContext(
        req_id='r1',
        seconds_left=5.0,
        target='t1',
        account='',
        caller_service='',
    )
    return await client.call(request, context)


def assert_not_delivered(outcome):
    """Check that the caller gets no answer; the request may have run."""
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert outcome.reason is Reason.ANSWER_INCOMPLETE
    assert not outcome.status
    assert not outcome.body


@pytest.mark.parametrize('status', [b'200 OK', b'404 No', b'500 Failed'])
@pytest.mark.parametrize('end', ['reset', 'fin-reset'])
async def test_part_of_an_answer_is_not_delivered_if_it_is_reset_during_upload(
    nursery, status, end
):
    head = HEAD.replace(b'200 OK', status)
    target = BrokenAnswerStandIn(head + b'\r\npart', end)
    await target.start(nursery)
    for _ in range(TRIES):
        assert_not_delivered(await call_target(target.address, UPLOAD))


@pytest.mark.parametrize(
    'framing',
    [
        b'content-length: 9\r\n\r\npart',
        b'transfer-encoding: chunked\r\n\r\n4\r\npart\r\n',
    ],
)
async def test_part_of_a_framed_answer_is_not_delivered(nursery, framing):
    target = BrokenAnswerStandIn(HEAD + framing, end='reset')
    await target.start(nursery)
    for body in (b'x', UPLOAD):
        assert_not_delivered(await call_target(target.address, body))


async def test_answer_without_length_is_delivered_if_its_connection_ends(
    nursery,
):
    target = BrokenAnswerStandIn(HEAD + b'\r\nwhole')
    await target.start(nursery)
    for body in (b'x', UPLOAD):
        outcome = await call_target(target.address, body)
        assert outcome.verdict is Verdict.RAN
        assert outcome.body == b'whole'


async def test_early_answer_with_a_length_is_delivered_before_a_reset(nursery):
    answer = HEAD + b'content-length: 5\r\n\r\nwhole'
    target = BrokenAnswerStandIn(answer, end='reset')
    await target.start(nursery)
    for _ in range(TRIES):
        outcome = await call_target(target.address, UPLOAD)
        assert outcome.verdict is Verdict.RAN
        assert outcome.body == b'whole'


def damaged(status_line=b'200 OK', end=b'content-length: 2\r\n\r\nok'):
    """Return an answer of a fleet's target, without its request's id."""
    head = b'HTTP/1.1 %b\r\nattempt-id: %%b\r\nserver-seal: s\r\n%b'
    return head % (status_line, end)


# By case: the answer, and how its connection ends.
FLEET_CASES = {
    'reset': (damaged(end=b'\r\npart'), 'reset'),
}


@pytest.mark.parametrize('case', FLEET_CASES)
async def test_callers_get_no_broken_answer(fleet, case):
    broken_answer, end = FLEET_CASES[case]

    async def serve_broken(conn, head):
        stream = conn._h11_stream.stream
        blob = broken_answer % head.header(b'attempt-id')
        await send_and_end(stream, blob, end)

    document = configuration(2)
    for item in document['resources']:
        if item['entry_type'] == 'limits':
            item['spec']['max_body_bytes'] = len(UPLOAD)
    fleet.store.put('op/config', document)
    await trio.sleep(2)  # the time in which the document is in force
    for target in fleet.targets:
        target.serve_instead = serve_broken
    for number in range(TRIES):
        answer, body = await fleet.send(number % 3, '/book/1', UPLOAD)
        assert answer.status == 502, (answer, body)
        assert answer.header(b'server-seal') is None
        assert answer.header(b'x-reason') != b'target-failed'
