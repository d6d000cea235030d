"""Claims of idempotency keys between entries and keepers, under faults."""

import uuid
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinedeal import _claims as cl
from clementinedeal._hashing import Candidates
from clementinedeal._idempotency import (
    MAX_PAUSE_SECONDS,
    IdempotencyManager,
    key_digest,
)
from clementinedeal._key_messages import (
    KeyState,
    SettleKey,
    StoredAnswer,
)
from clementinedeal._key_placement import KeyPlacement
from clementinedeal._key_table import RECORD_BYTES, KeeperLimits
from clementinedeal._messages import Send
from clementinedeal._verdict import Reason, Verdict

LIMITS = KeeperLimits(max_entries=2, retention_seconds=100, max_body_bytes=4)
ANSWER = StoredAnswer(201, (), b'ok')
STEADY_AT = 500.0  # seconds; any quarantine has ended by then
OLD, NEW = ('a', 'b'), ('b', 'c')
KEY = next(
    key
    for key in map(str, range(99))
    if Candidates(OLD).heaviest(key_digest('c', key)) == 'a'
    and Candidates(NEW).heaviest(key_digest('c', key)) == 'c'
)


def make_config(names: tuple[str, ...]) -> Any:
    return SimpleNamespace(instances=dict.fromkeys(names))


@given(st.lists(st.sets(st.sampled_from('abcdef'), min_size=1), max_size=4))
def test_former_keepers_are_those_of_each_list(lists: list[set[str]]) -> None:
    placement = KeyPlacement('ab', retention_seconds=100)
    for number, names in enumerate(lists):
        placement.update(names, number, 1000 * number + 1)
    seen = [{'a', 'b'}, *lists]
    changed = [old for old, new in pairwise(seen) if old != new]
    former = {Candidates(names).heaviest('k') for names in changed}
    assert placement.former_keepers('k', 0, len(lists)) == former
    assert placement.keeper('k') == Candidates(seen[-1]).heaviest('k')
    assert placement.former_keepers('k', 10**9, len(lists)) == set()
    assert placement.former_keepers('k', 0, 200) == set()


class Managers:
    """Managers that exchange messages at once, except with those in ``cut``."""

    def __init__(self, *names: str) -> None:
        self.now = 0.0
        self.cut: set[str] = set()
        self.sent: list[Any] = []
        self.by_name = {name: self.boot(name, OLD) for name in names}

    def boot(self, name: str, published_names: tuple[str, ...]) -> Any:
        return IdempotencyManager(
            name,
            make_config(published_names),
            self.now,
            wall_ms=lambda: int(self.now * 1000) + 1,
            limits=LIMITS,
        )

    def at(self, now: float) -> 'Managers':
        while self.now < now:
            self.now = min(now, self.now + 1)
            for name in self.by_name:
                self.deliver(name, self.by_name[name].on_tick(self.now))
        return self

    def deliver(self, sender: str, actions: Any) -> list[Any]:
        decided = [action for action in actions if not isinstance(action, Send)]
        for send in [action for action in actions if isinstance(action, Send)]:
            self.sent.append(send.body)
            if not {sender, send.to} & self.cut:
                manager = self.by_name[send.to]
                answers = manager.on_message(sender, send.body, self.now)
                decided += self.deliver(send.to, answers)
        return decided

    def claim(self, entry: str, req_id: str, key: str = KEY) -> Any:
        claimed = self.by_name[entry].claim(req_id, 'c', key, 'f', 3, self.now)
        decided = self.deliver(entry, claimed)
        return decided[0] if decided else None

    def complete(self, entry: str, req_id: str, verdict: Verdict) -> None:
        stored = ANSWER if verdict is Verdict.RAN else None
        done = self.by_name[entry].complete(req_id, verdict, stored, self.now)
        self.deliver(entry, done)


def refused(req_id: str, reason: Reason, verdict: Verdict) -> Any:
    """Return a function that checks whether an action is this refusal."""

    def matches(action: Any) -> bool:
        fields = (action.req_id, action.reason, action.verdict)
        return fields == (req_id, reason, verdict)

    return matches


