"""Size and cost of a configuration at the size to design for.

Run as ``python -m clementinedeal_bench._config_size_trial``; prints one JSON
line. Sizes are in bytes, times in seconds of processor time.
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
from clementinedeal_bench._large import large_config

ACCOUNTS = 24_000
ROUTES = 3_700
TARGETS = 5_400
INSTANCES = 650
RUNS = 5

OutcomeT = TypeVar('OutcomeT')


def main() -> None:
    """Pack and unpack a large configuration and print the figures."""
    cfg = large_config(
        accounts=ACCOUNTS,
        routes=ROUTES,
        targets=TARGETS,
        instances=INSTANCES,
    )
    publication = pack(cfg).unwrap()
    accounts = dict(cfg.accounts)
    accounts.pop(min(accounts))
    after = pack(replace(cfg, version=2, accounts=accounts)).unwrap()
    fields = {**_sizes(publication, after), **_costs(publication, after)}
    sys.stdout.write(f'{json.dumps(fields)}\n')


def _sizes(before: Publication, after: Publication) -> dict[str, object]:
    moved = set(after.parts) - set(before.parts)
    moved_bytes = sum(len(after.parts[digest]) for digest in moved)
    return {
        'root_bytes': len(before.root),
        'parts': len(before.parts),
        'parts_bytes': sum(map(len, before.parts.values())),
        'largest_part_bytes': max(map(len, before.parts.values())),
        'change_parts': len(moved),
        'change_bytes': len(after.root) + moved_bytes,
    }


def _costs(before: Publication, after: Publication) -> dict[str, object]:
    root = read_root(before.root).unwrap()
    next_root = read_root(after.root).unwrap()
    whole = partial(unpack, root, before.parts)
    memo = PartCache()
    unpack(root, before.parts, memo)
    return {
        'config_bytes': _held_bytes(whole),
        'change_seconds': _seconds(
            partial(unpack, next_root, after.parts, memo),
        ),
        'whole_seconds': sorted(_seconds(whole) for _ in range(RUNS)),
    }


def _held_bytes(make: Callable[[], OutcomeT]) -> int:
    gc.collect()
    tracemalloc.start()
    held = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held  # noqa: WPS420 keeps the outcome alive until it is measured
    return size


def _seconds(make: Callable[[], OutcomeT]) -> float:
    started = time.process_time()
    make()
    return round(time.process_time() - started, 3)


if __name__ == '__main__':
    main()
