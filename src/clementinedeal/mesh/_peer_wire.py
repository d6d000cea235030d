"""The headers that daemons add to the requests between them.

An entry sends an attempt with its body, or reserves a slot for one and then
sends the body for the attempt's id to run. It asks with an attempt's id for the
outcome; the owner's answer carries the outcome in the last of these headers.
"""

ATTEMPT_HEADER = b'x-clementinedeal-attempt'
RESERVE_HEADER = b'x-clementinedeal-reserve'
RUN_HEADER = b'x-clementinedeal-run'
ASK_HEADER = b'x-clementinedeal-ask'
TOLD_HEADER = b'x-clementinedeal-told'

# Status of an answer that a slot is held for the attempt.
RESERVED_STATUS = 204
