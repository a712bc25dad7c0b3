from __future__ import annotations

import gc
import unittest
from random import Random
from unittest import mock

import trio
import trio.testing

from rattanwing import events
from rattanwing.util.address import split_address
from rattanwing.util.http_connection import MAX_REQUESTS_AHEAD
from rattanwing.util.http_server import HttpServer, Request, json_response, serve_http
from tests.processes import free_address

SEED = 20261205
ANSWER_LIMIT_S = 5.0
ODD_LIMIT_S = 0.02
GRACE_S = 4.0

REQUEST = (
    b"PUT /rattanwing/instances/i-1 HTTP/1.1\r\nHost: a\r\n"
    b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
)
WEBSOCKET = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
CLOSING = b"POST /known HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
HTTP2 = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
ODD_REQUESTS = (
    b"\xff" * 100,
    WEBSOCKET,
    WEBSOCKET + b"\xff" * 50,
    HTTP2 + b"\0\0\0\4\0\0\0\0\0",
    HTTP2 + b"\xff" * 200,
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings"
    b"\r\nHTTP2-Settings: !!!\r\n\r\n",
    b"GET /%ff%00%0d%0a?%ff=%ff&=&a=b HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET http://[::1:80/ HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET \xc3\xa4 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
    b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET / HTTP/9.9\r\nHost: a\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nX: \xff\xfe\r\n\r\n",
    b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 100_000 + b"\r\n\r\n",
    REQUEST + b"\xff" * 10,
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + b"a" * 200,
)


async def answer(request):
    return json_response(200, {"body": len(request.body)})


async def send(address, data, limit_s, read_all=False):
    """Send bytes on a new connection and return what comes back in time.

    :param read_all: whether to read until the other end closes, not one head only.
    """
    host, port = split_address(address)
    stream = await trio.open_tcp_stream(host, port)
    received = b""
    try:
        with trio.move_on_after(limit_s):
            await stream.send_all(data)
            while read_all or b"\r\n\r\n" not in received:
                part = await stream.receive_some()
                if not part:
                    break
                received += part
    except trio.BrokenResourceError:
        pass
    await trio.aclose_forcefully(stream)
    return received


class OddRequestTests(unittest.TestCase):
    def serve(self, test):
        """Run ``test`` with the address of a server; return the events' numbers."""
        numbers = []

        async def main():
            server = HttpServer()
            server.route("*", r".*", answer)
            address = free_address()
            stop = trio.Event()
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, server, address, stop.wait, 0.1)
                await test(address)
                stop.set()

        with mock.patch.object(
            events, "write", lambda event, **_fields: numbers.append(event.number)
        ):
            trio.run(main)
        return numbers

    def test_bytes_after_the_request_for_a_websocket_end_one_connection_only(self):
        """The error of that connection ended the whole process; now it has none."""

        async def test(address):
            host, port = split_address(address)
            other = await trio.open_tcp_stream(host, port)
            for _ in range(3):
                await send(address, WEBSOCKET + b"\xff" * 50, ODD_LIMIT_S)
            with trio.fail_after(ANSWER_LIMIT_S):
                await other.send_all(REQUEST)
                self.assertIn(b"200", await other.receive_some())
            await trio.aclose_forcefully(other)

        numbers = self.serve(test)
        self.assertEqual(numbers, [])

    def test_server_goes_on_after_odd_requests(self):
        random = Random(SEED)
        requests = list(ODD_REQUESTS)
        for _ in range(200):
            data = bytearray(random.choice((REQUEST, *ODD_REQUESTS)))
            start = random.randrange(len(data))
            data[start : start + random.randrange(3)] = random.randbytes(2)
            requests.append(bytes(data))

        async def test(address):
            for data in requests:
                await send(address, data, ODD_LIMIT_S)
            answered = await send(address, REQUEST, ANSWER_LIMIT_S)
            self.assertTrue(answered.startswith(b"HTTP/1.1 200"))

        self.serve(test)

    def test_open_requests_are_finished_at_a_stop(self):
        """Within the grace period; then their connections are closed."""

        async def slow_answer(_request):
            await trio.sleep(0.2)
            return json_response(200, {})

        async def main():
            server = HttpServer()
            server.route("*", r".*", slow_answer)
            address = free_address()
            stop = trio.Event()
            received = []

            async def call():
                received.append(await send(address, REQUEST, ANSWER_LIMIT_S))

            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, server, address, stop.wait, 2.0)
                nursery.start_soon(call)
                await trio.sleep(0.1)
                stop.set()
            with self.assertRaises(OSError):
                await send(address, REQUEST, ANSWER_LIMIT_S)
            return received[0]

        self.assertTrue(trio.run(main).startswith(b"HTTP/1.1 200"))


