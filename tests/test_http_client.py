from __future__ import annotations

import contextlib
import errno
import unittest
from functools import partial
from unittest import mock

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from rattanwing.util import http_client
from rattanwing.util.http_client import (
    HttpCallError,
    HttpClient,
    NoListenerError,
    ResponseReader,
)
from rattanwing.verdict import Verdict

SETTINGS = settings(derandomize=True, max_examples=200, deadline=None, database=None)
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

    def test_every_way_to_end_a_response_is_read(self):
        for answer in (
            b"HTTP/1.1 200 OK\r\n\r\nbody",
            b"HTTP/1.0 200 OK\r\nconnection: close\r\n\r\nbody",
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
            b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE,
            b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + COMPLETE,
            COMPLETE + b"stray bytes",
            COMPLETE + b"HTTP/1.1 500 Other\r\ncontent-length: 1\r\n\r\nx",
        ):
            with self.subTest(answer=answer):
                response, _received = call(answer)
                self.assertEqual((response.status, response.body), (200, b"body"))
                self.assertNotIn((b"link", b"x"), response.headers)

    def test_a_response_without_a_body_is_complete(self):
        response, _received = call(b"HTTP/1.1 204 No Content\r\n\r\n")
        self.assertEqual((response.status, response.body), (204, b""))

    def test_a_request_that_could_be_misread_is_not_sent(self):
        client = HttpClient("127.0.0.1:1", 1)
        for target, headers in (
            ("/a b", []),
            ("/a\r\nx: y", []),
            ("/ä", []),
            ("/", [(b"x", b"1\r\ny: 2")]),
            ("/", [(b"x\n", b"1")]),
        ):
            with (
                self.subTest(target=target),
                self.assertRaises(HttpCallError) as caught,
            ):
                trio.run(client.call, "GET", target, headers, b"", 1.0)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)
            self.assertIn("bad request", str(caught.exception))

    def test_refused_connection_has_not_run(self):
        async def main():
            with self.assertRaises(HttpCallError) as caught:
                await HttpClient("127.0.0.1:1", 2).call("GET", "/", [], b"", 2.0)
            return caught.exception

        error = trio.run(main)
        self.assertIs(error.verdict, Verdict.NOT_RUN)
        self.assertIsInstance(error, NoListenerError)

    def test_only_a_refused_connection_shows_that_nothing_listens(self):
        """Runs on a server that can't be reached must not be taken for ended."""
        for error in (
            OSError(errno.EHOSTUNREACH, "No route to host"),
            OSError(errno.ECONNRESET, "Connection reset by peer"),
            trio.TooSlowError(),
        ):
            with self.subTest(error=error), self.assertRaises(HttpCallError) as caught:
                connect = mock.AsyncMock(side_effect=error)
                with mock.patch("trio._socket._SocketType.connect", connect):
                    trio.run(HttpClient("127.0.0.1:1", 1).probe)
            self.assertNotIsInstance(caught.exception, NoListenerError)

    def test_call_without_a_free_file_descriptor_has_not_run(self):
        error = OSError(errno.EMFILE, "Too many open files")

        async def main():
            with mock.patch("trio.socket.socket", side_effect=error):
                await HttpClient("127.0.0.1:1", 1).call("GET", "/", [], b"", 1.0)

        with self.assertRaises(HttpCallError) as caught:
            trio.run(main)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)

    def test_unusable_address_has_not_run(self):
        for address in ("", "127.0.0.1", "127.0.0.1:70000", "h:1", "127.0.0.1:1\r\n"):
            client = HttpClient(address, 1)
            with (
                self.subTest(address=address),
                self.assertRaises(HttpCallError) as caught,
            ):
                trio.run(client.call, "GET", "/", [], b"", 1.0)
            self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)


