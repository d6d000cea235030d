"""Answers that are cut, or whose head is no HTTP, are no answers."""

import contextlib

import pytest
import trio
from tests.broken_answer_standin import BrokenAnswerStandIn, send_and_end
from tests.mesh_fleet import untimed_attempt
from tests.owner_standins import make_attempt
from tests.store_standin import configuration
from tests.test_target_call import make_call

from clementinedeal._events import EventLog
from clementinedeal._model import Target
from clementinedeal._operator_client import NoAnswerError, fetch
from clementinedeal._platform import HttpPlatform, PlatformError
from clementinedeal._pool import ConnPool
from clementinedeal._prober import Prober
from clementinedeal._replies import TargetAnswer
from clementinedeal._target_call import TargetCaller
from clementinedeal._timers import MonotonicClock
from clementinedeal._verdict import Reason, Verdict
from clementinedeal.mesh import _peer_client
from clementinedeal.mesh import _peer_wire as wire
from clementinedeal.mesh._contracts import CallContext, SourceError
from clementinedeal.mesh._outcomes import MeshOutcome, encode_outcome_header
from clementinedeal.mesh._peer_client import MeshPeerClient
from clementinedeal.mesh._target_client import BufferedRequest, TargetClient
from clementinedeal.platform import PlatformDialect, PlatformStore

# More than the buffers of both sockets take.
UPLOAD = bytes(16 << 20)
# A reset wakes the task that writes and the one that reads in any order, and
# only the first of them gets the error.
TRIES = 20
HEAD = b'HTTP/1.1 200 OK\r\nattempt-id: r1\r\nserver-seal: s\r\n'

BLANKS_AND_CONTROLS = [*range(0x21), 0x7F]
# Where a byte is put into the name of the header that gives the length.
PLACES = {
    'first': b'%ccontent-length: 2\r\n',
    'inside': b'content%c-length: 2\r\n',
    'last': b'content-length%c: 2\r\n',
}
BAD_STATUSES = [b'000', b'001', b'099', b'600', b'999']
# Whole answers but for one line of the head.
BAD_HEADS = {
    'status-000': b'HTTP/1.1 000 OK\r\n%bcontent-length: 2\r\n\r\nok',
    'status-600': b'HTTP/1.1 600 OK\r\n%bcontent-length: 2\r\n\r\nok',
    'blank-before-name': b'HTTP/1.1 200 OK\r\n%b x: y\r\n'
    b'content-length: 2\r\n\r\nok',
    'tab-before-name': b'HTTP/1.1 200 OK\r\n%b\tx: y\r\n'
    b'content-length: 2\r\n\r\nok',
    'blank-in-name': b'HTTP/1.1 200 OK\r\n%bx y: z\r\n'
    b'content-length: 2\r\n\r\nok',
    'control-in-name': b'HTTP/1.1 200 OK\r\n%bx\x01y: z\r\n'
    b'content-length: 2\r\n\r\nok',
    'line-feed-before-name': b'HTTP/1.1 200 OK\r\n%b\nx: y\r\n'
    b'content-length: 2\r\n\r\nok',
}


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


@pytest.mark.parametrize('status', BAD_STATUSES)
@pytest.mark.parametrize('end', [b'content-length: 2\r\n\r\nok', b'\r\nok'])
async def test_status_outside_of_http_is_no_answer(nursery, status, end):
    target = BrokenAnswerStandIn(HEAD.replace(b'200', status) + end)
    await target.start(nursery)
    assert_not_delivered(await call_target(target.address))


@pytest.mark.parametrize('place', PLACES)
async def test_blank_or_control_byte_in_a_header_name_is_no_answer(
    nursery, place
):
    for byte in BLANKS_AND_CONTROLS:
        target = BrokenAnswerStandIn(HEAD + PLACES[place] % byte + b'\r\nok')
        await target.start(nursery)
        outcome = await call_target(target.address)
        assert outcome.status == 0, (byte, outcome.headers, outcome.body)
        assert_not_delivered(outcome)