class ExchangeTestCase(unittest.TestCase):
    def exchange(self, *requests, read_all=False, **options):
        """Return what comes back for requests, each on a connection of its own."""
        received = []
        handled = []

        async def note(request):
            handled.append(request.path)
            return json_response(200, {"body": len(request.body)})

        async def main():
            server = HttpServer()
            server.route("POST", "/known", note, **options)
            server.route("HEAD", "/known", note)
            address = free_address()
            stop = trio.Event()
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, server, address, stop.wait, 0.1)
                for data in requests:
                    received.append(await send(address, data, ANSWER_LIMIT_S, read_all))
                stop.set()

        trio.run(main)
        return received, handled


class RefusalTests(ExchangeTestCase):
    """What can't be served is refused by its head, before the body is read."""

    def test_refusals_without_the_body(self):
        heads = {
            b"404": b"POST /other HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n",
            b"405": b"PUT /known HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n",
            b"413": b"POST /known HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000"
            b"\r\n\r\n",
            b"400": b"POST /known HTTP/1.1\r\nContent-Length: 900\r\n\r\n",
            b"431": b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 100_000,
        }
        received, handled = self.exchange(*heads.values())
        for status, answered in zip(heads, received, strict=True):
            self.assertTrue(answered.startswith(b"HTTP/1.1 " + status), answered)
        self.assertEqual(handled, [])

    def test_refusal_by_the_check_of_a_route(self):
        head = b"POST /known HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n"
        refusal = json_response(503, {})
        received, handled = self.exchange(head, check=lambda _request: refusal)
        self.assertTrue(received[0].startswith(b"HTTP/1.1 503"))
        self.assertEqual(handled, [])

    def test_body_of_too_many_values(self):
        body = b"[" + b"{}," * 3_000 + b"{}]"
        head = b"POST /known HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        received, handled = self.exchange(head % len(body) + body, max_values=5_000)
        self.assertTrue(received[0].startswith(b"HTTP/1.1 413"))
        self.assertEqual(handled, [])

    def test_body_in_chunks_of_one_byte(self):
        head = b"POST /known HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = b"1\r\nx\r\n" * 4_000 + b"0\r\n\r\n"
        received, handled = self.exchange(head + chunks)
        self.assertTrue(received[0].startswith(b"HTTP/1.1 200"))
        self.assertEqual(handled, ["/known"])

    def test_client_that_waits_before_it_sends_the_body(self):
        head = b"POST /known HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        received, _ = self.exchange(head + b"Content-Length: 5\r\n\r\n")
        self.assertEqual(received[0], b"HTTP/1.1 100 Continue\r\n\r\n")

    def test_requests_ahead_are_answered_up_to_a_limit(self):
        request = b"POST /known HTTP/1.1\r\nHost: a\r\n\r\n"
        received, handled = self.exchange(request * 200, read_all=True)
        self.assertEqual(len(handled), MAX_REQUESTS_AHEAD)
        self.assertEqual(received[0].count(b"HTTP/1.1 200"), MAX_REQUESTS_AHEAD)


