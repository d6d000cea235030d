"""Lends a limited number of permits to eject targets of one service."""

from dataclasses import dataclass
from typing import Any

from clementinedeal._freshness import FRESH_SECONDS
from clementinedeal._hashing import rank
from clementinedeal._messages import Send
from clementinedeal._model import Config
from clementinedeal._peer_traffic import PeerTraffic
from clementinedeal._permit_messages import PermitAnswer, TargetReport
from clementinedeal._trailing_minimum import TrailingMinimum

# How long an owner may use a permit, from the sending of the report that asked
# for it.
LEASE_SECONDS = 5.0
# The holder counts a permit for this much longer than its owner uses it. This
# covers a pause that goes unnoticed and the drift between the two clocks.
LEASE_MARGIN_SECONDS = 1.0
# A holder whose last tick is older may have been paused, with an outdated view.
MAX_TICK_AGE_SECONDS = 0.5
# How long another view may still have an effect. A daemon with another version
# grants permits until its view is no longer fresh, and the last one granted
# runs for a lease. The second FRESH_SECONDS covers a version that this daemon
# skipped while another daemon lent permits under it.
SETTLE_SECONDS = 2 * FRESH_SECONDS + LEASE_SECONDS + LEASE_MARGIN_SECONDS


def targets_of(cfg: Config, service: str) -> frozenset[str]:
    """Return the names of the published targets of a service.

    :param cfg: the configuration in force.
    :param service: name of the service.
    """
    return frozenset(
        name
        for name, target in cfg.targets.items()
        if target.service == service
    )


def holder_of(cfg: Config, service: str) -> str | None:
    """Return the instance that lends the permits of a service.

    It is the first of the targets' owners in the rendezvous order of the
    service, or None if the service has no targets.

    :param cfg: the configuration in force.
    :param service: name of the service.
    """
    targets = cfg.targets.values()
    owners = {one.instance for one in targets if one.service == service}
    ranked = rank(f'permits/{service}', owners)
    return ranked[0] if ranked else None


@dataclass(slots=True)
class LentPermit:
    """One permit that was lent, as its holder records it.

    ``incarnation`` and ``sent_at`` are those of the newest report that was
    granted. ``expires_at`` is in the holder's monotonic seconds.
    ``is_lapsing`` is set once a renewal was refused.
    """

    incarnation: int
    sent_at: float
    expires_at: float
    is_lapsing: bool = False


