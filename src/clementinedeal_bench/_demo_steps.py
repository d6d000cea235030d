"""Steps of the demo: each injects one fault or change under traffic."""

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

WARM_UP_TIMEOUT_SECONDS = 40.0  # for an answer to each account
# Longest wait until a slow target is taken out of use.
DETECTION_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.1
OVERUSE_FACTOR = 4.0  # requests sent, as a multiple of the account's rate
# bodies of ``PUT /control/mode`` at a target
SLOW_MODE_BODY = b'{"mode": "slow", "factor": 20}'
HEALTHY_MODE_BODY = b'{"mode": "healthy"}'


class DemoSteps:
    """Runs the steps one after the other and adds notes on their results.

    ``steps`` holds the steps that have begun, ``executions`` the executions
    read from the targets so far.
    """

    def __init__(
        self,
        fleet: Fleet,
        records: list[CallRecord],
        step_seconds: float,
    ) -> None:
        """Create the steps.

        :param fleet: the deployment; it must run before the steps do.
        :param records: the calls; the callers append each that completes.
        :param step_seconds: length of each step.
        """
        self._fleet = fleet
        self._cfg = fleet.cfg
        self._records = records
        self._step_seconds = step_seconds
        self.steps: list[DemoStep] = []
        self.executions: list[Execution] = []

    async def run(self) -> None:
        """Run all steps; the fleet must be up and under traffic."""
        for run_step in (
            self._warm_up,
            self._send_ordinary_traffic,
            self._kill_daemon,
            self._kill_target,
            self._slow_target,
            self._stop_daemon,
            self._switch_preset,
            self._withdraw_key,
            self._exceed_rate,
        ):
            await run_step()

    async def collect_executions(self, targets: Iterable[Target]) -> None:
        """Read the executions of targets and add them to ``executions``.

        :param targets: targets to read, each only once in a run of the demo.
        """
        for executions in await gather(read_executions, targets):
            self.executions.extend(executions or ())

    async def _warm_up(self) -> None:
        step = self._begin_step(
            'start: token holders wait until earlier leases end'
        )
        unanswered_accounts = set(self._cfg.accounts)
        with trio.move_on_after(WARM_UP_TIMEOUT_SECONDS):
            while unanswered_accounts:
                await trio.sleep(POLL_INTERVAL_SECONDS)
                unanswered_accounts -= {
                    call.account for call in self._records if _is_answered(call)
                }
        step.ended_at = time.monotonic()
        unanswered = ', '.join(sorted(unanswered_accounts)) or 'none'
        step.notes.append(f'accounts without any answer so far: {unanswered}')

    async def _send_ordinary_traffic(self) -> None:
        await self._finish_step(self._begin_step('ordinary traffic'))

    async def _kill_daemon(self) -> None:
        name = sorted(self._cfg.instances)[-1]
        step = self._begin_step(f'kill -9 of daemon {name}')
        self._fleet.kill(name)
        await self._finish_step(step)
        step.notes.append('callers keep sending requests to the killed daemon')
        await self._fleet.restart_daemon(name)

    async def _kill_target(self) -> None:
        name = sorted(self._cfg.targets)[0]
        step = self._begin_step(f'kill -9 of target {name}')
        await self.collect_executions([self._cfg.targets[name]])
        self._fleet.kill(name)
        await self._finish_step(step)
        step.notes.append('its executions were read just before the kill')

    async def _slow_target(self) -> None:
        counts_before = await count_executions(self._fleet.live_targets())
        target = self._cfg.targets[
            max(counts_before, key=counts_before.__getitem__)
        ]
        step = self._begin_step(f'target {target.name} serves 20 times slower')
        await put(target.address, '/control/mode', SLOW_MODE_BODY)
        owner = self._cfg.instances[target.instance]
        with trio.move_on_after(DETECTION_TIMEOUT_SECONDS):
            await await_not_in_use(owner, target)
        elapsed_seconds = time.monotonic() - step.started_at
        counts_after = await count_executions([target])
        slow_executions = counts_after[target.name] - counts_before[target.name]
        detection = (
            'taken out of use'
            if elapsed_seconds < DETECTION_TIMEOUT_SECONDS
            else 'not taken out of use'
        )
        step.notes.append(
            f'{detection} after {elapsed_seconds:.1f} s '
            f'and {slow_executions} executions'
        )
        await self._finish_step(step)
        await put(target.address, '/control/mode', HEALTHY_MODE_BODY)

    async def _stop_daemon(self) -> None:
        name = sorted(self._cfg.instances)[-2]
        step = self._begin_step(f'planned stop of daemon {name}')
        is_clean_exit = await self._fleet.stop(name)
        elapsed_seconds = time.monotonic() - step.started_at
        await self._finish_step(step)
        address = self._cfg.instances[name].caller
        cut_calls = [
            call
            for call in step.calls(self._records)
            if call.daemon == address and call.outcome is CallOutcome.BROKEN
        ]
        step.notes.append(
            f'exited with status 0: {is_clean_exit}, '
            f'in {elapsed_seconds:.1f} s, '
            f'calls cut off: {len(cut_calls)}',
        )
        await self._fleet.restart_daemon(name)

    async def _switch_preset(self) -> None:
        step = self._begin_step('preset switch to peak')
        await self._publish(step, replace(self._cfg, preset=PresetName.PEAK))
        await self._finish_step(step)

    async def _withdraw_key(self) -> None:
        account = self._accounts_by_rate()[-1]
        step = self._begin_step(f'key of {account.name} withdrawn')
        published_at = time.monotonic()
        await self._publish_account(step, replace(account, key_digests=()))
        await self._finish_step(step)
        last_answer_at = max(
            self._answer_times(step, account.name), default=published_at
        )
        step.notes.append(
            f'last answer with the key {last_answer_at - published_at:.2f} s '
            'after publishing',
        )
        step = self._begin_step(f'key of {account.name} restored')
        published_at = time.monotonic()
        await self._publish_account(step, account)
        await self._finish_step(step)
        for first_answer_at in self._answer_times(step, account.name)[:1]:
            step.notes.append(
                f'first answer {first_answer_at - published_at:.2f} s '
                'after publishing',
            )

    async def _exceed_rate(self) -> None:
        account = self._accounts_by_rate()[0]
        rates = {account.name: OVERUSE_FACTOR * account.rate}
        scenario = build_scenario(self._cfg, rates, self._step_seconds)
        step = self._begin_step(
            f'{account.name} sends {OVERUSE_FACTOR:g} times '
            f'its {account.rate:g}/s',
        )
        await Caller(scenario, self._records.append).run()
        step.ended_at = time.monotonic()
        allowed_requests = account.burst + account.rate * (
            step.ended_at - step.started_at
        )
        answered_requests = len(self._answer_times(step, account.name))
        step.notes.append(
            f'{account.name} was answered {answered_requests} times, '
            f'rate and burst allow {allowed_requests:.0f}',
        )

    async def _publish_account(self, step: DemoStep, account: Account) -> None:
        accounts = {**self._cfg.accounts, account.name: account}
        await self._publish(step, replace(self._cfg, accounts=accounts))

    async def _publish(self, step: DemoStep, cfg: Config) -> None:
        version = self._cfg.version + 1
        self._cfg = replace(cfg, version=version)
        started_at = time.monotonic()
        await self._fleet.publisher.publish(self._cfg)
        daemons_at_version = await await_version(
            self._fleet.live_instances(),
            version,
        )
        elapsed_seconds = time.monotonic() - started_at
        step.notes.append(
            f'version {version} in force at {daemons_at_version} daemons '
            f'of {len(self._fleet.live_instances())} '
            f'after {elapsed_seconds:.2f} s',
        )

    def _answer_times(self, step: DemoStep, account: str) -> list[float]:
        return sorted(
            call.end
            for call in step.calls(self._records)
            if call.account == account and _is_answered(call)
        )

    def _accounts_by_rate(self) -> list[Account]:
        return sorted(
            self._cfg.accounts.values(),
            key=lambda account: account.rate,
        )

    def _begin_step(self, name: str) -> DemoStep:
        sys.stdout.write(f'{name} ...\n')
        sys.stdout.flush()
        step = DemoStep(name, time.monotonic())
        self.steps.append(step)
        return step

    async def _finish_step(self, step: DemoStep) -> None:
        await trio.sleep(self._step_seconds)
        step.ended_at = time.monotonic()


def _is_answered(call: CallRecord) -> bool:
    return call.outcome is CallOutcome.ANSWERED
