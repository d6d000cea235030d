"""Records finished requests in the daemon's metrics."""

from clementinedeal._incoming_request import IncomingRequest
from clementinedeal._metrics import Metrics
from clementinedeal._replies import TargetAnswer
from clementinedeal._timers import Clock
from clementinedeal._verdict import Reason, Verdict

MAX_LABELLED_ACCOUNTS = 1000
OTHER_ACCOUNTS_LABEL = 'other'


class MetricsRecorder:
    """Counts finished requests and records how long they took."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        """Create a recorder.

        :param metrics: the collectors.
        :param clock: measures how long requests take.
        """
        self._metrics = metrics
        self._clock = clock
        self._labelled_accounts: set[str] = set()

    def record(
        self,
        incoming: IncomingRequest,
        verdict: Verdict,
        outcome: str,
        answer: TargetAnswer | None,
    ) -> None:
        """Record one finished request.

        :param incoming: the request.
        :param verdict: whether it may have run.
        :param outcome: ``answered``, ``replayed`` or the reason of a refusal.
        :param answer: the target's answer, None if there is none.
        """
        service = incoming.service
        account = self._account_label(incoming.account)
        seconds = self._clock.now() - incoming.started_at
        self._metrics.requests.labels(
            service,
            account,
            verdict.value,
            outcome,
        ).inc()
        self._metrics.request_seconds.labels(service).observe(seconds)
        if answer is not None:
            added = seconds - answer.target_seconds
            self._metrics.added_seconds.labels(service).observe(added)

    def record_early_refusal(self, reason: Reason) -> None:
        """Record a request that was refused because of its route or key.

        :param reason: why it was refused.
        """
        self._metrics.early_refusals.labels(reason.value).inc()

    def _account_label(self, account: str) -> str:
        """Return the label of an account; limits the number of labels.

        prometheus_client never drops the time series of a label, so accounts
        beyond ``MAX_LABELLED_ACCOUNTS`` share one.
        """
        if account in self._labelled_accounts:
            return account
        if len(self._labelled_accounts) >= MAX_LABELLED_ACCOUNTS:
            return OTHER_ACCOUNTS_LABEL
        self._labelled_accounts.add(account)
        return account
