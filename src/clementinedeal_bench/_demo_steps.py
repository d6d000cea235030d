"""Steps of the demo: one fault or change each, under traffic."""

import sys
import time
from collections.abc import Iterable
from dataclasses import replace

import trio

from clementinedeal import Account, Config, PresetName, Target
from clementinedeal_bench._call_records import CallOutcome, CallRecord
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._demo_traffic import build_scenario
from clementinedeal_bench._executions import Execution
from clementinedeal_bench._fleet import Fleet
from clementinedeal_bench._fleet_watch import (
    await_not_in_use,
    await_version,
    count_executions,
)
from clementinedeal_bench._report import DemoStep
from clementinedeal_bench._status_reader import gather, put, read_executions

WARM_UP_SECONDS = 40.0
DETECTION_SECONDS = 20.0
POLL_SECONDS = 0.1
OVERUSE = 4.0
SLOW_MODE = b'{"mode": "slow", "factor": 20}'
HEALTHY_MODE = b'{"mode": "healthy"}'


class DemoSteps:
    """Runs the steps one after the other and notes what each showed."""

    def __init__(
        self,
        fleet: Fleet,
        records: list[CallRecord],
        seconds: float,
    ) -> None:
        """Create the steps.

        :param fleet: what to drive; it runs when the steps do.
        :param records: calls as they complete.
        :param seconds: length of each step.
        """
        self._fleet = fleet
        self._cfg = fleet.cfg
        self._records = records
        self._seconds = seconds
        self.steps: list[DemoStep] = []
        self.executions: list[Execution] = []

    async def run(self) -> None:
        """Run all steps."""
        for run_step in (
            self._warm_up,
            self._ordinary,
            self._kill_daemon,
            self._kill_target,
            self._slow_target,
            self._stop_daemon,
            self._switch_preset,
            self._withdraw_key,
            self._overuse,
        ):
            await run_step()

    async def collect(self, targets: Iterable[Target]) -> None:
        """Add what targets ran to the executions.

        :param targets: whom to ask, each once.
        """
        for found in await gather(read_executions, targets):
            self.executions.extend(found or ())

    async def _warm_up(self) -> None:
        step = self._begin('start: token holders wait out earlier leases')
        waiting = set(self._cfg.accounts)
        with trio.move_on_after(WARM_UP_SECONDS):
            while waiting:
                await trio.sleep(POLL_SECONDS)
                waiting -= {call.account for call in self._records if _ok(call)}
        step.ended_at = time.monotonic()
        never = ', '.join(sorted(waiting)) or 'none'
        step.notes.append(f'accounts without any answer so far: {never}')

    async def _ordinary(self) -> None:
        await self._finish(self._begin('ordinary traffic'))

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
        await self.collect([self._cfg.targets[name]])
        self._fleet.kill(name)
        await self._finish(step)
        step.notes.append('its record ends just before the kill')

    async def _slow_target(self) -> None:
        before = await count_executions(self._fleet.live_targets())
        target = self._cfg.targets[max(before, key=before.__getitem__)]
        step = self._begin(f'target {target.name} serves 20 times slower')
        await put(target.address, '/control/mode', SLOW_MODE)
        owner = self._cfg.instances[target.instance]
        with trio.move_on_after(DETECTION_SECONDS):
            await await_not_in_use(owner, target)
        spent = time.monotonic() - step.started_at
        after = await count_executions([target])
        slow = after[target.name] - before[target.name]
        word = 'set aside' if spent < DETECTION_SECONDS else 'not set aside'
        step.notes.append(f'{word} after {spent:.1f} s and {slow} executions')
        await self._finish(step)
        await put(target.address, '/control/mode', HEALTHY_MODE)

    async def _stop_daemon(self) -> None:
        name = sorted(self._cfg.instances)[-2]
        step = self._begin(f'planned stop of daemon {name}')
        ended = await self._fleet.stop(name)
        spent = time.monotonic() - step.started_at
        await self._finish(step)
        address = self._cfg.instances[name].caller
        cut = [
            call
            for call in step.calls(self._records)
            if call.daemon == address and call.outcome is CallOutcome.BROKEN
        ]
        step.notes.append(
            f'ended with status 0: {ended}, in {spent:.1f} s, '
            f'calls cut: {len(cut)}',
        )
        await self._fleet.restart_daemon(name)

    async def _switch_preset(self) -> None:
        step = self._begin('preset switch to peak')
        await self._publish(step, replace(self._cfg, preset=PresetName.PEAK))
        await self._finish(step)

    async def _withdraw_key(self) -> None:
        account = self._by_rate()[-1]
        step = self._begin(f'key of {account.name} withdrawn')
        published = time.monotonic()
        await self._publish_account(step, replace(account, key_digests=()))
        await self._finish(step)
        last = max(self._answers(step, account.name), default=published)
        step.notes.append(
            f'last answer to the key {last - published:.2f} s after publishing',
        )
        step = self._begin(f'key of {account.name} given back')
        published = time.monotonic()
        await self._publish_account(step, account)
        await self._finish(step)
        for first in self._answers(step, account.name)[:1]:
            step.notes.append(
                f'first answer {first - published:.2f} s after publishing',
            )

    async def _overuse(self) -> None:
        account = self._by_rate()[0]
        rates = {account.name: OVERUSE * account.rate}
        scenario = build_scenario(self._cfg, rates, self._seconds)
        step = self._begin(
            f'{account.name} sends {OVERUSE:g} times its {account.rate:g}/s',
        )
        await Caller(scenario, self._records.append).run()
        step.ended_at = time.monotonic()
        allowed = account.burst + account.rate * (
            step.ended_at - step.started_at
        )
        count = len(self._answers(step, account.name))
        step.notes.append(
            f'{account.name} was answered {count} times, '
            f'rate and burst allow {allowed:.0f}',
        )

    async def _publish_account(self, step: DemoStep, account: Account) -> None:
        accounts = {**self._cfg.accounts, account.name: account}
        await self._publish(step, replace(self._cfg, accounts=accounts))

    async def _publish(self, step: DemoStep, cfg: Config) -> None:
        version = self._cfg.version + 1
        self._cfg = replace(cfg, version=version)
        began = time.monotonic()
        await self._fleet.publisher.publish(self._cfg)
        reached = await await_version(
            self._fleet.live_instances(),
            version,
        )
        spent = time.monotonic() - began
        step.notes.append(
            f'version {version} in force at {reached} daemons '
            f'of {len(self._fleet.live_instances())} after {spent:.2f} s',
        )

    def _answers(self, step: DemoStep, account: str) -> list[float]:
        return sorted(
            call.end
            for call in step.calls(self._records)
            if call.account == account and _ok(call)
        )

    def _by_rate(self) -> list[Account]:
        return sorted(
            self._cfg.accounts.values(),
            key=lambda account: account.rate,
        )

    def _begin(self, name: str) -> DemoStep:
        sys.stdout.write(f'{name} ...\n')
        sys.stdout.flush()
        step = DemoStep(name, time.monotonic())
        self.steps.append(step)
        return step

    async def _finish(self, step: DemoStep) -> None:
        await trio.sleep(self._seconds)
        step.ended_at = time.monotonic()


def _ok(call: CallRecord) -> bool:
    return call.outcome is CallOutcome.ANSWERED
