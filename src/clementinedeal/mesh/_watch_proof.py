"""What the answer to a watch proves."""


def shown_until(
    sent_at: float, answered_at: float, seconds: float, *, is_empty: bool
) -> float:
    """Return until when an answer to a watch shows all changes.

    A watch held for the whole time found nothing up to its end, one answered
    early only up to its start. Times are monotonic seconds.

    :param sent_at: when the call was sent.
    :param answered_at: when it was answered.
    :param seconds: how long the call may be held.
    :param is_empty: whether the answer has no changes.
    """
    is_complete = is_empty and answered_at - sent_at >= seconds
    return sent_at + seconds if is_complete else sent_at