@pytest.mark.parametrize('line_end', [b'\r\n', b'\n'])
async def test_head_with_either_line_end_is_an_answer(nursery, line_end):
    lines = (*HEAD.splitlines(), b'x-note: \t a  b \t', b'content-length: 2')
    answer = line_end.join((*lines, b'', b'ok'))
    target = BrokenAnswerStandIn(answer)
    await target.start(nursery)
    outcome = await call_target(target.address)
    assert outcome.verdict is Verdict.RAN
    assert outcome.body == b'ok'
    assert (b'x-note', b'a  b') in outcome.headers


async def call_earlier_target(address):
    """Call a target as the product's own interface does."""
    caller = TargetCaller(ConnPool(MonotonicClock()))
    async with caller.call(make_call(address)) as reply:
        return isinstance(reply, TargetAnswer)


async def call_owner(address):
    clock = MonotonicClock()
    outcome = await MeshPeerClient(ConnPool(clock), clock).send_attempt(
        address,
        make_attempt(1),
        BufferedRequest('POST', '/', ((b'host', b'h'),), b'x'),
        untimed_attempt(),
    )
    return outcome.verdict is Verdict.RAN


async def read_store(address):
    pool = ConnPool(MonotonicClock())
    store = PlatformStore(address, pool, EventLog('i', '1'))
    with contextlib.suppress(SourceError):
        await store.read_target('t1')
        return True
    return False


async def read_platform(address):
    platform = HttpPlatform((address,), ConnPool(MonotonicClock()))
    with contextlib.suppress(PlatformError):
        await platform.read('t1')
        return True
    return False


async def read_operator_endpoint(address):
    with contextlib.suppress(NoAnswerError):
        await fetch(address, '/status')
        return True
    return False


async def probe_target(address):
    target = Target(name='t1', service='s', instance='i1', address=address)
    prober = Prober(ConnPool(MonotonicClock()), tuple, print)
    return await prober._is_back(target)


# Each returns whether it has accepted the answer.
READERS = {
    'target': call_earlier_target,
    'owner': call_owner,
    'store': read_store,
    'platform': read_platform,
    'operator': read_operator_endpoint,
    'probe': probe_target,
}
RAN = MeshOutcome(verdict=Verdict.RAN, reached=True, status=200)
TOLD = b'%b: %b\r\n' % (wire.TOLD_HEADER, encode_outcome_header(RAN, 'a1'))
STORE_ITEM = b'{"key": "servers/t1", "revision": 1, "at_rev": 1, "value": ""}'


def answer_for(reader, head):
    """Return an answer that a reader accepts if its head is in order."""
    answer = head % (TOLD if reader == 'owner' else b'server-seal: s\r\n')
    if reader != 'store':
        return answer
    length = b'content-length: %d' % len(STORE_ITEM)
    answer = answer.replace(b'content-length: 2', length)
    return answer.removesuffix(b'ok') + STORE_ITEM


@pytest.mark.parametrize('reader', READERS)
async def test_every_reader_accepts_a_head_in_order(nursery, reader):
    head = b'HTTP/1.1 200 OK\r\n%bx: y\r\ncontent-length: 2\r\n\r\nok'
    peer = BrokenAnswerStandIn(answer_for(reader, head))
    await peer.start(nursery)
    assert await READERS[reader](peer.address)


@pytest.mark.parametrize('head', BAD_HEADS)
@pytest.mark.parametrize('reader', READERS)
async def test_no_reader_accepts_a_damaged_head(
    nursery, monkeypatch, reader, head
):
    monkeypatch.setattr(_peer_client, 'QUERY_SECONDS', 0.2)
    peer = BrokenAnswerStandIn(answer_for(reader, BAD_HEADS[head]))
    await peer.start(nursery)
    assert not await READERS[reader](peer.address)


def damaged(status_line=b'200 OK', end=b'content-length: 2\r\n\r\nok'):
    """Return an answer of a fleet's target, without its request's id."""
    head = b'HTTP/1.1 %b\r\nattempt-id: %%b\r\nserver-seal: s\r\n%b'
    return head % (status_line, end)


# By case: the answer, and how its connection ends.
FLEET_CASES = {
    'reset': (damaged(end=b'\r\npart'), 'reset'),
    'status-000': (damaged(b'000 OK'), 'fin'),
    'status-600': (damaged(b'600 OK'), 'fin'),
    'blank': (damaged(end=b' content-length: 2\r\n\r\nok'), 'fin'),
    'control': (damaged(end=b'\ncontent-length: 2\r\n\r\nok'), 'fin'),
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
