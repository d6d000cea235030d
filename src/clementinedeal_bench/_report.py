"""Report of a demo run: counts of each step and checks of the whole run."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from clementinedeal import Account, Config, Verdict
from clementinedeal._history import (
    HistoryEvent,
    RequestAdmitted,
    RequestAnswered,
    RequestStarted,
    Violation,
)
from clementinedeal._history_checks import (
    RateLimit,
    check_at_most_once,
    check_not_run,
    check_rates,
)
from clementinedeal_bench._account_service_levels import worst_served_line
from clementinedeal_bench._call_records import CallOutcome, CallRecord
from clementinedeal_bench._executions import Execution
from clementinedeal_bench._summary import Summary, summarize

CALLER_REQUEST_PREFIX = 'caller-request='
CREDENTIAL_HEADERS = frozenset(
    ('authorization', 'x-api-key', 'proxy-authorization')
)
MAX_SHOWN_VIOLATIONS = 3
# Longest time from the admission of a request to its start at a target. The
# burst at the targets may exceed the account's burst by the number of requests
# that its rate admits in this time.
ADMISSION_TO_START_SECONDS = 0.1


@dataclass(slots=True)
class DemoStep:
    """Period and notes of one step of the demo.

    :param name: name of the step.
    :param started_at: monotonic seconds.
    :param ended_at: monotonic seconds.
    :param notes: lines for the report.
    """

    name: str
    started_at: float
    ended_at: float = 0.0
    notes: list[str] = field(default_factory=list)

    def calls(self, records: Iterable[CallRecord]) -> list[CallRecord]:
        """Return the calls that were due during the step.

        :param records: the calls of the whole run.
        """
        return [
            call
            for call in records
            if self.started_at <= call.due < self.ended_at
        ]


def step_lines(step: DemoStep, records: Sequence[CallRecord]) -> list[str]:
    """Return the lines of the report about a step.

    :param step: the step.
    :param records: the calls of the whole run.
    """
    summary = summarize(step.calls(records))
    seconds = step.ended_at - step.started_at
    lines = [f'== {step.name} ({seconds:.1f} s)']
    lines.extend(f'   {note}' for note in step.notes)
    lines.append(f'   {_count_line(summary)}')
    lines.append(f'   {worst_served_line(step.calls(records))}')
    if summary.reasons:
        lines.append(f'   refused by reason: {_format_counts(summary.reasons)}')
    if summary.verdicts:
        lines.append(f'   verdicts: {_format_counts(summary.verdicts)}')
    return lines


def check_lines(
    cfg: Config,
    records: Sequence[CallRecord],
    executions: Sequence[Execution],
) -> list[str]:
    """Check the whole run and return a line for each check.

    A line begins with ``ok`` or ``FAULT``.

    :param cfg: the configuration that was launched.
    :param records: the calls of the whole run.
    :param executions: all executions that were read from targets.
    """
    events = _history_events(cfg, records, executions)
    limits = {
        name: RateLimit(account.rate, _burst_at_targets(account))
        for name, account in cfg.accounts.items()
    }
    wrong_answers = [
        call for call in records if call.outcome is CallOutcome.WRONG
    ]
    with_credentials = [
        execution
        for execution in executions
        if CREDENTIAL_HEADERS & set(execution.header_names)
    ]
    return [
        _check_line(
            'non-idempotent requests executed twice', check_at_most_once(events)
        ),
        _check_line(
            'requests with verdict not-run that were executed',
            check_not_run(events),
        ),
        _check_line(
            'rate and burst of an account exceeded', check_rates(events, limits)
        ),
        _check_line('answers damaged or of another request', wrong_answers),
        _check_line('executions that received credentials', with_credentials),
    ]


def caller_request_of(execution: Execution) -> str:
    """Return the caller's id of the request that was executed.

    :param execution: the execution.
    """
    return execution.path.partition(CALLER_REQUEST_PREFIX)[2].partition('&')[0]


def _burst_at_targets(account: Account) -> float:
    return account.burst + account.rate * ADMISSION_TO_START_SECONDS


def _history_events(
    cfg: Config,
    records: Sequence[CallRecord],
    executions: Sequence[Execution],
) -> list[HistoryEvent]:
    calls = {call.caller_request: call for call in records}
    first_starts: dict[str, float] = {}
    events: list[HistoryEvent] = []
    for execution in executions:
        req_id = caller_request_of(execution)
        first_starts[req_id] = min(
            execution.start, first_starts.get(req_id, execution.start)
        )
        events.append(_start_event(execution, req_id))
    for call_id, started_at in first_starts.items():
        if call_id in calls and calls[call_id].account in cfg.accounts:
            events.append(
                RequestAdmitted(at=started_at, account=calls[call_id].account)
            )
    events.extend(_answer_event(call) for call in records if call.verdict)
    return events


def _start_event(execution: Execution, req_id: str) -> RequestStarted:
    return RequestStarted(
        at=execution.start,
        req_id=req_id,
        target=execution.target,
        idempotent=execution.method in {'GET', 'HEAD'},
    )


def _answer_event(call: CallRecord) -> RequestAnswered:
    return RequestAnswered(
        at=call.end,
        req_id=call.caller_request,
        verdict=Verdict(call.verdict),
        status=call.status,
    )


def _check_line(fault: str, violations: Sequence[object]) -> str:
    if not violations:
        return f'   ok    {fault}: none'
    shown = '; '.join(
        _describe(example) for example in violations[:MAX_SHOWN_VIOLATIONS]
    )
    return f'   FAULT {fault}: {len(violations)}, for example {shown}'


def _describe(violation: object) -> str:
    if isinstance(violation, Violation):
        return violation.detail
    if isinstance(violation, CallRecord):
        return f'{violation.method} {violation.path}: {violation.detail}'
    if isinstance(violation, Execution):
        return f'{violation.method} {violation.path} at {violation.target}'
    return str(violation)


def _count_line(summary: Summary) -> str:
    latency = summary.latency
    return (
        f'{summary.requests} requests: {_format_counts(summary.outcomes)}; '
        f'p50 {latency.p50:.1f} ms, p99 {latency.p99:.1f} ms'
    )


def _format_counts(counts: dict[str, int]) -> str:
    return ', '.join(f'{name} {counts[name]}' for name in sorted(counts))
