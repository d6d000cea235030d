"""Measures what each role of a daemon costs, at three sizes each.

Prints JSON lines; docs/CAPACITY.md works the design size out from them. Run
``python -m clementinedeal_bench._slopes``.
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
    """Print all slopes."""
    for measure in MEASUREMENTS:
        for measurement in measure():
            sys.stdout.write(msgspec.json.encode(measurement).decode())
            sys.stdout.write('\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
