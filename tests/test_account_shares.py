from types import SimpleNamespace
from typing import Any

from clementinedeal_bench._account_shares import account_services, worst_line
from clementinedeal_bench._history import Outcome


def call(account: str, outcome: Outcome, seconds: float = 0.1) -> Any:
    return SimpleNamespace(
        account=account,
        outcome=outcome,
        sent=0.0,
        end=seconds,
    )


def test_the_worst_served_account_is_named_beside_the_median() -> None:
    calls = [
        call('a', Outcome.ANSWERED),
        call('a', Outcome.REFUSED),
        call('b', Outcome.ANSWERED, 0.5),
        call('c', Outcome.ANSWERED),
        call('c', Outcome.UNREACHABLE),
    ]
    services = {one.account: one.answered for one in account_services(calls)}
    assert services == {'a': 0.5, 'b': 1.0, 'c': 1.0}
    line = worst_line(calls)
    assert 'a answered 50.0% (median 100.0%)' in line
    assert 'b p99 500 ms (median 100 ms)' in line
    assert worst_line([]) == 'worst-served account: none called'