NOT_KEPT = (Reason.KEEPER_UNAVAILABLE, Verdict.NOT_RUN)


@pytest.mark.parametrize(
    ('verdict', 'repeat'),
    [
        (Verdict.NOT_RUN, cl.ClaimGranted('r2')),
        (Verdict.RAN, cl.Replay('r2', ANSWER)),
        (
            Verdict.MAY_HAVE_RUN,
            cl.ClaimRefused('r2', Reason.DUPLICATE, Verdict.MAY_HAVE_RUN),
        ),
    ],
)
def test_a_repeat_gets_the_outcome_of_the_first_request(
    verdict: Verdict, repeat: Any
) -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    assert fleet.claim('b', 'r1') == cl.ClaimGranted('r1')
    early = fleet.claim('a', 'r0')
    assert refused('r0', Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN)(early)
    fleet.complete('b', 'r1', verdict)
    assert fleet.by_name['b'].unsettled == 0
    assert fleet.claim('a', 'r2') == repeat


def test_another_request_with_the_key_is_refused() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    fleet.claim('b', 'r1')
    manager = fleet.by_name['a']
    decided = manager.claim('r2', 'c', KEY, 'other', 3, STEADY_AT)[0]
    assert refused('r2', Reason.KEY_REUSED, Verdict.NOT_RUN)(decided)


def test_an_unreachable_keeper_is_sent_the_settlement_later() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    fleet.cut = {'a'}
    assert fleet.claim('b', 'r1') is None
    timed_out = fleet.by_name['b'].on_tick(STEADY_AT + 1)
    assert refused('r1', *NOT_KEPT)(timed_out[0])
    assert isinstance(timed_out[1].body, SettleKey)
    fleet.cut = set()
    fleet.at(STEADY_AT + 3)
    assert fleet.by_name['b'].unsettled == 0


def test_a_restarted_keeper_knows_only_keys_newer_than_itself() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    names = OLD
    fleet.by_name = {name: fleet.boot(name, names) for name in names}
    assert refused('r1', *NOT_KEPT)(fleet.claim('b', 'r1'))
    fleet.at(STEADY_AT + 95)
    made = int(fleet.now * 1000) << 80 | 7 << 76 | 2 << 62
    assert fleet.claim('b', 'r2', str(uuid.UUID(int=made))) == cl.ClaimGranted(
        'r2'
    )
    assert refused('r3', *NOT_KEPT)(fleet.claim('b', 'r3'))
    fleet.at(STEADY_AT + 131)
    assert fleet.claim('b', 'r4') == cl.ClaimGranted('r4')


def test_a_former_keeper_grants_no_more_after_a_new_one_asked_it() -> None:
    fleet = Managers('a', 'b', 'c').at(STEADY_AT)
    for name in 'bc':
        fleet.by_name[name].on_config(make_config(NEW), STEADY_AT)
    assert fleet.claim('c', 'r1') == cl.ClaimGranted('r1')
    decided = fleet.claim('a', 'r2')
    assert refused('r2', Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN)(decided)
    fleet.complete('c', 'r1', Verdict.RAN)
    assert fleet.claim('b', 'r3') == cl.Replay('r3', ANSWER)


def test_a_new_keeper_refuses_while_the_former_one_is_silent() -> None:
    fleet = Managers('a', 'b', 'c').at(STEADY_AT)
    fleet.claim('b', 'r1')
    for name in 'bc':
        fleet.by_name[name].on_config(make_config(NEW), STEADY_AT)
    fleet.cut = {'a'}
    fleet.claim('c', 'r2')
    timed_out = fleet.by_name['c'].on_tick(STEADY_AT + 0.5)
    assert refused('r2', *NOT_KEPT)(timed_out[0])
    fleet.cut = set()
    decided = fleet.claim('b', 'r3')
    assert refused('r3', Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN)(decided)


