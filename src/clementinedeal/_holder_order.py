"""The order in which an owner asks the holders of an account."""

from clementinedeal._draws import AccountState
from clementinedeal._hashing import rank
from clementinedeal._model import Config

# How long a holder that did not answer in time is not asked again.
SUSPECT_SECONDS = 1.0
# Above any level: holders whose level is unknown are preferred.
UNKNOWN_LEVEL = 1 << 62


class HolderOrder:
    """Puts holders first that answer, have tokens and are near."""

    def __init__(self, me: str, cfg: Config) -> None:
        """Start with no holder suspected.

        :param me: name of this instance.
        :param cfg: configuration in force.
        """
        self._me = me
        self._cfg = cfg
        self._suspects: dict[str, float] = {}
        self._by_distance: dict[tuple[str, ...], list[str]] = {}

    def on_config(self, cfg: Config) -> None:
        """Switch to a newer configuration.

        :param cfg: the configuration that came into force.
        """
        self._cfg = cfg
        self._by_distance.clear()

    def mark_suspect(self, name: str, now: float) -> None:
        """Record that a holder did not answer in time.

        :param name: instance name.
        :param now: monotonic seconds.
        """
        self._suspects[name] = now + SUSPECT_SECONDS

    def clear_suspect(self, name: str) -> None:
        """Record that a holder answered.

        :param name: instance name.
        """
        self._suspects.pop(name, None)

    def order(
        self,
        state: AccountState,
        holders: tuple[str, ...],
        now: float,
    ) -> list[str]:
        """Return the other holders of an account, best first.

        Suspected holders are left out unless all are suspected. Holders with
        tokens precede empty ones, then those of the same region precede
        others, then higher levels precede lower ones, then those of the same
        zone precede others.

        :param state: the account's state at this owner.
        :param holders: all holders of the account.
        :param now: monotonic seconds.
        """
        by_distance = self._by_distance.get(holders)
        if by_distance is None:
            by_distance = self._sort_by_distance(holders)
            self._by_distance[holders] = by_distance
        answering = [
            name for name in by_distance if not self._is_suspect(name, now)
        ]
        chosen = answering or by_distance
        if not state.holder_levels:
            return chosen
        return sorted(chosen, key=lambda name: self._sort_key(state, name, now))

    def _sort_key(
        self,
        state: AccountState,
        name: str,
        now: float,
    ) -> tuple[bool, bool, int]:
        is_empty = now < state.empty_until.get(name, 0)
        level = state.holder_levels.get(name, UNKNOWN_LEVEL)
        return is_empty, not self._is_in_region(name), -level

    def _is_suspect(self, name: str, now: float) -> bool:
        return now < self._suspects.get(name, 0)

    def _sort_by_distance(self, holders: tuple[str, ...]) -> list[str]:
        others = rank(self._me, set(holders) - {self._me})
        others.sort(key=lambda name: not self._is_in_zone(name))
        return sorted(others, key=lambda name: not self._is_in_region(name))

    def _is_in_zone(self, name: str) -> bool:
        own = self._cfg.instances.get(self._me)
        other = self._cfg.instances.get(name)
        return bool(own and other and own.zone == other.zone)

    def _is_in_region(self, name: str) -> bool:
        own = self._cfg.instances.get(self._me)
        other = self._cfg.instances.get(name)
        return bool(own and other and own.region == other.region)
