"""The keeper's side of idempotency keys: grants each key to one request."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from clementinedeal._key_answers import answer_repeat, refuse_claim
from clementinedeal._key_messages import (
    ClaimAnswer,
    ClaimKey,
    ClaimOutcome,
    HandOverKeys,
    KeyFound,
    KeyMissing,
    KeyRecord,
    KeySettled,
    KeyState,
    QueryKey,
    SettleKey,
)
from clementinedeal._key_placement import CONVERGENCE_SECONDS, KeyPlacement
from clementinedeal._key_table import KeeperLimits, KeyTable
from clementinedeal._messages import Send
from clementinedeal._quarantine import MovedKeys, Quarantine

QUERY_TIMEOUT_SECONDS = 0.4
MAX_HANDOVER_RECORDS = 20  # in one message
# Nonces count up from the start time in milliseconds, shifted by this many
# bits: a restarted process does not repeat those of its predecessor, unless
# that sent more queries than 2**16 per millisecond of its run.
NONCE_BITS = 16

Sends = tuple[Send, ...]


@dataclass(slots=True)
class _ClaimQuery:
    """A claim that waits for answers of the key's former keepers.

    ``entry`` is the claiming instance, ``give_up_at`` a monotonic time in
    seconds. ``unanswered`` are the instances that have yet to answer,
    ``asked`` all that were queried. ``is_sure`` turns false when one of them
    may have forgotten an earlier claim.
    """

    claim: ClaimKey
    entry: str
    give_up_at: float
    unanswered: set[str]
    asked: set[str] = field(default_factory=set)
    is_sure: bool = True


class Keeper:
    """Grants the idempotency keys of which this instance is the keeper.

    Each key has one keeper, chosen by rendezvous hashing over the published
    instances. A key is granted as new only if this instance and all that may
    have kept the key before would remember an earlier claim. A keeper that
    another one queried about a key does not grant the key any more until it
    has queried that other one in turn.
    """

    def __init__(
        self,
        me: str,
        placement: KeyPlacement,
        limits: KeeperLimits,
        wall_ms: Callable[[], int],
    ) -> None:
        """Create a keeper without records.

        ``start_quarantine`` must be called before its first use.

        :param me: name of this instance.
        :param placement: current and past keepers of the keys.
        :param limits: limits of the memory.
        :param wall_ms: returns the wall-clock time in milliseconds.
        """
        self._me = me
        self._placement = placement
        self._table = KeyTable(limits)
        self._quarantine = Quarantine(limits.retention_seconds, wall_ms)
        self._moved = MovedKeys(
            limits.retention_seconds + CONVERGENCE_SECONDS,
            limits.max_entries,
        )
        self._queries: dict[int, _ClaimQuery] = {}
        self._nonces = itertools.count(wall_ms() << NONCE_BITS)
        self._is_stopping = False

    def start_quarantine(self, now: float) -> None:
        """Start a quarantine, as earlier claims may be unknown here.

        :param now: current monotonic time in seconds.
        """
        self._quarantine.begin(now)
        self._queries.clear()

    def suspend(self) -> None:
        """Grant no new keys until ``resume`` is called."""
        self._quarantine.suspend()

    def resume(self) -> None:
        """Undo ``suspend``; a quarantine still lasts until its own end."""
        self._quarantine.resume()

    def on_claim(self, entry: str, claim: ClaimKey, now: float) -> Sends:
        """Answer a claim, or query the key's former keepers first.

        :param entry: the claiming instance.
        :param claim: the claim.
        :param now: current monotonic time in seconds.
        """
        if self._is_stopping or self._placement.keeper(claim.key) != self._me:
            return (refuse_claim(entry, claim),)
        record = self._table.get(claim.key, now)
        if record is not None and not self._moved.get(claim.key, now):
            return self._answer_from_record(entry, claim, record, now)
        if self._is_being_queried(claim.key):
            return (refuse_claim(entry, claim),)
        return self._query_former_keepers(entry, claim, now)

    def on_settle(self, entry: str, settled: SettleKey, now: float) -> Sends:
        """Record a request's outcome and forward it if the key has moved.

        :param entry: instance that claimed the key for the request.
        :param settled: the outcome.
        :param now: current monotonic time in seconds.
        """
        self._table.settle(settled, now)
        done = Send(entry, KeySettled(settled.req_id))
        moved_to = self._moved.get(settled.key, now)
        if moved_to and moved_to != entry:
            return done, Send(moved_to, settled)
        return (done,)

    def on_query(self, requester: str, query: QueryKey, now: float) -> Sends:
        """Give a key up to another keeper and send what is known of it.

        :param requester: instance name of the other keeper.
        :param query: the query, which names the key.
        :param now: current monotonic time in seconds.
        """
        moved_to = self._moved.get(query.key, now)
        is_sure = self._quarantine.remembers(query.minted_ms, now)
        if self._is_being_queried(query.key):
            missing = KeyMissing(query.nonce, query.key, False, '')
            return (Send(requester, missing),)
        if not self._moved.add(query.key, requester, now):
            return ()
        record = self._table.get(query.key, now)
        if record is None or (moved_to and record.state is KeyState.FREE):
            missing = KeyMissing(query.nonce, query.key, is_sure, moved_to)
            return (Send(requester, missing),)
        return (Send(requester, KeyFound(query.nonce, record)),)

    def on_found(self, found: KeyFound, now: float) -> Sends:
        """Store a record of a former keeper and answer the waiting claim.

        :param found: the record.
        :param now: current monotonic time in seconds.
        """
        pending = self._queries.pop(found.nonce, None)
        if pending is None:
            return ()
        if self._table.put(found.record, now):
            self._moved.discard(found.record.key)
        return self._answer_from_record(
            pending.entry, pending.claim, found.record, now
        )

    def on_missing(self, sender: str, missing: KeyMissing, now: float) -> Sends:
        """Record that a former keeper has no record of a key.

        The claim is decided once all queried instances have answered.

        :param sender: instance name of the former keeper.
        :param missing: its answer.
        :param now: current monotonic time in seconds.
        """
        pending = self._queries.get(missing.nonce)
        if pending is None:
            return ()
        pending.unanswered.discard(sender)
        pending.is_sure = pending.is_sure and missing.sure
        further = {missing.moved_to} - pending.asked - {self._me, ''}
        sends = self._ask(missing.nonce, pending, further)
        if pending.unanswered:
            return sends
        self._queries.pop(missing.nonce)
        return self._decide(pending, now)

    def on_hand_over(self, message: HandOverKeys, now: float) -> None:
        """Store records of an instance that stops, unless known here.

        :param message: the records.
        :param now: current monotonic time in seconds.
        """
        for record in message.records:
            if self._table.get(record.key, now) is None:
                self._table.put(record, now)

    def on_tick(self, now: float) -> Sends:
        """Refuse claims whose former keepers did not answer in time.

        :param now: current monotonic time in seconds.
        """
        late = [
            nonce
            for nonce, pending in self._queries.items()
            if pending.give_up_at <= now
        ]
        ended = [self._queries.pop(nonce) for nonce in late]
        return tuple(
            refuse_claim(pending.entry, pending.claim) for pending in ended
        )

    def stop(self, now: float) -> Sends:
        """Grant no more keys and send each record to the key's next keeper.

        :param now: current monotonic time in seconds.
        """
        self._is_stopping = True
        successors: dict[str, list[KeyRecord]] = {}
        for record in self._table.records(now):
            if record.state is KeyState.FREE:
                continue
            successor = self._placement.next_keeper(record.key)
            successors.setdefault(successor, []).append(record)
        successors.pop('', None)
        return tuple(
            Send(successor, HandOverKeys(tuple(batch)))
            for successor, records in successors.items()
            for batch in _batches(records)
        )

    def _query_former_keepers(
        self, entry: str, claim: ClaimKey, now: float
    ) -> Sends:
        others = self._placement.former_keepers(claim.key, claim.minted_ms, now)
        others.add(self._moved.get(claim.key, now))
        if not self._quarantine.remembers(claim.minted_ms, now):
            others.add(self._placement.next_keeper(claim.key))
        others -= {self._me, ''}
        pending = _ClaimQuery(claim, entry, now + QUERY_TIMEOUT_SECONDS, set())
        if not others:
            return self._decide(pending, now)
        nonce = next(self._nonces)
        self._queries[nonce] = pending
        return self._ask(nonce, pending, others)

    def _ask(self, nonce: int, pending: _ClaimQuery, others: set[str]) -> Sends:
        pending.unanswered |= others
        pending.asked |= others
        claim = pending.claim
        query = QueryKey(claim.key, claim.minted_ms, nonce)
        return tuple(Send(name, query) for name in sorted(others))

    def _decide(self, pending: _ClaimQuery, now: float) -> Sends:
        claim = pending.claim
        record = self._table.get(claim.key, now)
        if record is not None and record.state is not KeyState.FREE:
            return (Send(pending.entry, answer_repeat(claim, record)),)
        remembers = self._quarantine.remembers(claim.minted_ms, now)
        if pending.is_sure and remembers:
            outcome = self._try_grant(claim, now)
            return (Send(pending.entry, ClaimAnswer(claim.req_id, outcome)),)
        wait = self._quarantine.remaining_seconds(now)
        return (refuse_claim(pending.entry, claim, wait),)

    def _answer_from_record(
        self,
        entry: str,
        claim: ClaimKey,
        record: KeyRecord,
        now: float,
    ) -> Sends:
        if record.state is not KeyState.FREE:
            return (Send(entry, answer_repeat(claim, record)),)
        if record.req_id == claim.req_id:
            return (refuse_claim(entry, claim),)
        outcome = self._try_grant(claim, now)
        return (Send(entry, ClaimAnswer(claim.req_id, outcome)),)

    def _try_grant(self, claim: ClaimKey, now: float) -> ClaimOutcome:
        if self._quarantine.is_past_retention(claim.minted_ms):
            return ClaimOutcome.IN_DOUBT
        record = KeyRecord(
            key=claim.key,
            fingerprint=claim.fingerprint,
            req_id=claim.req_id,
            state=KeyState.IN_PROGRESS,
            patience=claim.patience,
        )
        if not self._table.put(record, now):
            return ClaimOutcome.FULL
        self._moved.discard(claim.key)
        return ClaimOutcome.NEW

    def _is_being_queried(self, key: str) -> bool:
        queries = self._queries.values()
        return any(pending.claim.key == key for pending in queries)


def _batches(records: list[KeyRecord]) -> list[list[KeyRecord]]:
    starts = range(0, len(records), MAX_HANDOVER_RECORDS)
    return [records[start : start + MAX_HANDOVER_RECORDS] for start in starts]
