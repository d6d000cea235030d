"""Lets requests wait for the decisions of the token manager."""

from collections.abc import Iterable
from typing import Any

from clementinedeal._dispatch import Dispatcher, Waiters
from clementinedeal._draws import TokenGranted, TokenRefused
from clementinedeal._metrics import Metrics
from clementinedeal._replies import AttemptRefusal
from clementinedeal._timers import Clock
from clementinedeal._tokens import TokenManager
from clementinedeal._verdict import Reason, Verdict


class ManagedTokenGate:
    """Takes one token for each request; implements ``TokenGate``."""

    def __init__(
        self,
        manager: TokenManager,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a gate and register for the manager's decisions.

        :param manager: grants or refuses tokens.
        :param dispatcher: performs the manager's actions.
        :param clock: clock of the times that the manager is given.
        :param metrics: counts granted and refused requests for tokens.
        """
        self._manager = manager
        self._dispatcher = dispatcher
        self._clock = clock
        self._take_counter = metrics.token_takes
        self._waiters: Waiters[AttemptRefusal | None] = Waiters()
        dispatcher.register(TokenGranted, self._on_granted)
        dispatcher.register(TokenRefused, self._on_refused)

    async def take(
        self, attempt_id: str, account: str
    ) -> AttemptRefusal | None:
        """Wait for a token; return None once it is taken, else the refusal.

        :param attempt_id: unique id of the attempt.
        :param account: name of the client account.
        """
        self._waiters.expect(attempt_id)
        try:
            self._perform(self._manager.take(attempt_id, account, self._now()))
            return await self._waiters.wait(attempt_id)
        except BaseException:
            self._manager.cancel(attempt_id, account)
            raise

    def _on_granted(self, action: TokenGranted) -> None:
        self._take_counter.labels('admitted').inc()
        self._waiters.resolve(action.req_id, None)

    def _on_refused(self, action: TokenRefused) -> None:
        self._take_counter.labels('refused').inc()
        refused = AttemptRefusal(
            Verdict.NOT_RUN,
            Reason.RATE_EXCEEDED,
            action.retry_after_seconds,
        )
        self._waiters.resolve(action.req_id, refused)

    def _perform(self, actions: Iterable[Any]) -> None:
        self._dispatcher.perform(actions)

    def _now(self) -> float:
        return self._clock.now()
