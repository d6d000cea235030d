"""Whom to ask for a view, and which answers to believe."""

import random
from dataclasses import dataclass

from clementinedeal._membership import Membership
from clementinedeal._messages import Send
from clementinedeal._view_messages import VersionRef, ViewAnswer, ViewRequest

ASK_SECONDS = 0.5
START_ASK_SECONDS = 0.25
START_PEERS = 3
ANSWER_SECONDS = 2.0
FULL_SECONDS = 10.0
HEARD_SHARE = 0.75  # of requests; the rest may go to silent instances
DRAWS = 5
NONCE_BITS = 62


@dataclass(frozen=True, slots=True)
class Asked:
    """A request that may still be answered."""

    peer: str
    sent_at: float


class Gossip:
    """Asks random peers; each answer is matched to its request."""

    def __init__(
        self,
        me: str,
        members: Membership,
        rng: random.Random,
    ) -> None:
        """Start with no request under way.

        :param me: name of this instance.
        :param members: the published instances.
        :param rng: draws peers and nonces.
        """
        self._me = me
        self._members = members
        self._rng = rng
        self._asked: dict[int, Asked] = {}
        self._due = 0.0
        self._wants_full = True
        self._differs_since: float | None = None

    def ask(
        self,
        now: float,
        *,
        control: str,
        held: VersionRef | None,
    ) -> list[Send]:
        """Return the requests that are due.

        :param now: monotonic seconds.
        :param control: this daemon's control address.
        :param held: version in force here.
        """
        names = self._members.roster.names
        if now < self._due or set(names) <= {self._me}:
            return []
        self._expire(now)
        gap = START_ASK_SECONDS if held is None else ASK_SECONDS
        self._due = now + gap * self._rng.uniform(0.9, 1.1)
        count = START_PEERS if held is None else 1
        peers = {self._draw(names, now) for _ in range(count)}
        return [
            Send(peer, self._request(peer, now, control, held))
            for peer in sorted(peers)
        ]

    def on_answer(
        self,
        sender: str,
        answer: ViewAnswer,
        now: float,
    ) -> float | None:
        """Return when the request of an answer was sent, in monotonic seconds.

        :param sender: who answered.
        :param answer: the answer; nothing is returned for one not asked for,
            late or repeated.
        :param now: monotonic seconds.
        """
        self._expire(now)
        asked = self._asked.get(answer.nonce)
        if asked is None or asked.peer != sender:
            return None
        self._asked.pop(answer.nonce)
        self._compare(answer, now)
        return asked.sent_at

    def drop(self) -> None:
        """Forget requests under way, after a pause."""
        self._asked.clear()
        self._due = 0.0
        self._wants_full = True

    def _request(
        self,
        peer: str,
        now: float,
        control: str,
        held: VersionRef | None,
    ) -> ViewRequest:
        nonce = self._rng.getrandbits(NONCE_BITS)
        self._asked[nonce] = Asked(peer, now)
        full = self._wants_full
        self._wants_full = False
        return ViewRequest(nonce=nonce, control=control, held=held, full=full)

    def _draw(self, names: tuple[str, ...], now: float) -> str:
        choice = self._me
        anyone = self._rng.random() >= HEARD_SHARE
        for _ in range(DRAWS):
            choice = self._rng.choice(names)
            usable = anyone or not self._members.is_silent(choice, now)
            if choice != self._me and usable:
                return choice
        others = [name for name in names if name != self._me]
        return self._rng.choice(others)

    def _compare(self, answer: ViewAnswer, now: float) -> None:
        same = answer.records_digest == self._members.roster.records_digest()
        if same or answer.names != self._members.roster.names_digest:
            self._differs_since = None
        elif self._differs_since is None:
            self._differs_since = now
        elif now - self._differs_since > FULL_SECONDS:
            self._differs_since = None
            self._wants_full = True

    def _expire(self, now: float) -> None:
        self._asked = {
            nonce: asked
            for nonce, asked in self._asked.items()
            if now - asked.sent_at <= ANSWER_SECONDS
        }
