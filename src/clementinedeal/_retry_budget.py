"""Budget that bounds retries and hedges to a share of first attempts."""

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Token bucket of one service, filled by its first attempts."""

    def __init__(self, limit: float = MAX_SAVED_RETRIES) -> None:
        """Create a full bucket.

        :param limit: retries that may be saved up.
        """
        self._limit = limit
        self._level = limit

    def add_first_attempt(self, ratio: float) -> None:
        """Earn a share of a retry.

        :param ratio: retries earned by one first attempt.
        """
        self._level = min(self._limit, self._level + ratio)

    def take(self) -> bool:
        """Spend one retry if there is one."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


class RetryBudgets:
    """The budgets of all services at one entry."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._budgets: dict[str, RetryBudget] = {}

    def of(self, service: str) -> RetryBudget:
        """Return the budget of a service, creating it at first use.

        :param service: name of the service.
        """
        return self._budgets.setdefault(service, RetryBudget())