class PermitHolder:
    """Lends the permits of one service, while it is the service's holder.

    The holder is the daemon that keeps count of the permits of a service. A
    permit allows the owner of a target to eject it for the time of a lease.
    Invariant: a permit is granted only if, with it, the targets out of use
    (with a permit, dead or leaving) are no more than the service's targets
    less its floor.
    """

    def __init__(
        self,
        service: str,
        me: str,
        cfg: Config,
        now: float,
    ) -> None:
        """Start without permits.

        None are lent for ``SETTLE_SECONDS``, in which those that an earlier
        holder lent expire.

        :param service: name of the service.
        :param me: name of this instance.
        :param cfg: the configuration in force.
        :param now: monotonic time in seconds.
        """
        self._service = service
        self._me = me
        self._is_fresh = False
        self._is_stopped = False
        self._absent: frozenset[str] = frozenset()
        self._leaving: set[str] = set()
        self._permits: dict[str, LentPermit] = {}
        self._peers = PeerTraffic()
        self._ticked_at = now
        self._limit = TrailingMinimum(SETTLE_SECONDS)
        self.on_config(cfg, now)

    def on_config(self, cfg: Config, now: float) -> None:
        """Apply a new configuration.

        :param cfg: the configuration.
        :param now: monotonic time in seconds.
        """
        self._cfg = cfg
        self._targets = targets_of(cfg, self._service)
        self._leaving &= self._targets
        self._update_limit(now)

    def set_fresh(self, is_fresh: bool, now: float) -> None:
        """Set whether this daemon's view of the fleet is fresh enough to lend.

        :param is_fresh: whether the view is fresh.
        :param now: monotonic time in seconds.
        """
        self._is_fresh = is_fresh
        self._update_limit(now)

    def set_absent(self, targets: frozenset[str], now: float) -> None:
        """Set the targets that are known to be dead or leaving.

        :param targets: their names; those of other services are ignored.
        :param now: monotonic time in seconds.
        """
        self._absent = targets
        self._prune(now)

    def on_pause(self, now: float) -> None:
        """Lend nothing for ``SETTLE_SECONDS`` after a pause.

        :param now: monotonic time in seconds.
        """
        self._limit.set_value(0, now)
        self._update_limit(now)

    def on_tick(self, now: float) -> None:
        """Record that this daemon is running; without it nothing is lent.

        :param now: monotonic time in seconds.
        """
        self._ticked_at = now

    def stop(self, now: float) -> None:
        """Lend no more permits.

        :param now: monotonic time in seconds.
        """
        self._is_stopped = True
        self._update_limit(now)

    def on_message(self, sender: str, body: Any, now: float) -> list[Send]:
        """Answer a report of an owner.

        A report by any other instance than the target's owner has no effect,
        and its answer grants nothing.

        :param sender: name of the instance that sent the message.
        :param body: the message; ignored if it is not a report.
        :param now: monotonic time in seconds.
        """
        if not isinstance(body, TargetReport):
            return []
        self._prune(now)
        granted = False
        if self._is_owner(sender, body):
            self._peers.set_traffic(body.target, body.traffic, now)
            self._update_leaving(body)
            granted = self._grant_or_return(body, now)
        if not body.wants and not body.compares:
            return []
        answer = PermitAnswer(
            target=body.target,
            incarnation=body.incarnation,
            sent_at=body.sent_at,
            granted=granted,
            baseline=self._peers.baseline(body.target, now),
        )
        return [Send(sender, answer)]

    def lent_targets(self, now: float) -> frozenset[str]:
        """Return the targets whose permits may still be in use.

        :param now: monotonic time in seconds.
        """
        self._prune(now)
        return frozenset(self._permits)

    def _grant_or_return(self, report: TargetReport, now: float) -> bool:
        permit = self._permits.get(report.target)
        if permit is not None and _is_outdated(report, permit):
            return False
        if not report.wants:
            self._permits.pop(report.target, None)
            return False
        if self._count_unavailable(report.target, permit) > self._limit_at(now):
            if permit is not None:
                permit.is_lapsing = True
            return False
        until = now + LEASE_SECONDS + LEASE_MARGIN_SECONDS
        self._permits[report.target] = LentPermit(
            report.incarnation,
            report.sent_at,
            until,
        )
        return True

    def _limit_at(self, now: float) -> int:
        if now - self._ticked_at > MAX_TICK_AGE_SECONDS:
            return 0
        return self._limit.minimum(now)

    def _count_unavailable(self, target: str, permit: LentPermit | None) -> int:
        """Count the targets out of use if this one has a permit too.

        A renewal doesn't count the permits that are lapsing: these end on
        their own, so the renewal need not be refused because of them.
        """
        is_renewal = permit is not None and not permit.is_lapsing
        lent = {
            name
            for name, other in self._permits.items()
            if not (is_renewal and other.is_lapsing)
        }
        absent = (self._absent | self._leaving) & self._targets
        return len(lent | absent | {target})

    def _is_owner(self, sender: str, report: TargetReport) -> bool:
        if report.target not in self._targets:
            return False
        return self._cfg.targets[report.target].instance == sender

    def _update_leaving(self, report: TargetReport) -> None:
        if report.leaving:
            self._leaving.add(report.target)
        else:
            self._leaving.discard(report.target)

    def _update_limit(self, now: float) -> None:
        may_lend = (
            self._is_fresh
            and not self._is_stopped
            and self._cfg.active_preset.ejection
        )
        if not may_lend or holder_of(self._cfg, self._service) != self._me:
            self._limit.set_value(0, now)
            return
        allowed = len(self._targets) - self._cfg.floor(self._service)
        self._limit.set_value(max(0, allowed), now)

    def _prune(self, now: float) -> None:
        self._peers.prune(now)
        self._permits = {
            name: permit
            for name, permit in self._permits.items()
            if permit.expires_at > now
        }


def _is_outdated(report: TargetReport, permit: LentPermit) -> bool:
    """Return whether a report is late or from another run of its owner."""
    if report.incarnation != permit.incarnation:
        return True
    return report.sent_at <= permit.sent_at
