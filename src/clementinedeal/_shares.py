"""Which instances hold an account's rate and burst, and how much each holds.

Everything here is computed from one published configuration, so all daemons
that have the same version agree without exchanging messages.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from decimal import Decimal

from clementinedeal._hashing import rank
from clementinedeal._leases import MICROS_PER_UNIT
from clementinedeal._model import Account, Config, Instance

# An account gets one holder for each of these requests per second, within
# MIN_HOLDERS and MAX_HOLDERS.
RATE_PER_HOLDER = 10.0
MIN_HOLDERS = 2
MAX_HOLDERS = 64


@dataclass(frozen=True, slots=True)
class Share:
    """The part of an account's rate and burst that one instance holds.

    ``rate`` is in micro-tokens per second, ``burst`` in micro-tokens.
    """

    rate: int = 0
    burst: int = 0

    def min_with(self, other: 'Share') -> 'Share':
        """Return a share of the lower rate and the lower burst.

        :param other: share to compare with.
        """
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))

    def covers(self, other: 'Share') -> bool:
        """Return whether rate and burst are at least those of the other.

        :param other: share to compare with.
        """
        return self.rate >= other.rate and self.burst >= other.burst


NO_SHARE = Share()


@dataclass(frozen=True, slots=True)
class AccountShares:
    """The holders of one account and their shares.

    ``holders`` are instance names in the order of rendezvous hashing, the
    first of each zone before the second of any. ``shares`` has one entry for
    each of them.
    """

    holders: tuple[str, ...] = ()
    shares: tuple[Share, ...] = ()

    def share_of(self, name: str) -> Share:
        """Return an instance's share, ``NO_SHARE`` if it holds none.

        :param name: instance name.
        """
        if name not in self.holders:
            return NO_SHARE
        return self.shares[self.holders.index(name)]

    def covers(self, other: 'AccountShares') -> bool:
        """Return whether each holder's share covers its share in the other.

        :param other: shares of the same account under another version.
        """
        return all(
            self.share_of(name).covers(share)
            for name, share in zip(other.holders, other.shares, strict=True)
        )


NO_SHARES = AccountShares()


class ShareTable:
    """The shares of all accounts under one configuration.

    The shares of an account are computed when they are first requested.
    """

    def __init__(self, cfg: Config) -> None:
        """Index the owners of all services.

        :param cfg: one version of the whole configuration.
        """
        self.cfg = cfg
        self._owners = _owners_by_service(cfg)
        self._computed: dict[str, AccountShares] = {}

    def find(self, account: str) -> AccountShares:
        """Return the shares of an account, ``NO_SHARES`` if it is unknown.

        :param account: name of the account.
        """
        computed = self._computed.get(account)
        if computed is not None:
            return computed
        declared = self.cfg.accounts.get(account)
        if declared is None:
            return NO_SHARES
        shares = account_shares(declared, self._candidates(declared))
        self._computed[account] = shares
        return shares

    def _candidates(self, account: Account) -> tuple[Instance, ...]:
        names: set[str] = set()
        for service in account.services:
            names |= self._owners.get(service, frozenset())
        return tuple(self.cfg.instances[name] for name in names)


def account_shares(
    account: Account,
    candidates: Iterable[Instance],
) -> AccountShares:
    """Choose the holders of an account and split its rate and burst.

    The shares add up to exactly the published rate and burst.

    :param account: the published account.
    :param candidates: instances that own a target which it may call.
    """
    ordered_names = _order_across_zones(account.name, candidates)
    count = min(holder_count(account.rate), len(ordered_names))
    if not count:
        return NO_SHARES
    rates = split_evenly(to_micros(account.rate), count)
    bursts = split_evenly(to_micros(account.burst), count)
    return AccountShares(
        tuple(ordered_names[:count]),
        tuple(map(Share, rates, bursts)),
    )


def holder_count(rate: float) -> int:
    """Return the number of holders of an account with a given rate.

    :param rate: requests per second.
    """
    wanted = math.ceil(rate / RATE_PER_HOLDER)
    return max(MIN_HOLDERS, min(MAX_HOLDERS, wanted))


def to_micros(published: float) -> int:
    """Convert a published rate or burst to millionths, rounded down.

    The conversion is decimal, so that binary rounding does not change the
    published value.

    :param published: rate in tokens per second, or burst in tokens.
    """
    return math.floor(Decimal(str(published)) * MICROS_PER_UNIT)


def split_evenly(total: int, count: int) -> tuple[int, ...]:
    """Split an integer into parts that differ by at most one.

    :param total: sum of the parts.
    :param count: number of parts, above zero.
    """
    part, remainder = divmod(total, count)
    return tuple(part + (index < remainder) for index in range(count))


def _order_across_zones(
    account: str, candidates: Iterable[Instance]
) -> list[str]:
    """Order candidates by rendezvous hashing, the first of each zone first."""
    zones = {instance.name: instance.zone for instance in candidates}
    count_by_zone: dict[str, int] = {}
    positions: list[tuple[int, int, str]] = []
    for order, name in enumerate(rank(account, zones)):
        position_in_zone = count_by_zone.get(zones[name], 0)
        count_by_zone[zones[name]] = position_in_zone + 1
        positions.append((position_in_zone, order, name))
    return [choice[-1] for choice in sorted(positions)]


def _owners_by_service(cfg: Config) -> Mapping[str, frozenset[str]]:
    owners: dict[str, set[str]] = {}
    for target in cfg.targets.values():
        if target.instance in cfg.instances:
            owners.setdefault(target.service, set()).add(target.instance)
    return {service: frozenset(names) for service, names in owners.items()}
