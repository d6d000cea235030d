"""The HTTP client and server of the bench's stand-ins."""

import pytest
import trio

from clementinedeal_bench._web_client import WebClient
from clementinedeal_bench._web_server import WebAnswer, WebRequest, WebServer

BODY = b'0123456789' * 5000


async def answer_by_path(req: WebRequest) -> WebAnswer:
    if req.path == '/hang':
        await trio.sleep_forever()
    return {
        '/echo': WebAnswer(body=req.body),
        '/chunks': WebAnswer(body=BODY, chunked=True),
        '/none': WebAnswer(status=204),
        '/cut': WebAnswer(body=BODY, cut_after_bytes=100),
        '/drop': WebAnswer(is_dropped=True),
    }[req.path]


@pytest.fixture
async def client(nursery) -> WebClient:
    server = WebServer(answer_by_path, max_connections=1)
    listener = await server.listen('127.0.0.1', 0)
    nursery.start_soon(server.serve, listener)
    port = listener.socket.getsockname()[1]
    return WebClient(f'127.0.0.1:{port}')


async def ask(client: WebClient, method: str, path: str, body: bytes = b''):
    req = WebRequest(method=method, target=path, body=body)
    return await client.request(req)


async def test_complete_answers_reuse_one_connection(client):
    assert (await ask(client, 'POST', '/echo', BODY)).unwrap().body == BODY
    stream = client._stream
    assert (await ask(client, 'GET', '/chunks')).unwrap().body == BODY
    assert (await ask(client, 'HEAD', '/chunks')).unwrap().body == b''
    assert (await ask(client, 'GET', '/none')).unwrap().status == 204
    assert client._stream is stream


async def test_broken_answers_are_failures(client):
    cut = (await ask(client, 'GET', '/cut')).unwrap_err()
    assert (cut.status, cut.may_have_been_sent) == (200, True)
    dropped = (await ask(client, 'GET', '/drop')).unwrap_err()
    assert (dropped.status, dropped.may_have_been_sent) == (0, True)


@pytest.mark.parametrize(
    'endless',
    ['no-length', 'huge-length', 'chunks', 'chunk-extensions'],
    indirect=True,
)
async def test_an_answer_without_end_is_a_failure(endless):
    with trio.fail_after(20):
        result = await ask(WebClient(endless.address), 'GET', '/')
    assert result.unwrap_err().status == 200
    assert await endless.was_cut()


async def test_connections_over_the_limit_are_closed(client, nursery):
    assert (await ask(client, 'GET', '/none')).is_ok()
    second = WebClient(client.address)
    assert (await ask(second, 'GET', '/none')).is_err()


async def test_a_client_that_disconnects_cancels_the_handler(client):
    """A handler that keeps running would hold the only connection allowed."""
    with trio.move_on_after(0.05):
        await ask(client, 'GET', '/hang')
    with trio.fail_after(5):
        result = await ask(client, 'GET', '/none')
        while result.is_err():
            result = await ask(client, 'GET', '/none')
    assert result.unwrap().status == 204
