"""Limits retries and hedges to a fraction of the first attempts."""

# Capacity of a bucket, in retries.
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Token bucket of one service, filled by the service's first attempts."""

    def __init__(self, limit: float = MAX_SAVED_RETRIES) -> None:
        """Create a full bucket.

        :param limit: capacity, the number of retries that may be saved.
        """
        self._limit = limit
        self._level = limit

    def add_first_attempt(self, ratio: float) -> None:
        """Add a fraction of a retry for a first attempt.

        :param ratio: retries allowed for each first attempt.
        """
        self._level = min(self._limit, self._level + ratio)

    def take(self) -> bool:
        """Spend one retry; return whether there was one."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


class RetryBudgets:
    """The retry budgets of all services at one entry.

    The entry is the daemon that took the caller's request.
    """

    def __init__(self) -> None:
        """Create an empty set."""
        self._budgets: dict[str, RetryBudget] = {}

    def for_service(self, service: str) -> RetryBudget:
        """Return the budget of a service; it is created on first use.

        :param service: name of the service.
        """
        return self._budgets.setdefault(service, RetryBudget())
