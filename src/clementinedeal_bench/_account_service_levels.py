"""Service levels of client accounts, and a line about the worst one."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedeal_bench._call_records import CallOutcome, CallRecord

PERCENT = 100.0
MS_PER_SECOND = 1000.0
P99_FRACTION = 0.99


@dataclass(frozen=True, slots=True)
class AccountServiceLevel:
    """How well the calls of one account were served.

    :param account: name of the account.
    :param answered_fraction: fraction of calls with a complete answer, 0 to 1.
    :param p99_seconds: 99th percentile of the latency of these answers, from
        when each request was sent; 0 if there is no answer.
    """

    account: str
    answered_fraction: float
    p99_seconds: float


def account_service_levels(
    calls: Iterable[CallRecord],
) -> list[AccountServiceLevel]:
    """Return the service level of each account, sorted by name.

    Calls that reached no daemon are left out.

    :param calls: calls of one demo step.
    """
    by_account: dict[str, list[CallRecord]] = {}
    for call in calls:
        if call.outcome is not CallOutcome.UNREACHABLE:
            by_account.setdefault(call.account, []).append(call)
    return [
        _service_level(name, account_calls)
        for name, account_calls in sorted(by_account.items())
    ]


def worst_served_line(calls: Iterable[CallRecord]) -> str:
    """Return a line about the worst-served accounts, for the report.

    It names the account with the lowest answered fraction and the one with the
    highest p99, each with the median of all accounts.

    :param calls: calls of one demo step.
    """
    levels = account_service_levels(calls)
    if not levels:
        return 'worst-served account: none called'
    least_answered = min(levels, key=lambda level: level.answered_fraction)
    slowest = max(levels, key=lambda level: level.p99_seconds)
    median_answered = statistics.median(
        level.answered_fraction for level in levels
    )
    median_p99 = statistics.median(level.p99_seconds for level in levels)
    return (
        f'worst-served account: {least_answered.account} answered '
        f'{least_answered.answered_fraction * PERCENT:.1f}% '
        f'(median {median_answered * PERCENT:.1f}%); '
        f'{slowest.account} p99 {slowest.p99_seconds * MS_PER_SECOND:.0f} ms '
        f'(median {median_p99 * MS_PER_SECOND:.0f} ms)'
    )


def _service_level(
    account: str, calls: list[CallRecord]
) -> AccountServiceLevel:
    answered = [call for call in calls if call.outcome is CallOutcome.ANSWERED]
    latencies = sorted(call.end - call.sent for call in answered) or [0.0]
    return AccountServiceLevel(
        account=account,
        answered_fraction=len(answered) / len(calls),
        p99_seconds=latencies[int(P99_FRACTION * (len(latencies) - 1))],
    )
