"""Real daemon processes under faults; checked by the history checks."""

import os
import signal
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest
import trio

from clementinedeal import Config
from clementinedeal_bench._call_records import CallOutcome, CallRecord
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._declarations import read_declaration
from clementinedeal_bench._demo_traffic import build_scenario
from clementinedeal_bench._executions import Execution
from clementinedeal_bench._fleet import Fleet, FleetSettings
from clementinedeal_bench._fleet_watch import await_version
from clementinedeal_bench._report import check_lines
from clementinedeal_bench._status_reader import get, put, read_executions
from ports import free_address

INSTANCE_COUNT = 6
# Time limit for a start, a publication or the first answers.
START_SECONDS = 90
# Duration of each fault, and of the check after the withdrawal of a key.
FAULT_SECONDS = 3
SERVICES = ('status', 'booking', 'payment')


def reduce_config(cfg: Config) -> Config:
    """Reduce to six instances, two targets per service and two accounts."""
    names = sorted(cfg.instances)[:INSTANCE_COUNT]
    return replace(
        cfg,
        services={
            name: replace(cfg.services[name], floor=1) for name in SERVICES
        },
        presets={
            name: replace(preset, floors={})
            for name, preset in cfg.presets.items()
        },
        instances={
            name: replace(
                cfg.instances[name],
                caller=free_address(),
                peer=free_address(),
                control=free_address(),
                operator=free_address(),
            )
            for name in names
        },
        targets={
            f'{SERVICES[index % 3]}-{index}': replace(
                next(iter(cfg.targets.values())),
                name=f'{SERVICES[index % 3]}-{index}',
                service=SERVICES[index % 3],
                instance=name,
                address=free_address(),
            )
            for index, name in enumerate(names)
        },
        accounts={
            name: replace(cfg.accounts[name], rate=20.0, burst=20.0)
            for name in ('members-app', 'duluth-shop')
        },
    )


class FleetRun:
    """A fleet under traffic, and what its callers and targets recorded."""

    def __init__(self, folder: Path) -> None:
        self.cfg = reduce_config(read_declaration('examples/freshwater.yaml'))
        settings = FleetSettings(
            folder=folder,
            platform_address=free_address(),
            max_parallel_starts=INSTANCE_COUNT,
        )
        self.fleet = Fleet(self.cfg, settings)
        self.records: list[CallRecord] = []
        self.executions: list[Execution] = []

    async def wait_until(self, is_true: Callable[[], bool]) -> None:
        with trio.fail_after(START_SECONDS):
            while not is_true():  # noqa: ASYNC110
                await trio.sleep(0.1)

    def answered(self, account: str) -> bool:
        return any(
            call.account == account and call.outcome is CallOutcome.ANSWERED
            for call in self.records
        )

    async def publish(self, cfg: Config) -> None:
        self.cfg = replace(cfg, version=self.cfg.version + 1)
        await self.fleet.publisher.publish(self.cfg)
        live = self.fleet.live_instances()
        with trio.fail_after(START_SECONDS):
            await await_version(live, self.cfg.version)

    async def set_platform_mode(self, mode: str) -> None:
        body = msgspec.json.encode({'mode': mode})
        await put(self.fleet.publisher.address, '/operator/mode', body)

    async def status(self, name: str) -> dict[str, object]:
        where = self.cfg.instances[name].operator
        answer = await get(where, '/status')
        assert answer is not None
        return msgspec.json.decode(answer)


@pytest.fixture
async def run(tmp_path: Path):
    fleet_run = FleetRun(tmp_path)
    yield fleet_run
    fleet_run.fleet.close()


async def test_history_checks_pass_through_kills_freezes_and_outages(
    run: FleetRun,
):
    await run.fleet.start()
    rates = {'members-app': 18.0, 'duluth-shop': 18.0}
    caller = Caller(
        build_scenario(run.cfg, rates, 600),
        run.records.append,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.run)
        await run.wait_until(
            lambda: run.answered('members-app') and run.answered('duluth-shop'),
        )
        await inject_faults(run)
        await withdraw_key(run)
        caller.stop()
    for target in run.fleet.live_targets():
        run.executions.extend(await read_executions(target) or ())
    lines = check_lines(run.cfg, run.records, run.executions)
    assert [line for line in lines if 'FAULT' in line] == []


async def inject_faults(run: FleetRun) -> None:
    first, second, third = sorted(run.cfg.instances)[:3]
    run.fleet.kill(first)
    await trio.sleep(FAULT_SECONDS)
    await run.fleet.restart_daemon(first)
    frozen = run.fleet.pid(second)
    os.kill(frozen, signal.SIGSTOP)
    await trio.sleep(FAULT_SECONDS)
    os.kill(frozen, signal.SIGCONT)
    await run.set_platform_mode('down')
    run.fleet.kill(third)
    await run.fleet.restart_daemon(third)
    status = await run.status(third)
    assert status['config_version'] == run.cfg.version
    await run.set_platform_mode('up')


async def withdraw_key(run: FleetRun) -> None:
    account = replace(run.cfg.accounts['duluth-shop'], key_digests=())
    accounts = {**run.cfg.accounts, account.name: account}
    old = run.cfg
    await run.publish(replace(run.cfg, accounts=accounts))
    seen = len(run.records)
    await trio.sleep(FAULT_SECONDS)
    late = [
        call
        for call in run.records[seen:]
        if call.account == account.name
        and call.outcome is CallOutcome.ANSWERED
        and call.sent > run.records[seen - 1].end
    ]
    assert late == []
    await run.set_platform_mode('down')
    fourth = sorted(run.cfg.instances)[3]
    run.fleet.kill(fourth)
    await run.fleet.restart_daemon(fourth)
    status = await run.status(fourth)
    assert status['config_version'] == run.cfg.version
    run.cfg = replace(old, version=run.cfg.version)
