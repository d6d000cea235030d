"""The headers that daemons add to the requests between them.

An idempotent request is sent with ``ATTEMPT_HEADER``, which describes the
attempt. For any other request the entry first reserves a slot with
``RESERVE_HEADER``, which describes the attempt too, and then sends the request
with ``RUN_HEADER``, which names the attempt's id. ``ASK_HEADER`` asks for the
outcome of an attempt by its id and age. The owner's answer carries the outcome
in ``TOLD_HEADER``. ``DECLARATION_HEADER`` asks for a newer declaration than
the asking daemon's; in the answer it says how recent that is.
"""

ATTEMPT_HEADER = b'x-clementinedeal-attempt'
RESERVE_HEADER = b'x-clementinedeal-reserve'
RUN_HEADER = b'x-clementinedeal-run'
ASK_HEADER = b'x-clementinedeal-ask'
TOLD_HEADER = b'x-clementinedeal-told'
DECLARATION_HEADER = b'x-clementinedeal-declaration'

# Status of an answer that a slot is held for the attempt.
RESERVED_STATUS = 204
