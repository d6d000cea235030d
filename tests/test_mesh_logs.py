"""Log output is bounded and does not block the event loop; metrics text."""

import logging
import os

import pytest
import trio

from clementinedeal.mesh import _log_output as log_output
from clementinedeal.mesh._log_output import OutputQueue
from clementinedeal.mesh._metrics import DaemonMetrics


def make_record(text, created=100.0):
    log_record = logging.LogRecord('x', logging.INFO, '', 0, text, (), None)
    log_record.created = created
    return log_record


@pytest.fixture
def pipe():
    """A pipe in place of standard output; only the test reads it."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


async def test_stalled_reader_does_not_block_the_event_loop(pipe, nursery):
    queue = OutputQueue(pipe[1])
    nursery.start_soon(queue.run)
    line = 'outcome=failed ' + 'x' * 1000
    for number in range(log_output.MAX_QUEUED_LINES + 500):
        queue.emit(make_record(line, created=number))
    max_delay_seconds = 0.0
    for _ in range(50):
        before = trio.current_time()
        await trio.sleep(0.002)
        max_delay_seconds = max(max_delay_seconds, trio.current_time() - before)
    assert max_delay_seconds < 0.1
    assert queue.dropped_lines >= 400


async def test_lines_of_success_are_dropped_before_failures(pipe, nursery):
    queue = OutputQueue(pipe[1])
    for _ in range(log_output.MAX_ROUTINE_LINES_PER_SECOND * 2):
        queue.emit(make_record('outcome=answered'))
    for _ in range(20):
        queue.emit(make_record('outcome=target-failed'))
    queue.emit(make_record('next second', created=101.0))
    assert queue.dropped_lines == log_output.MAX_ROUTINE_LINES_PER_SECOND
    nursery.start_soon(queue.run)
    await trio.sleep(0.05)
    written = os.read(pipe[0], 1 << 20).decode()
    assert written.count('target-failed') == 20
    assert f'event=lines-left-out count={queue.dropped_lines}' in written


def test_metrics_in_the_text_format():
    metrics = DaemonMetrics()
    metrics.count('requests', 'till', 'shop', 'ran', 'answered')
    metrics.observe('request_seconds', 0.3, 'till')
    metrics.gauges['config_version'] = lambda: 7
    text = metrics.render().decode()
    assert (
        'clementinedeal_requests_total{account="shop",reason="answered",'
        'service="till",verdict="ran"} 1.0'
    ) in text
    assert 'request_seconds_bucket{le="0.5",service="till"} 1.0' in text
    assert 'request_seconds_bucket{le="0.25",service="till"} 0.0' in text
    assert 'clementinedeal_config_version 7.0' in text
