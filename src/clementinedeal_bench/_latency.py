"""Added latency of one and two hops, and what a daemon spends on them."""

import hashlib
import os
import secrets
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import trio

from clementinedeal import (
    Account,
    Config,
    Instance,
    Preset,
    PresetName,
    Route,
    Service,
    Target,
)
from clementinedeal_bench._caller import Caller
from clementinedeal_bench._fleet import Fleet, FleetSettings
from clementinedeal_bench._history import CallRecord, Outcome
from clementinedeal_bench._scenario import AccountLoad, RequestKind, Scenario
from clementinedeal_bench._summary import Latency, measure

ENTRY = 'entry'
OWNER = 'owner'
ONE_HOP = 'near'
TWO_HOPS = 'far'
DIRECT = 'direct'
WARM_UP_SECONDS = 3.0
IDLE_SECONDS = 5.0
START_SECONDS = 60.0
ACCOUNT_RATE = 100_000.0
STAT_UTIME = 11  # field after the command's closing bracket
STAT_STIME = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class LatencySettings:
    """How latency is measured.

    ``rate`` requests a second enter the daemon, half of them for its own
    target; half as many go to that target directly.
    """

    fleet: FleetSettings
    base_port: int = 24_000
    seconds: float = 20.0
    rate: float = 108.0


class DaemonCost(msgspec.Struct, frozen=True):
    """Processor time of a daemon: user and system, as a share of a core."""

    requests: int
    idle_core_share: float
    busy_core_share: float
    requests_per_core_second: float


class LatencyReport(msgspec.Struct, frozen=True):
    """Latencies in milliseconds; ``added`` ones are above direct calls.

    They count from the sending, so that the caller's timer is left out.
    """

    rate: float
    direct: Latency
    one_hop: Latency
    two_hops: Latency
    one_hop_added_p50: float
    one_hop_added_p99: float
    two_hops_added_p50: float
    two_hops_added_p99: float
    entry: DaemonCost
    owner: DaemonCost
    not_answered: int


