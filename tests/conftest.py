from hypothesis import settings
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
