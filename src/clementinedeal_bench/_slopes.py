"""Measures what each role of a daemon costs, at three sizes each.

Prints JSON lines; docs/CAPACITY.md works the design size out from them. Run
``python -m clementinedeal_bench._slopes``.
"""

import sys

import msgspec

from clementinedeal_bench import _decision_slopes as decisions
from clementinedeal_bench import _fleet_slopes as fleet

ROLES = (
    fleet.configuration,
    decisions.entry,
    decisions.tokens,
    decisions.ejection,
    decisions.owner,
    decisions.keeper,
    decisions.envelope,
    fleet.control,
)


def main() -> None:
    """Print all slopes."""
    for role in ROLES:
        for slope in role():
            sys.stdout.write(msgspec.json.encode(slope).decode())
            sys.stdout.write('\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
