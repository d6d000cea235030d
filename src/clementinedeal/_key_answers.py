"""A keeper's answers to claims."""

from clementinedeal._key_messages import (
    ClaimAnswer,
    ClaimKey,
    ClaimOutcome,
    KeyRecord,
    KeyState,
)
from clementinedeal._messages import Send

DEFAULT_RETRY_AFTER_SECONDS = 1.0


def answer_repeat(claim: ClaimKey, record: KeyRecord) -> ClaimAnswer:
    """Answer a claim of a key that another request has claimed before.

    :param claim: the claim.
    :param record: what is known of the key.
    """
    if record.fingerprint != claim.fingerprint:
        return ClaimAnswer(claim.req_id, ClaimOutcome.CONFLICT)
    if record.state is KeyState.IN_PROGRESS:
        same = record.req_id == claim.req_id
        outcome = ClaimOutcome.NEW if same else ClaimOutcome.IN_PROGRESS
        return ClaimAnswer(claim.req_id, outcome)
    if record.state is KeyState.IN_DOUBT:
        return ClaimAnswer(claim.req_id, ClaimOutcome.IN_DOUBT)
    return ClaimAnswer(claim.req_id, ClaimOutcome.DONE, record.answer)


def refuse_claim(
    entry: str,
    claim: ClaimKey,
    retry_after_seconds: float = DEFAULT_RETRY_AFTER_SECONDS,
) -> Send:
    """Refuse a claim of which too little is known.

    :param entry: the claiming instance.
    :param claim: the claim.
    :param retry_after: seconds after which another try makes sense.
    """
    outcome = ClaimOutcome.QUARANTINED
    answer = ClaimAnswer(claim.req_id, outcome, retry_after=retry_after_seconds)
    return Send(entry, answer)
