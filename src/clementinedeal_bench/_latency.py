"""Measures added latency and processor time of one and two hops.

One hop is a call through the daemon beside the target; two hops are a call
through an entry that forwards it to the owner, the daemon beside the target.
"""

import secrets
import time
from dataclasses import dataclass

import msgspec
import trio

from clementinedeal_bench._call_records import CallOutcome, CallRecord
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._core_meter import CoreMeter, DaemonCost
from clementinedeal_bench._fleet import Fleet, FleetSettings
from clementinedeal_bench._latency_config import (
    ENTRY,
    ONE_HOP,
    OWNER,
    TWO_HOPS,
    build_config,
)
from clementinedeal_bench._scenario import AccountLoad, RequestKind, Scenario
from clementinedeal_bench._summary import LatencyPercentiles, measure_latency

DIRECT = 'direct'  # names the calls that go to the target without a daemon
WARM_UP_SECONDS = 3.0  # of each warm-up run
IDLE_SECONDS = 5.0  # over which the idle processor time is measured
START_TIMEOUT_SECONDS = 60.0  # for warm-up runs, until all calls are answered


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencySettings:
    """How latency is measured.

    :param fleet: how processes are launched.
    :param base_port: first of the ports used.
    :param seconds: length of the measurement.
    :param rate: requests per second sent to the entry daemon, half of them for
        the target beside it and half for the other target. The target beside
        the entry also receives half of this rate directly.
    """

    fleet: FleetSettings
    base_port: int = 24_000
    seconds: float = 20.0
    rate: float = 108.0


class LatencyReport(msgspec.Struct, frozen=True):
    """Results; the fields are the keys of the printed JSON line.

    Latencies are in milliseconds from the sending of a request, so that they
    exclude delays of the caller's timer. The ``added`` ones are differences
    from the percentile of direct calls. ``entry`` and ``owner`` hold the
    processor time of the two daemons, ``not_answered`` the number of calls
    without a complete answer.
    """

    rate: float
    direct: LatencyPercentiles
    one_hop: LatencyPercentiles
    two_hops: LatencyPercentiles
    one_hop_added_p50: float
    one_hop_added_p99: float
    two_hops_added_p50: float
    two_hops_added_p99: float
    entry: DaemonCost
    owner: DaemonCost
    not_answered: int


class LatencyRun:
    """Runs two daemons with a target each, and measures calls through one."""

    def __init__(self, settings: LatencySettings) -> None:
        """Create a run.

        :param settings: how to measure.
        """
        self._settings = settings
        self._key = secrets.token_hex()
        self._cfg = build_config(settings.base_port, self._key)
        self._fleet = Fleet(self._cfg, settings.fleet)
        self._records: list[CallRecord] = []
        self._meters: dict[str, CoreMeter] = {}

    async def run(self) -> LatencyReport:
        """Start the processes, measure, end them and return the results.

        :raises BenchError: a process ended early or was not ready in time.
        """
        try:
            await self._fleet.start()
            self._meters = {
                name: CoreMeter(self._fleet.pid(name))
                for name in (ENTRY, OWNER)
            }
            await self._measure_usage()
        finally:
            self._fleet.close()
        return self._make_report()

    async def _measure_usage(self) -> None:
        await trio.sleep(IDLE_SECONDS)
        for idle_meter in self._meters.values():
            idle_meter.end_idle()
        await self._warm_up()
        self._records.clear()
        for meter in self._meters.values():
            meter.begin_busy()
        await self._send_requests(self._settings.seconds)
        for busy_meter in self._meters.values():
            busy_meter.end_busy()

    async def _warm_up(self) -> None:
        has_unanswered = True
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while has_unanswered and time.monotonic() < deadline:
            self._records.clear()
            await self._send_requests(WARM_UP_SECONDS)
            has_unanswered = any(
                call.outcome is not CallOutcome.ANSWERED
                for call in self._records
            )

    async def _send_requests(self, seconds: float) -> None:
        entry = self._cfg.instances[ENTRY].caller
        target = self._cfg.targets[ONE_HOP].address
        groups = (
            (ONE_HOP, entry, f'/{ONE_HOP}/1'),
            (TWO_HOPS, entry, f'/{TWO_HOPS}/1'),
            (DIRECT, target, f'/{ONE_HOP}/1'),
        )
        async with trio.open_nursery() as nursery:
            for name, address, path in groups:
                scenario = self._make_scenario(name, address, path, seconds)
                caller = Caller(scenario, self._records.append)
                nursery.start_soon(caller.run)

    def _make_scenario(
        self,
        name: str,
        address: str,
        path: str,
        seconds: float,
    ) -> Scenario:
        load = AccountLoad(
            requests=(RequestKind(service=name, path=path),),
            key='' if name == DIRECT else self._key,
            rate=self._settings.rate / 2,
        )
        return Scenario(
            daemons=(address,),
            accounts={name: load},
            seconds=seconds,
        )

    def _make_report(self) -> LatencyReport:
        direct, one_hop, two_hops = (
            self._latency_of(name) for name in (DIRECT, ONE_HOP, TWO_HOPS)
        )
        answered = direct.count + one_hop.count + two_hops.count
        return LatencyReport(
            rate=self._settings.rate,
            direct=direct,
            one_hop=one_hop,
            two_hops=two_hops,
            one_hop_added_p50=one_hop.p50 - direct.p50,
            one_hop_added_p99=one_hop.p99 - direct.p99,
            two_hops_added_p50=two_hops.p50 - direct.p50,
            two_hops_added_p99=two_hops.p99 - direct.p99,
            entry=self._meters[ENTRY].cost(one_hop.count + two_hops.count),
            owner=self._meters[OWNER].cost(two_hops.count),
            not_answered=len(self._records) - answered,
        )

    def _latency_of(self, name: str) -> LatencyPercentiles:
        return measure_latency(
            call.end - call.sent
            for call in self._records
            if call.account == name and call.outcome is CallOutcome.ANSWERED
        )