class PoolTests(unittest.TestCase):
    def serve(self, handler, test, connections=1):
        """Run ``test`` with a client of a server; return the accepted connections."""
        accepted = []

        async def accept(stream):
            accepted.append(stream)
            with contextlib.suppress(trio.BrokenResourceError):
                await handler(stream)

        async def main():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    partial(trio.serve_tcp, accept, 0, host="127.0.0.1")
                )
                port = listeners[0].socket.getsockname()[1]
                with trio.fail_after(10):
                    await test(HttpClient(f"127.0.0.1:{port}", connections))
                nursery.cancel_scope.cancel()

        trio.run(main)
        return len(accepted)

    async def answer_all(self, stream, answer=COMPLETE):
        while await stream.receive_some(65536):
            await stream.send_all(answer)

    def test_calls_in_turn_share_a_connection(self):
        async def test(client):
            for _ in range(3):
                await client.call("GET", "/", [], b"", 5.0)

        self.assertEqual(self.serve(self.answer_all, test, connections=4), 1)

    def test_a_connection_that_was_closed_while_idle_is_replaced(self):
        async def answer_one(stream):
            await stream.receive_some(65536)
            await stream.send_all(COMPLETE)
            await stream.aclose()

        async def test(client):
            for _ in range(2):
                response = await client.call("POST", "/", [], b"x", 5.0)
                self.assertEqual(response.body, b"body")
                await trio.testing.wait_all_tasks_blocked(0.05)

        self.assertEqual(self.serve(answer_one, test), 2)

    def test_a_connection_with_stray_bytes_is_not_used_again(self):
        async def answer_too_much(stream):
            await self.answer_all(stream, COMPLETE + b"HTTP/1.1 200 OK\r\n")

        async def test(client):
            for _ in range(2):
                response = await client.call("GET", "/", [], b"", 5.0)
                self.assertEqual(response.body, b"body")

        self.assertEqual(self.serve(answer_too_much, test), 2)

    def test_a_call_without_a_connection_has_not_run_and_an_unanswered_may_have(self):
        async def stay_silent(_stream):
            await trio.sleep_forever()

        async def test(client):
            verdicts = []

            async def call(timeout_s):
                try:
                    await client.call("POST", "/", [], b"x", timeout_s)
                except HttpCallError as error:
                    verdicts.append(error.verdict)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, 0.5)
                await trio.sleep(0.1)
                nursery.start_soon(call, 0.1)
            self.assertEqual(verdicts, [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
            self.assertEqual(client.idle, [])

        self.serve(stay_silent, test)

    def test_after_a_timeout_no_other_idle_connection_is_tried(self):
        """Something between the two ends forgot all connections; new ones work."""
        answering = []

        async def answer_first(stream):
            await stream.receive_some(65536)
            await trio.sleep(0.05)
            await stream.send_all(COMPLETE)
            if len(answering) < 4:
                answering.append(stream)
                await trio.sleep_forever()
            await self.answer_all(stream)

        async def test(client):
            async with trio.open_nursery() as nursery:
                for _ in range(4):
                    nursery.start_soon(client.call, "GET", "/", [], b"", 5.0)
            self.assertEqual(len(client.idle), 4)
            with self.assertRaises(HttpCallError):
                await client.call("GET", "/", [], b"", 0.2)
            response = await client.call("GET", "/", [], b"", 5.0)
            self.assertEqual(response.body, b"body")

        self.assertEqual(self.serve(answer_first, test, connections=4), 5)

    def test_a_cancelled_call_frees_its_connection(self):
        async def stay_silent(stream):
            await stream.receive_some(65536)
            await trio.sleep_forever()

        async def test(client):
            for _ in range(3):
                with trio.move_on_after(0.05):
                    await client.call("POST", "/", [], b"x", 5.0)
            self.assertEqual(client.slots.value, 1)

        self.assertEqual(self.serve(stay_silent, test), 3)


class ResponseReaderTests(unittest.TestCase):
    class Connection:
        """Returns prepared parts, then the end of the connection."""

        def __init__(self, parts):
            self.parts = [part for part in parts if part]

        async def receive_some(self, _limit):
            return self.parts.pop(0) if self.parts else b""

    def read(self, parts):
        return trio.run(ResponseReader().read, self.Connection(parts))

    @SETTINGS
    @given(data=st.binary(max_size=200))
    def test_any_bytes_give_a_response_or_a_clear_error(self, data):
        for prefix in (b"", b"HTTP/1.1 200 OK\r\n", COMPLETE[:-6]):
            try:
                self.read([prefix, data[:50], data[50:]])
            except HttpCallError as error:
                self.assertIs(error.verdict, Verdict.MAY_HAVE_RUN)

    @SETTINGS
    @given(
        body=st.binary(max_size=300),
        cuts=st.lists(st.integers(1, 400), max_size=8),
        chunked=st.booleans(),
    )
    def test_a_response_in_any_parts_is_put_together(self, body, cuts, chunked):
        if chunked:
            head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            part = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            data = head + part + b"0\r\n\r\n"
        else:
            data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (
                len(body),
                body,
            )
        edges = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
        parts = [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]
        self.assertEqual(self.read(parts).body, body)

    def test_a_response_that_is_too_long_is_refused(self):
        with (
            mock.patch.object(http_client, "MAX_RESPONSE_BYTES", 3),
            self.assertRaisesRegex(HttpCallError, "too long"),
        ):
            self.read([COMPLETE + b" "])
