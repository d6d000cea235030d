from hypothesis import settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    database=None,
)
settings.load_profile('ci')