class FramingTests(ExchangeTestCase):
    def test_request_for_an_upgrade_is_served_with_its_body(self):
        head = (
            b"POST /known HTTP/1.1\r\nHost: a\r\nConnection: Upgrade, HTTP2-Settings"
            b"\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
        )
        bodies = (
            b"Content-Length: 5\r\n\r\nhello",
            b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        )
        received, handled = self.exchange(*[head + body for body in bodies])
        for answered in received:
            self.assertTrue(answered.endswith(b'{"body":5}'), answered)
        self.assertEqual(handled, ["/known"] * 2)

    def test_odd_lengths_and_encodings_are_refused(self):
        """A length of very many digits was answered by nothing."""
        head = b"POST /known HTTP/1.1\r\nHost: a\r\n"
        odd = {
            b"400": b"Content-Length: " + b"0" * 5_000 + b"5\r\n\r\nhello",
            b"501": b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            b"431": b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: " + b"y" * 100_000,
        }
        received, handled = self.exchange(*[head + rest for rest in odd.values()])
        for status, answered in zip(odd, received, strict=True):
            self.assertTrue(answered.startswith(b"HTTP/1.1 " + status), answered)
        self.assertEqual(handled, [])

    def test_head_and_trailers_of_legal_size_are_taken(self):
        filler = b"X: " + b"y" * 15_000 + b"\r\n"
        request = (
            b"POST /known HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            + filler
            + b"\r\n5\r\nhello\r\n0\r\n"
            + filler
            + b"\r\n"
        )
        received, handled = self.exchange(request * 3 + CLOSING, read_all=True)
        self.assertEqual(received[0].count(b"HTTP/1.1 200"), 4)
        self.assertEqual(handled, ["/known"] * 4)

    def test_connection_of_http_1_0_is_closed_after_the_answer(self):
        request = b"POST /known HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
        received, _ = self.exchange(request)
        self.assertIn(b"connection: close", received[0])

    def test_body_is_asked_for_after_the_answers_before_it(self):
        waiting = b"POST /known HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
        received, _ = self.exchange(REQUEST + waiting + b"Expect: 100-continue\r\n\r\n")
        self.assertTrue(received[0].startswith(b"HTTP/1.1 404"), received[0])


class MemoryTests(unittest.TestCase):
    def test_body_is_not_kept_after_the_answer(self):
        """The connection is still open, as the client has sent more."""
        body = b"x" * 50_000
        head = b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: "

        async def main():
            server = HttpServer()
            server.route("*", r".*", answer)
            address = free_address()
            stop = trio.Event()
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, server, address, stop.wait, 0.1)
                host, port = split_address(address)
                stream = await trio.open_tcp_stream(host, port)
                await stream.send_all(head + b"50000\r\n\r\n" + body + b"more")
                with trio.fail_after(ANSWER_LIMIT_S):
                    await stream.receive_some()
                kept = [o for o in gc.get_objects() if isinstance(o, Request)]
                await trio.aclose_forcefully(stream)
                stop.set()
            return kept

        self.assertEqual(trio.run(main), [])


class StopTests(unittest.TestCase):
    def stop_while_answering(self, data):
        """Stop while the first request of ``data`` is answered; return all answers."""

        async def slow_answer(_request):
            await trio.sleep(0.2)
            return json_response(200, {})

        async def main():
            server = HttpServer()
            server.route("*", r".*", slow_answer)
            address = free_address()
            stop = trio.Event()
            received = []

            async def call():
                received.append(await send(address, data, ANSWER_LIMIT_S, True))

            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, server, address, stop.wait, GRACE_S)
                nursery.start_soon(call)
                await trio.sleep(0.1)
                stop.set()
            return received[0]

        return trio.run(main)

    def test_requests_that_were_read_are_all_answered(self):
        received = self.stop_while_answering(REQUEST * 3)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 3)
        self.assertEqual(received.count(b"connection: close"), 1)

    def test_connection_without_a_request_does_not_delay_the_stop(self):
        """Its last answer was sent in the moment of the stop."""

        async def main():
            server = HttpServer()
            stop = trio.Event()
            server.route("*", r".*", answer)
            address = free_address()
            async with trio.open_nursery() as nursery:
                await nursery.start(serve_http, server, address, stop.wait, GRACE_S)
                host, port = split_address(address)
                stream = await trio.open_tcp_stream(host, port)
                send_all = trio.SocketStream.send_all

                async def send_as_it_stops(self, data):
                    await send_all(self, data)
                    if self is not stream:
                        stop.set()
                        await trio.testing.wait_all_tasks_blocked()

                with mock.patch.object(trio.SocketStream, "send_all", send_as_it_stops):
                    await stream.send_all(REQUEST)
                    started_at = trio.current_time()
                    while await stream.receive_some():
                        pass
                await trio.aclose_forcefully(stream)
                return trio.current_time() - started_at

        self.assertLess(trio.run(main), GRACE_S / 2)