class LatencyRun:
    """Two daemons with a target each, and calls to one of them."""

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
        """Measure and return the figures."""
        try:
            await self._fleet.start()
            self._meters = {
                name: CoreMeter(self._fleet.pid(name))
                for name in (ENTRY, OWNER)
            }
            await self._measure()
        finally:
            self._fleet.close()
        return self._report()

    async def _measure(self) -> None:
        await trio.sleep(IDLE_SECONDS)
        for idle in self._meters.values():
            idle.end_idle()
        await self._warm_up()
        self._records.clear()
        for meter in self._meters.values():
            meter.begin_busy()
        await self._send(self._settings.seconds)
        for busy in self._meters.values():
            busy.end_busy()

    async def _warm_up(self) -> None:
        refused = True
        deadline = time.monotonic() + START_SECONDS
        while refused and time.monotonic() < deadline:
            self._records.clear()
            await self._send(WARM_UP_SECONDS)
            refused = any(
                call.outcome is not Outcome.ANSWERED for call in self._records
            )

    async def _send(self, seconds: float) -> None:
        entry = self._cfg.instances[ENTRY].caller
        target = self._cfg.targets[ONE_HOP].address
        groups = (
            (ONE_HOP, entry, f'/{ONE_HOP}/1'),
            (TWO_HOPS, entry, f'/{TWO_HOPS}/1'),
            (DIRECT, target, f'/{ONE_HOP}/1'),
        )
        async with trio.open_nursery() as nursery:
            for name, address, path in groups:
                scenario = self._scenario(name, address, path, seconds)
                caller = Caller(scenario, self._records.append)
                nursery.start_soon(caller.run)

    def _scenario(
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

    def _report(self) -> LatencyReport:
        direct, near, far = (
            self._latency(name) for name in (DIRECT, ONE_HOP, TWO_HOPS)
        )
        answered = direct.count + near.count + far.count
        return LatencyReport(
            rate=self._settings.rate,
            direct=direct,
            one_hop=near,
            two_hops=far,
            one_hop_added_p50=near.p50 - direct.p50,
            one_hop_added_p99=near.p99 - direct.p99,
            two_hops_added_p50=far.p50 - direct.p50,
            two_hops_added_p99=far.p99 - direct.p99,
            entry=self._meters[ENTRY].cost(near.count + far.count),
            owner=self._meters[OWNER].cost(far.count),
            not_answered=len(self._records) - answered,
        )

    def _latency(self, name: str) -> Latency:
        return measure(
            call.end - call.sent
            for call in self._records
            if call.account == name and call.outcome is Outcome.ANSWERED
        )


class CoreMeter:
    """Processor time of a process while idle and while busy."""

    def __init__(self, pid: int) -> None:
        """Begin the idle time.

        :param pid: the process.
        """
        self._pid = pid
        self._begin = self._read()
        self._idle = self._begin
        self._busy = self._begin

    def end_idle(self) -> None:
        """End the idle time."""
        self._idle = self._since_begin()

    def begin_busy(self) -> None:
        """Begin the busy time."""
        self._begin = self._read()

    def end_busy(self) -> None:
        """End the busy time."""
        self._busy = self._since_begin()

    def cost(self, requests: int) -> DaemonCost:
        """Return the figures.

        :param requests: requests of the busy time.
        """
        return DaemonCost(
            requests=requests,
            idle_core_share=self._idle.core_share,
            busy_core_share=self._busy.core_share,
            requests_per_core_second=requests / self._busy.core_seconds,
        )

    def _since_begin(self) -> 'Usage':
        now = self._read()
        return Usage(
            now.seconds - self._begin.seconds,
            now.core_seconds - self._begin.core_seconds,
        )

    def _read(self) -> 'Usage':
        stat = Path(f'/proc/{self._pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[STAT_UTIME]) + int(fields[STAT_STIME])
        return Usage(time.monotonic(), ticks / os.sysconf('SC_CLK_TCK'))


@dataclass(frozen=True, slots=True)
class Usage:
    """Elapsed time and processor time, both in seconds."""

    seconds: float
    core_seconds: float

    @property
    def core_share(self) -> float:
        """Return the share of a core that was used."""
        return self.core_seconds / self.seconds


def build_config(base_port: int, key: str) -> Config:
    """Return two instances in two zones, a target and a service each.

    :param base_port: first of the ports used.
    :param key: key of the one account.
    """
    account = Account(
        name='bench',
        key_digests=(hashlib.sha256(key.encode()).hexdigest(),),
        rate=ACCOUNT_RATE,
        burst=ACCOUNT_RATE,
        services=(ONE_HOP, TWO_HOPS),
    )
    return Config(
        version=1,
        preset=PresetName.ORDINARY,
        presets={name: Preset(name=name) for name in PresetName},
        services={
            name: Service(name=name, floor=1) for name in (ONE_HOP, TWO_HOPS)
        },
        targets={
            ONE_HOP: _target(ONE_HOP, ENTRY, base_port + 5),
            TWO_HOPS: _target(TWO_HOPS, OWNER, base_port + 15),
        },
        routes=tuple(
            Route(
                method='GET',
                prefix=f'/{name}/',
                service=name,
                idempotent=True,
            )
            for name in (ONE_HOP, TWO_HOPS)
        ),
        accounts={account.name: account},
        instances={
            ENTRY: _instance(ENTRY, base_port),
            OWNER: _instance(OWNER, base_port + 10),
        },
    )


def _target(name: str, instance: str, port: int) -> Target:
    return Target(
        name=name,
        service=name,
        instance=instance,
        address=f'127.0.0.1:{port}',
    )


def _instance(name: str, port: int) -> Instance:
    return Instance(
        name=name,
        zone=f'zone-{name}',
        region='bench',
        caller=f'127.0.0.1:{port}',
        peer=f'127.0.0.1:{port + 1}',
        control=f'127.0.0.1:{port + 2}',
        operator=f'127.0.0.1:{port + 3}',
    )
