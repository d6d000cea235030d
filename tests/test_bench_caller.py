"""The bench caller and how it classifies the answers to its requests."""

import json
from collections import Counter

import pytest

from clementinedeal_bench._call_records import CallOutcome, CallRecord
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._declarations import read_declaration
from clementinedeal_bench._executions import Execution
from clementinedeal_bench._report import check_lines
from clementinedeal_bench._scenario import (
    AccountLoad,
    RequestKind,
    Scenario,
    load_scenario,
)
from clementinedeal_bench._summary import by_account_and_service
from clementinedeal_bench._target import Target, TargetSettings
from clementinedeal_bench._web_messages import WebAnswer, WebRequest
from clementinedeal_bench._web_server import WebServer

DECLARATION = 'examples/freshwater.yaml'
REFUSAL = (
    ('x-request-id', 'r'),
    ('x-verdict', 'not-run'),
    ('x-reason', 'rate-exceeded'),
    ('retry-after', '2'),
)


async def run(nursery, handler, load: AccountLoad) -> list[CallRecord]:
    """Run one account against a server and return its calls."""
    server = WebServer(handler, max_connections=50)
    listener = await server.listen('127.0.0.1', 0)
    nursery.start_soon(server.serve, listener)
    port = listener.socket.getsockname()[1]
    scenario = Scenario(
        daemons=(f'127.0.0.1:{port}',),
        accounts={'shop': load},
        seconds=0.2,
    )
    records: list[CallRecord] = []
    await Caller(scenario, records.append).run()
    return records


def kind(**fields) -> RequestKind:
    return RequestKind(service='booking', path='/bookings', **fields)


@pytest.mark.parametrize(
    ('mode', 'outcome'),
    [
        ({}, CallOutcome.ANSWERED),
        ({'mode': 'wrong', 'wrong': 'body'}, CallOutcome.WRONG),
        ({'mode': 'wrong', 'wrong': 'status'}, CallOutcome.FAILED),
        ({'mode': 'short'}, CallOutcome.BROKEN),
        ({'mode': 'hang'}, CallOutcome.TIMEOUT),
    ],
)
async def test_each_kind_of_answer_gets_its_outcome(
    nursery, monkeypatch, mode, outcome
):
    """A damaged, failed or missing answer must not count as answered."""
    monkeypatch.setattr('clementinedeal_bench._caller.GRACE_SECONDS', 0.1)
    target = Target(TargetSettings(name='t', service_seconds=0))
    body = json.dumps(mode).encode()
    setup = WebRequest(method='PUT', target='/control/mode', body=body)
    await target.handle(setup)

    async def serve_with_request_id(req: WebRequest) -> WebAnswer:
        id_header = ('x-request-id', req.target)
        return await target.handle(
            WebRequest(
                method=req.method,
                target=req.target,
                headers=(*req.headers, id_header),
                body=req.body,
            ),
        )

    posts = kind(method='POST', body_bytes=9, timeout_ms=100)
    load = AccountLoad(requests=(posts,), workers=2)
    records = await run(nursery, serve_with_request_id, load)
    assert {record.outcome for record in records} == {outcome}
    if outcome is CallOutcome.WRONG:
        assert 'digest' in records[0].detail


async def test_refusals_of_an_open_loop_are_counted_by_reason(nursery):
    async def refuse(_req: WebRequest) -> WebAnswer:
        return WebAnswer(status=429, headers=REFUSAL)

    load = AccountLoad(requests=(kind(),), rate=200, key='k')
    records = await run(nursery, refuse, load)
    (summary,) = by_account_and_service(records)
    assert summary.requests == len(records) > 0
    assert summary.reasons == {'rate-exceeded': len(records)}
    assert summary.verdicts == {'not-run': len(records)}
    assert len({record.path for record in records}) == len(records)


def test_a_scenario_error_names_the_wrong_field(tmp_path):
    file = tmp_path / 'scenario.yaml'
    file.write_text('daemons: ["127.0.0.1:1"]\naccounts: {a: {rat: 1}}\n')
    assert 'rat' in str(load_scenario(str(file)).unwrap_err())
    file.write_text('daemons: [x]\naccounts: {a: {requests: []}}\n')
    assert 'accounts.a' in str(load_scenario(str(file)).unwrap_err())


def execution(mark: str, at: float, **fields) -> Execution:
    return Execution(
        target='booking-00',
        request_id=f'{at}',
        method='POST',
        path=f'/bookings/1?caller-request={mark}',
        body_sha256='',
        header_names=fields.get('header_names', ('host',)),
        start=at,
    )


def call(mark: str, **fields) -> CallRecord:
    return CallRecord(
        caller_request=mark,
        account='erie-shop',
        service='booking',
        method='POST',
        path='/bookings/1',
        daemon='d',
        due=0.0,
        **fields,
    )


def faults(records, executions) -> Counter[str]:
    cfg = read_declaration(DECLARATION)
    lines = check_lines(cfg, records, executions)
    return Counter(line.split()[0] for line in lines)


def test_the_report_finds_each_kind_of_fault():
    sound = [execution(f'{number}', 1.0) for number in range(20)]
    calls = [call(f'{number}', verdict='ran') for number in range(20)]
    assert faults(calls, sound) == {'ok': 5}
    twice = [*sound, execution('3', 2.0)]
    assert faults(calls, twice)['FAULT'] == 1
    refused = [*calls[1:], call('0', verdict='not-run')]
    assert faults(refused, sound)['FAULT'] == 1
    more = [*calls, *(call(f'{number}') for number in range(20, 25))]
    burst = [execution(f'{number}', 1.0) for number in range(25)]
    assert faults(more, burst)['FAULT'] == 1
    leaked = [execution('0', 1.0, header_names=('authorization',))]
    assert faults(calls, leaked)['FAULT'] == 1
    assert faults([call('0', outcome=CallOutcome.WRONG)], [])['FAULT'] == 1
