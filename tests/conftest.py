import pytest
from hypothesis import settings
from tests.endless_standin import BODIES, HEADS, INTERIMS, Endless
from tests.mesh_fleet import far, fleet  # noqa: F401

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
)
settings.load_profile('ci')


@pytest.fixture(params=[*HEADS, *BODIES, *INTERIMS])
async def endless(request, nursery):
    made = Endless(*{**HEADS, **BODIES, **INTERIMS}[request.param])
    await made.start(nursery)
    return made
