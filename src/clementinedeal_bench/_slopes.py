"""Measures how the cost of each role of a daemon grows with the fleet.

Run as ``python -m clementinedeal_bench._slopes``; prints a JSON line for each
measurement. docs/CAPACITY.md derives the cost at the design size from them.
"""

import sys

import msgspec

from clementinedeal_bench import _decision_slopes as decisions
from clementinedeal_bench import _fleet_slopes as fleet

MEASUREMENTS = (
    fleet.measure_configuration,
    decisions.measure_entry,
    decisions.measure_tokens,
    decisions.measure_ejection,
    decisions.measure_owner,
    decisions.measure_keeper,
    decisions.measure_envelope,
    fleet.measure_control,
)


def main() -> None:
    """Take and print all measurements."""
    for measure in MEASUREMENTS:
        for measurement in measure():
            sys.stdout.write(msgspec.json.encode(measurement).decode())
            sys.stdout.write('\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
