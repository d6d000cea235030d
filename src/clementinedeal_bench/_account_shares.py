"""How the worst-served client account fares against the median one."""

import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from clementinedeal_bench._history import CallRecord, Outcome

PERCENT = 100.0
MS_PER_SECOND = 1000.0
P99 = 0.99


@dataclass(frozen=True, slots=True)
class AccountService:
    """What one account got: share answered, 0 to 1, and p99 in seconds."""

    account: str
    answered: float
    p99: float


def account_services(calls: Iterable[CallRecord]) -> list[AccountService]:
    """Return what each account got, calls that reached nobody left out.

    :param calls: calls of one step.
    """
    by_account: dict[str, list[CallRecord]] = {}
    for call in calls:
        if call.outcome is not Outcome.UNREACHABLE:
            by_account.setdefault(call.account, []).append(call)
    return [_service(name, own) for name, own in sorted(by_account.items())]


def worst_line(calls: Iterable[CallRecord]) -> str:
    """Describe the worst-served account in one line.

    :param calls: calls of one step.
    """
    services = account_services(calls)
    if not services:
        return 'worst-served account: none called'
    share = min(services, key=lambda one: one.answered)
    slow = max(services, key=lambda one: one.p99)
    middle = statistics.median(one.answered for one in services)
    middle_p99 = statistics.median(one.p99 for one in services)
    return (
        f'worst-served account: {share.account} answered '
        f'{share.answered * PERCENT:.1f}% (median {middle * PERCENT:.1f}%); '
        f'{slow.account} p99 {slow.p99 * MS_PER_SECOND:.0f} ms '
        f'(median {middle_p99 * MS_PER_SECOND:.0f} ms)'
    )


def _service(account: str, calls: list[CallRecord]) -> AccountService:
    answered = [call for call in calls if call.outcome is Outcome.ANSWERED]
    latencies = sorted(call.end - call.sent for call in answered) or [0.0]
    return AccountService(
        account=account,
        answered=len(answered) / len(calls),
        p99=latencies[int(P99 * (len(latencies) - 1))],
    )
