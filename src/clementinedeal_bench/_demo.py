"""The demo: runs a whole deployment on loopback and injects faults."""

import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from clementinedeal_bench._call_records import CallRecord
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._declarations import (
    read_declaration,
    shift_ports,
    write_declaration,
)
from clementinedeal_bench._demo_steps import DemoSteps
from clementinedeal_bench._demo_traffic import build_scenario, spread_rate
from clementinedeal_bench._fleet import Fleet, FleetSettings
from clementinedeal_bench._report import check_lines, step_lines
from clementinedeal_bench._timeline_page import write_timeline

MAX_TRAFFIC_SECONDS = 3600.0  # the traffic ends earlier, with the last step


@dataclass(frozen=True, slots=True, kw_only=True)
class DemoSettings:
    """How the demo runs.

    :param declaration: path of the declaration to launch (YAML).
    :param fleet: how its processes are launched.
    :param step_seconds: length of each step.
    :param rate: requests per second of all accounts together.
    :param port_offset: added to every port of the declaration.
    """

    declaration: str
    fleet: FleetSettings
    step_seconds: float = 6.0
    rate: float = 60.0
    port_offset: int = 0


class Demo:
    """Launches a fleet, runs the steps under traffic and reports results."""

    def __init__(self, settings: DemoSettings) -> None:
        """Read the declaration.

        :param settings: how to run.
        :raises ClementinedealError: the declaration can't be read or is not
            valid.
        """
        self._settings = settings
        self._cfg = shift_ports(
            read_declaration(settings.declaration),
            settings.port_offset,
        )
        self._fleet = Fleet(self._cfg, settings.fleet)
        self._records: list[CallRecord] = []
        self._steps = DemoSteps(
            self._fleet, self._records, settings.step_seconds
        )

    async def run(self) -> list[str]:
        """Run the demo and return the lines of its report.

        Also writes the histories, the declaration and the time line to the
        folder of the settings. All processes have ended on return.

        :raises BenchError: a process ended early or was not ready in time.
        """
        started_at = time.monotonic()
        try:
            await self._fleet.start()
            sys.stdout.write(
                f'{len(self._cfg.instances)} daemons and '
                f'{len(self._cfg.targets)} targets are up after '
                f'{time.monotonic() - started_at:.1f} s\n',
            )
            await self._run_steps_under_traffic()
            return await self._write_report()
        finally:
            self._fleet.close()

    async def _run_steps_under_traffic(self) -> None:
        rates = spread_rate(self._cfg, self._settings.rate)
        scenario = build_scenario(self._cfg, rates, MAX_TRAFFIC_SECONDS)
        caller = Caller(scenario, self._records.append)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(caller.run)
            await self._steps.run()
            caller.stop()

    async def _write_report(self) -> list[str]:
        await self._steps.collect_executions(self._fleet.live_targets())
        folder = self._settings.fleet.folder
        executions = self._steps.executions
        _write_lines(folder / 'history.jsonl', self._records)
        _write_lines(folder / 'executions.jsonl', executions)
        lines = [
            line
            for step in self._steps.steps
            for line in step_lines(step, self._records)
        ]
        lines.append('== checks of the whole run')
        lines += check_lines(self._cfg, self._records, executions)
        lines.append(f'histories: {folder}/history.jsonl, executions.jsonl')
        declaration = folder / 'declaration.yaml'
        write_declaration(self._cfg, declaration)
        lines.append(await write_timeline(declaration, folder))
        return lines


def _write_lines(path: Path, records: Sequence[object]) -> None:
    path.write_bytes(msgspec.json.Encoder().encode_lines(records))
