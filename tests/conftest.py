"""Fixtures of the mesh fleet and the Hypothesis profile of all tests."""

import pytest
from hypothesis import settings
from tests.endless_standin import BODIES, HEADS, INTERIM_ANSWERS, EndlessStandIn
from tests.low_limits_fleet import low_fleet  # noqa: F401
from tests.mesh_fleet import fleet, remote_target_fleet  # noqa: F401

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
)
settings.load_profile('ci')


@pytest.fixture(params=[*HEADS, *BODIES, *INTERIM_ANSWERS])
async def endless(request, nursery):
    stand_in = EndlessStandIn(
        *{**HEADS, **BODIES, **INTERIM_ANSWERS}[request.param]
    )
    await stand_in.start(nursery)
    return stand_in
