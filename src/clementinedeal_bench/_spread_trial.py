"""Cost of gossip and spread, and time until a version is in force.

Run as ``python -m clementinedeal_bench._spread_trial SEED SIZE...``; prints
one JSON line for each size. Times are virtual, processor time is real and
that of the decisions and the codec alone.
"""

import json
import sys
from dataclasses import dataclass, replace

from clementinedeal._model import Config
from clementinedeal._publication import pack
from clementinedeal_bench._large import large_config
from clementinedeal_bench._virtual_fleet import VirtualFleet

ACCOUNTS = 200
ROUTES = 50
LOSS = 0.01
STEP_SECONDS = 0.1
START_LIMIT_SECONDS = 60.0
SETTLE_SECONDS = 35.0
STEADY_SECONDS = 5.0
LIMIT_SECONDS = 8.0
CHANGES = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class SpreadFigures:
    """What one run showed; per daemon where a rate is given."""

    seed: int
    size: int
    loss: float
    start_seconds: float
    start_reads_per_second: int
    steady_messages: float
    steady_bytes: float
    steady_processor_share: float
    steady_reads_per_second: float
    steady_fresh: int
    in_force_seconds: tuple[float, ...]
    change_bytes: float


def run_trial(seed: int, size: int) -> SpreadFigures:
    """Start a fleet, let it settle and publish changes.

    :param seed: of every random choice.
    :param size: number of instances.
    """
    cfg = large_config(
        accounts=ACCOUNTS,
        routes=ROUTES,
        targets=size,
        instances=size,
    )
    fleet = VirtualFleet(cfg, seed)
    fleet.network.loss = LOSS
    fleet.platform.publish(pack(cfg).unwrap())
    for name in cfg.instances:
        fleet.start(name)
    start = _time_until(fleet, 1, START_LIMIT_SECONDS)
    start_reads = _peak(fleet.platform.reads)
    fleet.run(SETTLE_SECONDS)
    _reset(fleet)
    fleet.run(STEADY_SECONDS)
    shares = size * STEADY_SECONDS
    steady = SpreadFigures(
        seed=seed,
        size=size,
        loss=LOSS,
        start_seconds=start,
        start_reads_per_second=start_reads,
        steady_messages=fleet.messages / shares,
        steady_bytes=fleet.sent_bytes / shares,
        steady_processor_share=fleet.busy_seconds / shares,
        steady_reads_per_second=len(fleet.platform.reads) / STEADY_SECONDS,
        steady_fresh=_count_fresh(fleet),
        in_force_seconds=(),
        change_bytes=0,
    )
    _reset(fleet)
    times = tuple(_publish(fleet, cfg, 2 + step) for step in range(CHANGES))
    quiet = steady.steady_bytes * size * LIMIT_SECONDS * CHANGES
    change_bytes = (fleet.sent_bytes - quiet) / size / CHANGES
    return replace(steady, in_force_seconds=times, change_bytes=change_bytes)


def _publish(fleet: VirtualFleet, cfg: Config, version: int) -> float:
    accounts = dict(cfg.accounts)
    accounts.pop(min(accounts))
    changed = replace(cfg, version=version, accounts=accounts)
    if version % 2:
        changed = replace(changed, accounts=cfg.accounts)
    fleet.platform.publish(pack(changed).unwrap())
    began = fleet.now
    taken = _time_until(fleet, version, LIMIT_SECONDS)
    fleet.run(began + LIMIT_SECONDS - fleet.now)
    return taken


def _time_until(fleet: VirtualFleet, version: int, limit: float) -> float:
    began = fleet.now
    while fleet.now - began < limit:
        fleet.run(STEP_SECONDS)
        if _count_in_force(fleet, version) == len(fleet.processes):
            return round(fleet.now - began, 1)
    return limit


def _count_in_force(fleet: VirtualFleet, version: int) -> int:
    return sum(
        version in process.versions for process in fleet.processes.values()
    )


def _count_fresh(fleet: VirtualFleet) -> int:
    return sum(
        process.view.is_fresh(fleet.now) for process in fleet.processes.values()
    )


def _peak(reads: list[float]) -> int:
    counts: dict[int, int] = {}
    for at in reads:
        counts[int(at)] = counts.get(int(at), 0) + 1
    return max(counts.values())


def _reset(fleet: VirtualFleet) -> None:
    fleet.messages = 0
    fleet.sent_bytes = 0
    fleet.busy_seconds = 0.0
    fleet.platform.reads.clear()


def main(arguments: list[str]) -> None:
    """Run the trial for a seed and sizes and print the figures.

    :param arguments: the seed, then the sizes.
    """
    seed = int(arguments[0])
    for size in map(int, arguments[1:]):
        figures = run_trial(seed, size)
        fields = {name: getattr(figures, name) for name in figures.__slots__}
        sys.stdout.write(f'{json.dumps(fields)}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main(sys.argv[1:])
