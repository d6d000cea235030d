"""The demo: a whole deployment on loopback, driven through its faults."""

import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
import trio

from clementinedeal import Config, PresetName
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._demo_traffic import build_scenario, spread_rate
from clementinedeal_bench._executions import Execution
from clementinedeal_bench._fleet import Fleet, FleetSettings
from clementinedeal_bench._history import CallRecord, Outcome
from clementinedeal_bench._observer import (
    gather,
    read_executions,
    read_status,
)
from clementinedeal_bench._ports import shift_ports
from clementinedeal_bench._publisher import read_declaration
from clementinedeal_bench._report import Step, check_lines, step_lines

LONGEST_SECONDS = 3600.0
SETTLE_SECONDS = 10.0
POLL_SECONDS = 0.1
OVERUSE = 4.0


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoSettings:
    """How the demo runs.

    Each step lasts ``seconds``; all accounts together send ``rate``
    requests a second. ``port_offset`` is added to every port of the
    declaration, but not to the platform's.
    """

    declaration: str
    fleet: FleetSettings
    seconds: float = 6.0
    rate: float = 60.0
    port_offset: int = 0


class Demo:
    """Runs the steps one after the other and reports them."""

    def __init__(self, settings: DemoSettings) -> None:
        """Read the declaration.

        :param settings: how to run.
        :raises ClementinedealError: the declaration is not acceptable.
        """
        self._settings = settings
        self._cfg = shift_ports(
            read_declaration(settings.declaration),
            settings.port_offset,
        )
        self._fleet = Fleet(self._cfg, settings.fleet)
        self._records: list[CallRecord] = []
        self._executions: list[Execution] = []
        self._steps: list[Step] = []

    async def run(self) -> list[str]:
        """Run the demo and return the report's lines."""
        began = time.monotonic()
        try:
            await self._fleet.start()
            _say(f'{_counts(self._cfg)} up in {time.monotonic() - began:.1f} s')
            await self._run_steps()
            return await self._report()
        finally:
            self._fleet.close()

    async def _run_steps(self) -> None:
        rates = spread_rate(self._cfg, self._settings.rate)
        scenario = build_scenario(self._cfg, rates, LONGEST_SECONDS)
        caller = Caller(scenario, self._records.append)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.run)
            await self._ordinary()
            await self._kill_daemon()
            await self._kill_target()
            await self._stop_daemon()
            await self._switch_preset()
            await self._withdraw_key()
            await self._overuse()
            caller.stop()

    async def _ordinary(self) -> None:
        step = self._begin('ordinary traffic')
        await self._finish(step)

    async def _kill_daemon(self) -> None:
        name = sorted(self._cfg.instances)[-1]
        step = self._begin(f'kill -9 of daemon {name}')
        self._fleet.kill(name)
        await self._finish(step)
        step.notes.append('callers go on trying the dead daemon')
        await self._fleet.restart_daemon(name)

    async def _kill_target(self) -> None:
        name = sorted(self._cfg.targets)[0]
        step = self._begin(f'kill -9 of target {name}')
        await self._collect([name])
        self._fleet.kill(name)
        await self._finish(step)
        step.notes.append('its record ends just before the kill')

    async def _stop_daemon(self) -> None:
        name = sorted(self._cfg.instances)[-2]
        step = self._begin(f'planned stop of daemon {name}')
        ended = await self._fleet.stop(name)
        await self._finish(step)
        address = self._cfg.instances[name].caller
        cut = [
            call
            for call in step.calls(self._records)
            if call.daemon == address and call.outcome is Outcome.BROKEN
        ]
        step.notes.append(f'ended well: {ended}, calls cut: {len(cut)}')
        await self._fleet.restart_daemon(name)

    async def _switch_preset(self) -> None:
        step = self._begin('preset switch to peak')
        await self._publish(step, replace(self._cfg, preset=PresetName.PEAK))
        await self._finish(step)

    async def _withdraw_key(self) -> None:
        name = sorted(self._cfg.accounts)[0]
        step = self._begin(f'key of {name} withdrawn')
        left = replace(self._cfg.accounts[name], key_digests=())
        accounts = {**self._cfg.accounts, name: left}
        published = time.monotonic()
        await self._publish(step, replace(self._cfg, accounts=accounts))
        await self._finish(step)
        step.notes.append(self._last_use(name, published))

    async def _overuse(self) -> None:
        name = sorted(self._cfg.accounts)[1]
        account = self._cfg.accounts[name]
        rates = {name: OVERUSE * account.rate}
        scenario = build_scenario(self._cfg, rates, self._settings.seconds)
        step = self._begin(
            f'{name} sends {OVERUSE:g} times its rate of {account.rate:g}/s',
        )
        await Caller(scenario, self._records.append).run()
        step.end = time.monotonic()
        answered = [
            call
            for call in step.calls(self._records)
            if call.account == name and call.outcome is Outcome.ANSWERED
        ]
        spent = step.end - step.begin
        step.notes.append(
            f'{name} was answered {len(answered)} times, its rate and burst '
            f'allow {account.burst + account.rate * spent:.0f}',
        )

    async def _publish(self, step: Step, cfg: Config) -> None:
        version = self._cfg.version + 1
        self._cfg = replace(cfg, version=version)
        began = time.monotonic()
        await self._fleet.publisher.publish(self._cfg)
        reached = await self._await_version(version)
        spent = time.monotonic() - began
        step.notes.append(
            f'version {version} in force at {reached} daemons '
            f'of {len(self._fleet.live_instances())} after {spent:.2f} s',
        )

    async def _await_version(self, version: int) -> int:
        deadline = time.monotonic() + SETTLE_SECONDS
        reached = 0
        while time.monotonic() < deadline:
            told = await gather(read_status, self._fleet.live_instances())
            reached = sum(
                each is not None and each.config_version >= version
                for each in told
            )
            if reached == len(told):
                break
            await trio.sleep(POLL_SECONDS)
        return reached

    def _last_use(self, account: str, published: float) -> str:
        ends = [
            call.end
            for call in self._records
            if call.account == account and call.outcome is Outcome.ANSWERED
        ]
        last = max(ends, default=published) - published
        return f'last answer to the key {last:+.2f} s from the publication'

    async def _collect(self, names: list[str]) -> None:
        targets = [self._cfg.targets[name] for name in names]
        for found in await gather(read_executions, targets):
            self._executions.extend(found or ())

    async def _report(self) -> list[str]:
        await self._collect([each.name for each in self._fleet.live_targets()])
        folder = self._settings.fleet.folder
        _write_lines(folder / 'history.jsonl', self._records)
        _write_lines(folder / 'executions.jsonl', self._executions)
        lines = [
            line
            for step in self._steps
            for line in step_lines(step, self._records)
        ]
        lines.append('== checks of the whole run')
        lines += check_lines(self._cfg, self._records, self._executions)
        lines.append(f'   history and executions: {folder}/*.jsonl')
        return lines

    def _begin(self, name: str) -> Step:
        _say(f'{name} ...')
        step = Step(name, time.monotonic())
        self._steps.append(step)
        return step

    async def _finish(self, step: Step) -> None:
        await trio.sleep(self._settings.seconds)
        step.end = time.monotonic()


def _write_lines(path: Path, entries: Sequence[object]) -> None:
    path.write_bytes(msgspec.json.Encoder().encode_lines(entries))


def _counts(cfg: Config) -> str:
    return f'{len(cfg.instances)} daemons, {len(cfg.targets)} targets'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
