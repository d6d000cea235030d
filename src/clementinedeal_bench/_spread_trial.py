"""Measures how fast configurations reach all daemons, and what views cost.

A fleet view is a daemon's knowledge of the configuration and the instances.
Run as ``python -m clementinedeal_bench._spread_trial SEED SIZE...``; prints
one JSON line for each size. Times are virtual. Processor time is real and
covers the views and the encoding and decoding of messages only.
"""

import json
import sys
from dataclasses import dataclass, replace

from clementinedeal._model import Config
from clementinedeal._publication import pack
from clementinedeal_bench._large_config import large_config
from clementinedeal_bench._virtual_fleet import VirtualFleet

ACCOUNT_COUNT = 200
ROUTE_COUNT = 50
LOSS_FRACTION = 0.01  # of the messages
STEP_SECONDS = 0.1
START_TIMEOUT_SECONDS = 60.0
SETTLE_SECONDS = 35.0  # after the start, not measured
STEADY_SECONDS = 5.0  # measured without any change
CHANGE_PERIOD_SECONDS = 8.0  # from one change to the next
CHANGE_COUNT = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class SpreadFigures:
    """Results of one run; the fields are the keys of the printed line.

    :param seed: seed of the run.
    :param size: number of daemons.
    :param loss: fraction of messages lost.
    :param start_seconds: from the start until the first version was in force
        at all daemons.
    :param start_reads_per_second: highest number of platform reads of the whole
        fleet in one second of the start.
    :param steady_messages: messages per daemon and second without a change.
    :param steady_bytes: bytes per daemon and second without a change.
    :param steady_processor_share: fraction of a core that a daemon uses
        without a change.
    :param steady_reads_per_second: platform reads of the whole fleet without a
        change.
    :param steady_fresh: number of daemons whose configuration was fresh at the
        end of the measurement without a change.
    :param in_force_seconds: for each change, time until it was in force at
        all daemons; ``CHANGE_PERIOD_SECONDS`` if it took longer.
    :param change_bytes: bytes per daemon and change, in addition to the
        bytes without a change.
    """

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

    :param seed: seed of every random choice.
    :param size: number of instances.
    """
    cfg = large_config(
        accounts=ACCOUNT_COUNT,
        routes=ROUTE_COUNT,
        targets=size,
        instances=size,
    )
    fleet = VirtualFleet(cfg, seed)
    fleet.network.loss_fraction = LOSS_FRACTION
    fleet.platform.publish(pack(cfg).unwrap())
    for name in cfg.instances:
        fleet.start(name)
    start_seconds = _seconds_until_in_force(fleet, 1, START_TIMEOUT_SECONDS)
    start_reads = _max_reads_per_second(fleet.platform.reads)
    fleet.run(SETTLE_SECONDS)
    _reset_counters(fleet)
    fleet.run(STEADY_SECONDS)
    instance_seconds = size * STEADY_SECONDS
    steady = SpreadFigures(
        seed=seed,
        size=size,
        loss=LOSS_FRACTION,
        start_seconds=start_seconds,
        start_reads_per_second=start_reads,
        steady_messages=fleet.message_count / instance_seconds,
        steady_bytes=fleet.sent_bytes / instance_seconds,
        steady_processor_share=fleet.busy_seconds / instance_seconds,
        steady_reads_per_second=len(fleet.platform.reads) / STEADY_SECONDS,
        steady_fresh=_count_fresh(fleet),
        in_force_seconds=(),
        change_bytes=0,
    )
    _reset_counters(fleet)
    in_force_seconds = tuple(
        _publish_change(fleet, cfg, 2 + step) for step in range(CHANGE_COUNT)
    )
    steady_bytes = (
        steady.steady_bytes * size * CHANGE_PERIOD_SECONDS * CHANGE_COUNT
    )
    change_bytes = (fleet.sent_bytes - steady_bytes) / size / CHANGE_COUNT
    return replace(
        steady, in_force_seconds=in_force_seconds, change_bytes=change_bytes
    )


def _publish_change(fleet: VirtualFleet, cfg: Config, version: int) -> float:
    accounts = dict(cfg.accounts)
    accounts.pop(min(accounts))
    changed = replace(cfg, version=version, accounts=accounts)
    if version % 2:  # odd versions restore the account that even ones lack
        changed = replace(changed, accounts=cfg.accounts)
    fleet.platform.publish(pack(changed).unwrap())
    started_at = fleet.now
    in_force_seconds = _seconds_until_in_force(
        fleet, version, CHANGE_PERIOD_SECONDS
    )
    fleet.run(started_at + CHANGE_PERIOD_SECONDS - fleet.now)
    return in_force_seconds


def _seconds_until_in_force(
    fleet: VirtualFleet, version: int, max_seconds: float
) -> float:
    started_at = fleet.now
    while fleet.now - started_at < max_seconds:
        fleet.run(STEP_SECONDS)
        if _count_in_force(fleet, version) == len(fleet.processes):
            return round(fleet.now - started_at, 1)
    return max_seconds


def _count_in_force(fleet: VirtualFleet, version: int) -> int:
    return sum(
        version in process.versions_in_force
        for process in fleet.processes.values()
    )


def _count_fresh(fleet: VirtualFleet) -> int:
    return sum(
        process.view.is_fresh(fleet.now) for process in fleet.processes.values()
    )


def _max_reads_per_second(reads: list[float]) -> int:
    counts: dict[int, int] = {}
    for read_at in reads:
        counts[int(read_at)] = counts.get(int(read_at), 0) + 1
    return max(counts.values())


def _reset_counters(fleet: VirtualFleet) -> None:
    fleet.message_count = 0
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
