"""Where a request would go, as the explanation of a daemon has it."""

import random
from types import SimpleNamespace

import msgspec

from clementinedeal._events import EventLog
from clementinedeal._timers import VirtualClock
from clementinedeal.mesh._allowed_zones import ZoneRules
from clementinedeal.mesh._balancer import Balancer
from clementinedeal.mesh._catalog import Catalog
from clementinedeal.mesh._evacuations import EvacuationTracker
from clementinedeal.mesh._explanation import Explainer, render_explanation
from clementinedeal.mesh._outcomes import TargetCondition
from clementinedeal.mesh._types import (
    ClientAccount,
    Declaration,
    Evacuations,
    Revision,
    RouteRule,
    ServiceRule,
    Target,
    WeightedService,
)
from clementinedeal.mesh._zone_spill import START_SHARE

KEY = 'secret-key'
ROUTE = RouteRule(
    name='r',
    host='h',
    prefix='/',
    weighted_services=(WeightedService(service='till', weight=1),),
    idempotent=True,
    timeout=4,
    objective=1.5,
    priority=0,
    max_targets=2,
    public=False,
)
ACCOUNT = ClientAccount(name='acme', keys=(KEY,), priority=0, rate=0, burst=0)


def make_target(name, zone, *, draining=False):
    return Target(
        name=name,
        service='till',
        address=f'10.0.0.{name[1:]}:80',
        zone=zone,
        slots=3,
        draining=draining,
    )


def make_explainer():
    """Return an explainer and its balancer, of an entry in zone a."""
    clock = VirtualClock()
    balancer = Balancer('10.9.0.1', 'a', clock, random.Random(1))
    balancer.set_targets(
        (
            make_target('t1', 'a'),
            make_target('t2', 'a', draining=True),
            make_target('t3', 'b'),
            make_target('t4', 'a'),
        )
    )
    declaration = Declaration(
        version=7,
        routes=(ROUTE,),
        services=(ServiceRule(name='till'),),
        accounts=(ACCOUNT,),
    )
    active = SimpleNamespace(
        catalog=Catalog(declaration),
        version=7,
        is_behind=lambda: False,
        is_outdated=lambda: False,
        is_fresh=lambda: True,
    )
    tracker = EvacuationTracker(clock, EventLog('a', '1'))
    zone_rules = ZoneRules(tracker, lambda: None, lambda: active.catalog)
    explainer = Explainer(active, balancer, zone_rules, clock)
    return explainer, balancer, tracker


def test_candidates_come_with_reasons_and_the_first_choice():
    explainer, balancer, _ = make_explainer()
    balancer.on_condition(
        't1',
        TargetCondition(risk=0.05, running=1, waiting=0, slots=3, wait=0.0),
    )
    balancer.on_silent('t4')
    explanation = explainer.explain('h', '/x', 'acme')
    (service,) = explanation.services
    excluded = {one.target: one.excluded for one in service.candidates}
    assert (explanation.route, explanation.refusal) == ('r', '')
    assert (service.first, service.zone_reason) == ('t1', 'not-faster')
    assert excluded == {
        't1': '',
        't2': 'leaving',
        't3': 'other-zone',
        't4': 'avoided',
    }
    text = render_explanation(explanation)
    assert 'target=t1 zone=a load=0.33 risk=0.05 wait=0.00 age=0.0' in text


def test_explaining_shows_no_key_and_counts_nothing():
    explainer, balancer, _ = make_explainer()
    full = TargetCondition(risk=0.05, running=3, waiting=9, slots=3, wait=2.0)
    for name in ('t1', 't4'):
        balancer.on_condition(name, full)
    explanations = [explainer.explain('h', '/', 'acme') for _ in range(3)]
    assert KEY not in msgspec.json.encode(explanations).decode()
    assert explanations[0].services[0].zone_reason == 'late-inside'
    assert set(balancer.zones.spill.shares().values()) == {START_SHARE}
    assert set(balancer.zones.spill.crossings().values()) == {0}


def test_refusals_are_named():
    explainer, *_ = make_explainer()
    refusals = [
        explainer.explain(host, '/', account).refusal
        for host, account in (('h', ''), ('h', KEY), ('other', 'acme'))
    ]
    assert refusals == ['key-missing', 'key-unknown', 'no-route']


def test_targets_of_an_evacuated_zone_are_excluded():
    explainer, _, tracker = make_explainer()
    tracker.on_reported(
        Evacuations(revision=Revision(1, 1), zones=frozenset({'a'}))
    )
    report = explainer.explain('h', '/', 'shop').services[0]
    assert report.first == 't3'
    excluded = {one.target: one.excluded for one in report.candidates}
    assert excluded['t1'] == excluded['t4'] == 'zone-evacuated'
