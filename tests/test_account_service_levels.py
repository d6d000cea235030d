"""The report on the account that was served worst."""

from types import SimpleNamespace
from typing import Any

from clementinedeal_bench._account_service_levels import (
    account_service_levels,
    worst_served_line,
)
from clementinedeal_bench._call_records import CallOutcome


def call(account: str, outcome: CallOutcome, seconds: float = 0.1) -> Any:
    return SimpleNamespace(
        account=account,
        outcome=outcome,
        sent=0.0,
        end=seconds,
    )


def test_the_worst_served_account_is_compared_with_the_median() -> None:
    calls = [
        call('a', CallOutcome.ANSWERED),
        call('a', CallOutcome.REFUSED),
        call('b', CallOutcome.ANSWERED, 0.5),
        call('c', CallOutcome.ANSWERED),
        call('c', CallOutcome.UNREACHABLE),
    ]
    services = {
        level.account: level.answered_fraction
        for level in account_service_levels(calls)
    }
    assert services == {'a': 0.5, 'b': 1.0, 'c': 1.0}
    line = worst_served_line(calls)
    assert 'a answered 50.0% (median 100.0%)' in line
    assert 'b p99 500 ms (median 100 ms)' in line
    assert worst_served_line([]) == 'worst-served account: none called'
