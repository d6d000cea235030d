"""Counts and latency percentiles of calls."""

from collections import Counter
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from clementinedeal_bench._call_records import CallOutcome, CallRecord

US_PER_SECOND = 1_000_000
US_PER_MS = 1000
MAX_LATENCY_US = 120 * US_PER_SECOND
SIGNIFICANT_DIGITS = 3


class LatencyPercentiles(msgspec.Struct, frozen=True):
    """Percentiles of latency, in milliseconds.

    :param count: number of latencies.
    :param p50: 50th percentile.
    :param p90: 90th percentile.
    :param p99: 99th percentile.
    :param most: maximum.
    """

    count: int
    p50: float
    p90: float
    p99: float
    most: float


class Summary(msgspec.Struct, frozen=True):
    """Counts of a group of calls, written as a JSON line.

    :param account: name of the account, ``*`` for all.
    :param service: name of the service, ``*`` for all.
    :param requests: number of calls.
    :param outcomes: number of calls by outcome.
    :param reasons: number of refusals by reason.
    :param verdicts: number of calls by verdict, where there was one.
    :param latency: latency of the complete answers, from when each was due.
    """

    account: str
    service: str
    requests: int
    outcomes: dict[str, int]
    reasons: dict[str, int]
    verdicts: dict[str, int]
    latency: LatencyPercentiles


def measure_latency(seconds: Iterable[float]) -> LatencyPercentiles:
    """Return the percentiles of latencies.

    :param seconds: the latencies in seconds.
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for duration in seconds:
        histogram.record_value(max(1, round(duration * US_PER_SECOND)))
    p50, p90, p99, most = (
        histogram.get_value_at_percentile(percent) / US_PER_MS
        for percent in (50, 90, 99, 100)
    )
    return LatencyPercentiles(histogram.get_total_count(), p50, p90, p99, most)


def summarize(
    records: Iterable[CallRecord],
    account: str = '*',
    service: str = '*',
) -> Summary:
    """Count a group of calls.

    :param records: the calls of the group.
    :param account: name of their account, ``*`` for all.
    :param service: name of their service, ``*`` for all.
    """
    calls = list(records)
    answered = [call for call in calls if call.outcome is CallOutcome.ANSWERED]
    return Summary(
        account=account,
        service=service,
        requests=len(calls),
        outcomes=dict(Counter(call.outcome.value for call in calls)),
        reasons=dict(Counter(call.reason for call in calls if call.reason)),
        verdicts=dict(Counter(call.verdict for call in calls if call.verdict)),
        latency=measure_latency(call.end - call.due for call in answered),
    )


def by_account_and_service(records: Iterable[CallRecord]) -> list[Summary]:
    """Count the calls of each pair of account and service.

    :param records: the calls.
    """
    groups: dict[tuple[str, str], list[CallRecord]] = {}
    for call in records:
        groups.setdefault((call.account, call.service), []).append(call)
    return [summarize(groups[group], *group) for group in sorted(groups)]
