from __future__ import annotations

import unittest
from functools import partial

import trio

from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.verdict import Verdict

COMPLETE = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody"
TRUNCATED = b"HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\nbody"
TRUNCATED_CHUNK = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n"


async def answer_with(answer, received, stream):
    """Read one complete request, send ``answer`` unchanged and close."""
    request = b""
    while not request.endswith(b"hello"):
        chunk = await stream.receive_some(65536)
        if not chunk:
            break
        request += chunk
    received.append(request)
    await stream.send_all(answer)
    await stream.aclose()


def call(answer, timeout_s=5.0):
    """Call a server that sends ``answer``.

    :returns: the response or the error of the call, and the received requests.
    """
    received = []

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(
                    trio.serve_tcp,
                    partial(answer_with, answer, received),
                    0,
                    host="127.0.0.1",
                )
            )
            port = listeners[0].socket.getsockname()[1]
            client = HttpClient(f"127.0.0.1:{port}", 2)
            try:
                return await client.call("POST", "/x", [], b"hello", timeout_s)
            except HttpCallError as error:
                return error
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(main), received


class HttpClientTests(unittest.TestCase):
    def test_whole_answer(self):
        answer, received = call(COMPLETE)
        self.assertEqual((answer.status, answer.body), (200, b"body"))
        self.assertTrue(received[0].endswith(b"hello"))

    def test_cut_answers_are_errors_that_may_have_run(self):
        for truncated in (
            TRUNCATED,
            TRUNCATED_CHUNK,
            b"",
            b"HTTP/1.1 200",
            b"nonsense\r\n\r\n",
        ):
            with self.subTest(truncated=truncated):
                error, _received = call(truncated)
                self.assertIsInstance(error, HttpCallError)
                self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)

    def test_refused_connection_has_not_run(self):
        async def main():
            with self.assertRaises(HttpCallError) as caught:
                await HttpClient("127.0.0.1:1", 2).call("GET", "/", [], b"", 2.0)
            return caught.exception

        self.assertIs(trio.run(main).verdict, Verdict.NOT_RUN)
