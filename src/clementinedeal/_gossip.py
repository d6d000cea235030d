"""Chooses peers to ask for their view and matches answers to requests."""

import random
from dataclasses import dataclass

from clementinedeal._membership import Membership
from clementinedeal._messages import Send
from clementinedeal._view_messages import VersionRef, ViewAnswer, ViewRequest

# Mean interval at which peers are asked for their views.
QUERY_INTERVAL_SECONDS = 0.5
# While no version is in force, more peers are asked, and more often.
START_QUERY_INTERVAL_SECONDS = 0.25
START_PEER_COUNT = 3
# Answers that arrive later are ignored.
ANSWER_TIMEOUT_SECONDS = 2.0
# Records that differ from a peer's for longer are requested in full.
MAX_DIFFERENCE_SECONDS = 10.0
# Fraction of requests that prefer instances heard lately. The others may go to
# silent instances, so that the return of an instance is noticed.
HEARD_PEER_FRACTION = 0.75
MAX_DRAWS = 5  # for a suitable peer; after them any other peer is taken
NONCE_BITS = 62


@dataclass(frozen=True, slots=True)
class ViewQuery:
    """A request for a view that may still be answered.

    ``peer`` is the instance asked, ``sent_at`` is in monotonic seconds.
    """

    peer: str
    sent_at: float


class Gossip:
    """Asks random peers for their view and matches each answer by nonce."""

    def __init__(
        self,
        me: str,
        members: Membership,
        rng: random.Random,
    ) -> None:
        """Start without pending requests.

        :param me: name of this instance.
        :param members: the published instances.
        :param rng: source of randomness for peers, nonces and intervals.
        """
        self._me = me
        self._members = members
        self._rng = rng
        self._queries: dict[int, ViewQuery] = {}
        self._next_query_at = 0.0
        self._wants_full = True
        self._differs_since: float | None = None

    def due_requests(
        self,
        now: float,
        *,
        control_address: str,
        held: VersionRef | None,
    ) -> list[Send]:
        """Return the requests that are due.

        :param now: monotonic seconds.
        :param control_address: this daemon's control address, ``ip:port``.
        :param held: the version in force here, None for none.
        """
        names = self._members.roster.names
        if now < self._next_query_at or set(names) <= {self._me}:
            return []
        self._drop_expired(now)
        interval = (
            START_QUERY_INTERVAL_SECONDS
            if held is None
            else QUERY_INTERVAL_SECONDS
        )
        self._next_query_at = now + interval * self._rng.uniform(0.9, 1.1)
        count = START_PEER_COUNT if held is None else 1
        peers = {self._draw_peer(names, now) for _ in range(count)}
        return [
            Send(peer, self._build_request(peer, now, control_address, held))
            for peer in sorted(peers)
        ]

    def on_answer(
        self,
        sender: str,
        answer: ViewAnswer,
        now: float,
    ) -> float | None:
        """Return when the request of an answer was sent, in monotonic seconds.

        None is returned for an answer that was not requested from this peer,
        is late or is a repetition; it must be ignored.

        :param sender: name of the peer that answered.
        :param answer: its answer.
        :param now: monotonic seconds.
        """
        self._drop_expired(now)
        query = self._queries.get(answer.nonce)
        if query is None or query.peer != sender:
            return None
        self._queries.pop(answer.nonce)
        self._compare_records(answer, now)
        return query.sent_at

    def on_pause(self) -> None:
        """Discard pending requests after the process was suspended."""
        self._queries.clear()
        self._next_query_at = 0.0
        self._wants_full = True

    def _build_request(
        self,
        peer: str,
        now: float,
        control_address: str,
        held: VersionRef | None,
    ) -> ViewRequest:
        nonce = self._rng.getrandbits(NONCE_BITS)
        self._queries[nonce] = ViewQuery(peer, now)
        full = self._wants_full
        self._wants_full = False
        return ViewRequest(
            nonce=nonce, control=control_address, held=held, full=full
        )

    def _draw_peer(self, names: tuple[str, ...], now: float) -> str:
        choice = self._me
        may_be_silent = self._rng.random() >= HEARD_PEER_FRACTION
        for _ in range(MAX_DRAWS):
            choice = self._rng.choice(names)
            is_usable = may_be_silent or not self._members.is_silent(
                choice, now
            )
            if choice != self._me and is_usable:
                return choice
        others = [name for name in names if name != self._me]
        return self._rng.choice(others)

    def _compare_records(self, answer: ViewAnswer, now: float) -> None:
        """Request all records next if they have differed for too long."""
        is_same = answer.records_digest == self._members.roster.records_digest()
        if is_same or answer.names != self._members.roster.names_digest:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        elif now - self._differs_since > MAX_DIFFERENCE_SECONDS:
            self._differs_since = None
            self._wants_full = True

    def _drop_expired(self, now: float) -> None:
        self._queries = {
            nonce: query
            for nonce, query in self._queries.items()
            if now - query.sent_at <= ANSWER_TIMEOUT_SECONDS
        }
