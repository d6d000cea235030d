"""An instance's share while several configurations may be in force.

A share that shrinks takes effect at once. A share that grows takes effect
only after every daemon that still uses an older configuration has lost its
freshness and the leases that it granted have expired; otherwise the shares in
use could add up to more than the published rate. An account of which no
holder's share shrinks from one version to the next needs no wait.
"""

from dataclasses import dataclass

from clementinedeal._freshness import FRESH_SECONDS
from clementinedeal._leases import HOLDER_LEASE_TTL_SECONDS, LEASE_TTL_SECONDS
from clementinedeal._model import Config
from clementinedeal._shares import AccountShares, Share, ShareTable

# Time allowed for a published version to reach all daemons.
PROPAGATION_SECONDS = 7.0
# Time allowed for a paused daemon to detect its pause.
PAUSE_MARGIN_SECONDS = 2.0
# How much longer a superseded version is kept, for ``stable_share``.
RETENTION_SECONDS = 30.0

# The first term counts twice: a daemon may skip a version that others still
# use, and may then learn of the next version equally late.
GROW_WAIT_SECONDS = (
    2 * (FRESH_SECONDS + PROPAGATION_SECONDS)
    + LEASE_TTL_SECONDS
    + PAUSE_MARGIN_SECONDS
)


@dataclass(slots=True)
class _ShareVersion:
    """Shares under one version that is or was in force here.

    From ``ready_at`` on, no older version is in use in the fleet and no lease
    of it is valid. ``superseded_at`` is when a newer version came into force
    here. Both are in monotonic seconds.
    """

    table: ShareTable
    ready_at: float
    superseded_at: float = float('inf')

    @property
    def version(self) -> int:
        """Version number of the configuration."""
        return self.table.cfg.version


class ShareVersions:
    """The configurations that were in force here recently, newest last."""

    def __init__(
        self,
        me: str,
        cfg: Config,
        now: float,
        config_age_seconds: float,
    ) -> None:
        """Start with one version; earlier ones are unknown.

        :param me: name of this instance.
        :param cfg: configuration in force.
        :param now: monotonic seconds.
        :param config_age_seconds: time since the configuration was published,
            as peers report it, zero when unknown; the real age may be higher.
        """
        self._me = me
        self.reset(cfg, now, config_age_seconds)

    @property
    def table(self) -> ShareTable:
        """Return the shares under the version in force."""
        return self._versions[-1].table

    def reset(self, cfg: Config, now: float, config_age_seconds: float) -> None:
        """Forget all versions and start with one, as after a restart.

        :param cfg: configuration in force.
        :param now: monotonic seconds.
        :param config_age_seconds: as in the constructor.
        """
        wait = max(
            HOLDER_LEASE_TTL_SECONDS, GROW_WAIT_SECONDS - config_age_seconds
        )
        self._versions = [_ShareVersion(ShareTable(cfg), now + wait)]

    def add(self, cfg: Config, now: float) -> None:
        """Use a newer version from now on.

        :param cfg: configuration in force.
        :param now: monotonic seconds; this daemon was fresh until now.
        """
        self._versions[-1].superseded_at = now
        version = _ShareVersion(ShareTable(cfg), now + GROW_WAIT_SECONDS)
        self._versions.append(version)

    def discard_old(self, now: float) -> None:
        """Remove versions that no longer affect any share.

        :param now: monotonic seconds.
        """
        horizon = now - GROW_WAIT_SECONDS - RETENTION_SECONDS
        while self._versions[0].superseded_at <= horizon:
            self._versions.pop(0)

    def next_change(self, now: float) -> float:
        """Return when a share may next grow or a version be removed.

        The time is in monotonic seconds, infinite if there is none.

        :param now: monotonic seconds.
        """
        waits = (GROW_WAIT_SECONDS, GROW_WAIT_SECONDS + RETENTION_SECONDS)
        change_times = (
            version.superseded_at + wait
            for version in self._versions
            for wait in waits
        )
        return min(
            (due for due in change_times if due > now), default=float('inf')
        )

    def ready_at(self) -> float:
        """Return since when ``stable_share`` is valid, in monotonic seconds.

        The time may lie in the future.
        """
        return self._versions[0].ready_at

    def effective_share(self, account: str, now: float) -> Share:
        """Return the share that this instance may use now.

        :param account: name of the account.
        :param now: monotonic seconds.
        """
        return self._lowest_share(account, now - GROW_WAIT_SECONDS)

    def stable_share(self, account: str) -> Share:
        """Return the share that has been available since ``ready_at``.

        It is the lowest share under all versions that are kept.

        :param account: name of the account.
        """
        return self._lowest_share(account, -float('inf'))

    def _lowest_share(self, account: str, since: float) -> Share:
        """Return the lowest share under the versions that still count.

        A version counts if it was superseded after ``since``, unless each
        holder's share stayed or grew from it to the next version.
        """
        newest = self._versions[-1]
        shares = newest.table.find(account)
        lowest = shares.share_of(self._me)
        version = newest.version
        for earlier in reversed(self._versions[:-1]):
            if earlier.superseded_at <= since:
                break
            older = earlier.table.find(account)
            if not _only_grows(shares, version, older, earlier.version):
                shares = older
                lowest = lowest.min_with(older.share_of(self._me))
            version = earlier.version
        return lowest


def _only_grows(
    newer: AccountShares,
    newer_version: int,
    older: AccountShares,
    older_version: int,
) -> bool:
    return newer_version == older_version + 1 and newer.covers(older)
