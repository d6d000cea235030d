"""Which published versions a daemon brings into force or rejects."""

from dataclasses import replace

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from clementinedeal._acceptance import PEER_WAIT_SECONDS, Acceptance, Bundle
from clementinedeal._parts import digest_of
from clementinedeal._publication import pack, read_root
from clementinedeal._view_actions import ConfigInForce, ConfigRejected
from clementinedeal._view_messages import VersionRef
from clementinedeal_bench._large_config import large_config

CFG = large_config(accounts=3, routes=2, targets=4, instances=4)


def bundle(version, *, valid=True, rate=10.0):
    account = replace(CFG.accounts['account-00000'], rate=rate)
    services = CFG.services if valid else {}
    accounts = {account.name: account}
    cfg = replace(CFG, version=version, accounts=accounts, services=services)
    publication = pack(cfg).unwrap()
    ref = VersionRef(version, digest_of(publication.root))
    root = read_root(publication.root).unwrap()
    return Bundle(ref, root, publication.root, publication.parts)


class AcceptanceMachine(RuleBasedStateMachine):
    """A valid version comes into force only above the one in force.

    Invalid versions and other content under the number in force are rejected,
    each reported once.
    """

    def __init__(self):
        super().__init__()
        self.acceptance = Acceptance()
        self.acceptance.gate.on_peers_asked(0)
        self.now = PEER_WAIT_SECONDS
        self.held = None
        self.reported = set()

    @rule(
        version=st.integers(1, 6),
        valid=st.booleans(),
        rate=st.sampled_from([10.0, 20.0]),
    )
    def offer(self, version, valid, rate):
        offered = bundle(version, valid=valid, rate=rate)
        actions = [
            *self.acceptance.on_ref(offered.ref),
            *self.acceptance.offer(offered, self.now),
        ]
        is_newer = self.held is None or version > self.held.version
        is_same_version = self.held and version == self.held.version
        is_duplicate = is_same_version and offered.ref != self.held
        accepted = [a for a in actions if isinstance(a, ConfigInForce)]
        rejected = [a for a in actions if isinstance(a, ConfigRejected)]
        assert len(accepted) == (is_newer and valid)
        expected = (is_newer and not valid) or is_duplicate
        assert len(rejected) == bool(
            expected and offered.ref not in self.reported
        )
        if expected:
            self.reported.add(offered.ref)
        if accepted:
            self.held = offered.ref

    @invariant()
    def in_force_is_what_was_accepted_last(self):
        held = self.acceptance.in_force
        assert (held and held.ref) == self.held
        assert self.acceptance.version == (self.held.version if held else 0)


TestAcceptance = AcceptanceMachine.TestCase


@pytest.mark.parametrize(
    ('answers', 'waited', 'expected'),
    [
        ([], 0.0, False),
        ([], PEER_WAIT_SECONDS, True),
        ([(None, True)], 0.0, False),
        ([(2, False)], 0.0, False),
        ([(2, True)], 0.0, True),
        ([(1, True)], 0.0, True),
        ([(3, True)], PEER_WAIT_SECONDS, False),
        ([(3, False), (2, True)], PEER_WAIT_SECONDS, False),
    ],
)
def test_a_restarted_daemon_takes_no_version_before_peers_answered(
    answers, waited, expected
):
    acceptance = Acceptance()
    assert not acceptance.offer(bundle(2), 100)
    acceptance.gate.on_peers_asked(100)
    for version, fresh in answers:
        held = None if version is None else VersionRef(version, 'd')
        acceptance.gate.on_peer_answer(held, is_fresh=fresh)
    assert bool(acceptance.offer(bundle(2), 100 + waited)) == expected
