"""Ranks the daemons that may count a client account."""

import collections
import heapq
from collections.abc import Callable, Collection

import xxhash

from clementinedeal._timers import Clock

# The home and its deputies. Several daemons may be down at once.
MAX_COUNTING_DAEMONS = 4


def rank_hosts(account: str, hosts: Collection[str]) -> tuple[str, ...]:
    """Return the home of an account and its deputies, by rendezvous hashing.

    :param account: name of the account.
    :param hosts: IP addresses of the daemons.
    :return: IP addresses, the home first; empty if there are no daemons.
    """
    ranked = heapq.nlargest(
        MAX_COUNTING_DAEMONS,
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f'{account}/{host}'.encode()),
    )
    return tuple(ranked)


class AccountRanking:
    """The ranking by the current list of daemons, and since when it holds."""

    def __init__(
        self,
        host: str,
        hosts: Callable[[], Collection[str]],
        clock: Clock,
        window: float,
    ) -> None:
        """Start without a list.

        :param host: IP address of this instance.
        :param hosts: returns the IP addresses of all instances.
        :param clock: monotonic time.
        :param window: seconds for which former lists are remembered.
        """
        self._host = host
        self._read_hosts = hosts
        self._clock = clock
        self._window = window
        self._hosts: frozenset[str] = frozenset()
        self._former: collections.deque[tuple[float, frozenset[str]]] = (
            collections.deque()
        )
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._cut_off_at = float('-inf')

    @property
    def daemon_count(self) -> int:
        """Number of daemons in the list, at least 1."""
        return max(1, len(self._hosts))

    def update(self) -> None:
        """Read the list; call often, so that a change is noticed early."""
        now = self._clock.now()
        while self._former and self._former[0][0] < now - self._window:
            self._former.popleft()
        hosts = frozenset(self._read_hosts())
        if hosts is not self._hosts and hosts != self._hosts:
            self._former.append((now, self._hosts))
            self._hosts = hosts
            self._ranked.clear()

    def rank(self, account: str) -> tuple[str, ...]:
        """Return the home of an account and its deputies.

        :param account: name of the account.
        """
        ranked = self._ranked.get(account)
        if ranked is None:
            ranked = rank_hosts(account, self._hosts)
            self._ranked[account] = ranked
        return ranked

    def note_cut_off(self) -> None:
        """Record that deputies may count instead of this daemon now."""
        self._cut_off_at = self._clock.now()

    def home_since(self, account: str) -> float:
        """Return since when this daemon has counted an account as its home.

        :param account: name of the account.
        :return: monotonic seconds; infinite if it is not, negative infinite if
            it is for longer than the window.
        """
        if self.rank(account)[:1] != (self._host,):
            return float('inf')
        for changed_at, hosts in reversed(self._former):
            if rank_hosts(account, hosts)[:1] != (self._host,):
                return max(changed_at, self._cut_off_at)
        return self._cut_off_at
