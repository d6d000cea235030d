"""A keeper's answers to claims that it does not grant as new."""

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
    """Answer a claim of a key that was claimed before.

    A repeated message of the granted claim gets the same grant again.

    :param claim: the claim.
    :param record: the key's record, in any state but ``FREE``.
    """
    if record.fingerprint != claim.fingerprint:
        return ClaimAnswer(claim.req_id, ClaimOutcome.CONFLICT)
    if record.state is KeyState.IN_PROGRESS:
        is_same_request = record.req_id == claim.req_id
        outcome = (
            ClaimOutcome.NEW if is_same_request else ClaimOutcome.IN_PROGRESS
        )
        return ClaimAnswer(claim.req_id, outcome)
    if record.state is KeyState.IN_DOUBT:
        return ClaimAnswer(claim.req_id, ClaimOutcome.IN_DOUBT)
    return ClaimAnswer(claim.req_id, ClaimOutcome.DONE, record.answer)


def refuse_claim(
    entry: str,
    claim: ClaimKey,
    retry_after_seconds: float = DEFAULT_RETRY_AFTER_SECONDS,
) -> Send:
    """Refuse a claim, as the keeper may not know of all earlier claims.

    :param entry: the claiming instance.
    :param claim: the claim.
    :param retry_after_seconds: seconds after which the caller may retry.
    """
    outcome = ClaimOutcome.QUARANTINED
    answer = ClaimAnswer(claim.req_id, outcome, retry_after=retry_after_seconds)
    return Send(entry, answer)