def test_two_keepers_that_ask_one_another_both_refuse() -> None:
    fleet = Managers('a', 'b', 'c').at(STEADY_AT)
    for name in 'bc':
        fleet.by_name[name].on_config(make_config(NEW), STEADY_AT)
    undelivered = fleet.by_name['c'].claim('r1', 'c', KEY, 'f', 3, STEADY_AT)
    fleet.by_name['a'].on_message('c', undelivered[0].body, STEADY_AT)
    fleet.at(STEADY_AT + 1)
    crossed = {
        name: fleet.by_name[name].claim(
            f'r-{name}', 'c', KEY, 'f', 3, fleet.now
        )
        for name in 'ac'
    }
    answers = {
        name: fleet.by_name[other].on_message(
            name, crossed[name][0].body, STEADY_AT + 1
        )
        for name, other in (('a', 'c'), ('c', 'a'))
    }
    for name, other in (('a', 'c'), ('c', 'a')):
        decided = fleet.deliver(other, answers[name])
        assert [
            refused(f'r-{name}', *NOT_KEPT)(action) for action in decided
        ] == [True]


def test_a_keeper_that_was_paused_is_in_quarantine() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    fleet.now = STEADY_AT + MAX_PAUSE_SECONDS + 1
    fleet.by_name['b'].on_tick(fleet.now)
    assert refused('r1', *NOT_KEPT)(fleet.claim('b', 'r1'))


def test_a_planned_stop_hands_over_what_the_successor_replays() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    fleet.claim('b', 'r1')
    fleet.complete('b', 'r1', Verdict.RAN)
    fleet.deliver('a', fleet.by_name['a'].stop(STEADY_AT))
    assert refused('r2', *NOT_KEPT)(fleet.claim('b', 'r2'))
    fleet.by_name['a'] = fleet.boot('a', OLD)
    assert fleet.claim('b', 'r3') == cl.Replay('r3', ANSWER)


def test_the_table_is_bounded_in_entries_and_bytes() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    kept = [
        key
        for key in map(str, range(99))
        if Candidates(OLD).heaviest(key_digest('c', key)) == 'a'
    ]
    for number in range(2):
        granted = fleet.claim('b', f'r{number}', kept[number])
        assert granted == cl.ClaimGranted(f'r{number}')
    assert refused('r2', *NOT_KEPT)(fleet.claim('b', 'r2', kept[2]))
    large = StoredAnswer(200, (), b'12345')
    done = fleet.by_name['b'].complete('r0', Verdict.RAN, large, STEADY_AT)
    fleet.deliver('b', done)
    decided = fleet.claim('b', 'r3', kept[0])
    assert refused('r3', Reason.DUPLICATE, Verdict.RAN)(decided)
    table = fleet.by_name['a']._keeper._table
    assert table.used_bytes == 2 * RECORD_BYTES
    states = {record.state for record in table.records(STEADY_AT + 60)}
    assert states == {KeyState.DONE, KeyState.IN_DOUBT}
    fleet.at(STEADY_AT + 120)
    assert table.records(fleet.now) == ()


def test_a_keeper_without_fresh_configuration_grants_nothing() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    fleet.by_name['a'].set_fresh(False, STEADY_AT)
    assert refused('r1', *NOT_KEPT)(fleet.claim('b', 'r1'))
    fleet.at(2 * STEADY_AT)
    assert refused('r2', *NOT_KEPT)(fleet.claim('b', 'r2'))
    fleet.by_name['a'].set_fresh(True, fleet.now)
    assert refused('r3', *NOT_KEPT)(fleet.claim('b', 'r3'))
    fleet.at(3 * STEADY_AT)
    assert fleet.claim('b', 'r4') == cl.ClaimGranted('r4')


def test_a_cancelled_claim_leaves_the_key_free() -> None:
    fleet = Managers('a', 'b').at(STEADY_AT)
    claimed = fleet.by_name['b'].claim('r1', 'c', KEY, 'f', 3, STEADY_AT)
    cancelled = fleet.by_name['b'].complete(
        'r1', Verdict.NOT_RUN, None, STEADY_AT
    )
    assert fleet.deliver('b', claimed) == []
    fleet.deliver('b', cancelled)
    assert fleet.claim('a', 'r2') == cl.ClaimGranted('r2')
