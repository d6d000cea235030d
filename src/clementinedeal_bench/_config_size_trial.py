"""Measures the size and the processor time of a large configuration.

Run as ``python -m clementinedeal_bench._config_size_trial``; prints one JSON
line. Sizes are in bytes, times in seconds of processor time. Keys that begin
with ``change`` hold the cost of an update to a version without one of the
accounts.
"""

import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import TypeVar

from clementinedeal._publication import (
    PartCache,
    Publication,
    pack,
    read_root,
    unpack,
)
from clementinedeal_bench._large_config import large_config

# size of the deployment for which the product is designed
ACCOUNT_COUNT = 24_000
ROUTE_COUNT = 3_700
TARGET_COUNT = 5_400
INSTANCE_COUNT = 650

UNPACK_RUNS = 5  # runs in which the whole configuration is unpacked

OutcomeT = TypeVar('OutcomeT')


def main() -> None:
    """Pack and unpack a large configuration and print sizes and times."""
    cfg = large_config(
        accounts=ACCOUNT_COUNT,
        routes=ROUTE_COUNT,
        targets=TARGET_COUNT,
        instances=INSTANCE_COUNT,
    )
    publication = pack(cfg).unwrap()
    accounts = dict(cfg.accounts)
    accounts.pop(min(accounts))
    changed = pack(replace(cfg, version=2, accounts=accounts)).unwrap()
    report = {
        **_measure_sizes(publication, changed),
        **_measure_costs(publication, changed),
    }
    sys.stdout.write(f'{json.dumps(report)}\n')


def _measure_sizes(
    before: Publication, after: Publication
) -> dict[str, object]:
    new_digests = set(after.parts) - set(before.parts)
    new_parts_bytes = sum(len(after.parts[digest]) for digest in new_digests)
    return {
        'root_bytes': len(before.root),
        'parts': len(before.parts),
        'parts_bytes': sum(map(len, before.parts.values())),
        'largest_part_bytes': max(map(len, before.parts.values())),
        'change_parts': len(new_digests),
        'change_bytes': len(after.root) + new_parts_bytes,
    }


def _measure_costs(
    before: Publication, after: Publication
) -> dict[str, object]:
    root = read_root(before.root).unwrap()
    next_root = read_root(after.root).unwrap()
    unpack_all = partial(unpack, root, before.parts)
    part_cache = PartCache()
    unpack(root, before.parts, part_cache)
    return {
        'config_bytes': _measure_held_bytes(unpack_all),
        'change_seconds': _measure_processor_seconds(
            partial(unpack, next_root, after.parts, part_cache),
        ),
        'whole_seconds': sorted(
            _measure_processor_seconds(unpack_all) for _ in range(UNPACK_RUNS)
        ),
    }


def _measure_held_bytes(make: Callable[[], OutcomeT]) -> int:
    gc.collect()
    tracemalloc.start()
    made = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made  # noqa: WPS420 keeps the value alive until its size is read
    return size


def _measure_processor_seconds(make: Callable[[], OutcomeT]) -> float:
    started_at = time.process_time()
    make()
    return round(time.process_time() - started_at, 3)


if __name__ == '__main__':
    main()
