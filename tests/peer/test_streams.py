from __future__ import annotations

import contextlib
import gc
import unittest
from unittest import mock

import trio
import trio.testing
import trio_asyncio

from rattanwing import events
from rattanwing.errors import PeerLostError
from rattanwing.peer import frames, grpc
from rattanwing.peer.session import PeerSession
from rattanwing.peer.stream import memory_stream_pair
from rattanwing.util.address import split_address
from rattanwing.util.blocks import BlockBuffer
from tests.processes import free_address

LIMIT_S = 10


@contextlib.contextmanager
def captured_events():
    """Collect the numbers of the events that are written."""
    numbers = []
    with mock.patch.object(
        events, "write", lambda event, **_fields: numbers.append(event.number)
    ):
        yield numbers


async def echo(stream):
    """Return each message to its sender."""
    try:
        while True:
            await stream.send(await stream.receive())
    except PeerLostError:
        return


def run(test):
    """Run an asynchronous test on the steady clock, with an asyncio loop for gRPC."""

    async def main():
        with trio.fail_after(LIMIT_S):
            async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
                await test(nursery)
                nursery.cancel_scope.cancel()

    trio.run(main)


class StreamTests:
    """What each transport must do; ``transport`` is its module."""

    transport = None

    def exchange(self, sent, send):
        """Send messages with ``send``; return what comes back."""
        received = []

        async def send_and_receive(stream):
            await send(stream, sent)
            for _ in sent:
                received.append(await stream.receive())

        async def test(nursery):
            address = free_address()
            await nursery.start(self.transport.serve_peers, address, echo)
            await self.transport.dial_peer(address, send_and_receive)

        run(test)
        return received

    def test_messages_arrive_whole_and_in_order(self):
        async def send_each(stream, sent):
            for data in sent:
                await stream.send(data)

        sent = [bytes([n % 256]) * n for n in (0, 1, 300, 70_000, 0, 400_000, 5)]
        self.assertEqual(self.exchange(sent, send_each), sent)

    def test_a_batch_arrives_in_order(self):
        async def send_batch(stream, sent):
            await stream.send_batch(sent)

        sent = [b"one", b"", b"three" * 50_000, b"four"]
        self.assertEqual(self.exchange(sent, send_batch), sent)

    def test_an_ended_stream_raises_a_lost_peer(self):
        async def hang_up(stream):
            await stream.receive()

        async def exchange(stream):
            await stream.send(b"first")
            with self.assertRaises(PeerLostError):
                await stream.receive()

        async def test(nursery):
            address = free_address()
            await nursery.start(self.transport.serve_peers, address, hang_up)
            await self.transport.dial_peer(address, exchange)

        run(test)

    def test_unusable_address_raises_a_lost_peer(self):
        """Another error would end the owner, which dials the addresses it reads."""

        async def test(_nursery):
            for address in ("", "127.0.0.1", "127.0.0.1:70000", "host:1", "[::1]:0"):
                with self.subTest(address=address), self.assertRaises(PeerLostError):
                    await self.transport.dial_peer(address, echo)

        run(test)

    def test_nobody_listening_raises_a_lost_peer(self):
        async def test(_nursery):
            with self.assertRaises(PeerLostError):
                await self.transport.dial_peer(free_address(), echo)

        run(test)

    def test_an_error_on_one_stream_leaves_the_others_open(self):
        async def fail_on_bad(stream):
            while True:
                data = await stream.receive()
                if data == b"bad":
                    raise RuntimeError("an unexpected error")
                await stream.send(data)

        async def exchange(stream):
            async def exchange_bad(bad):
                await bad.send(b"bad")
                with self.assertRaises(PeerLostError):
                    await bad.receive()

            await stream.send(b"before")
            await stream.receive()
            await self.transport.dial_peer(self.address, exchange_bad)
            await stream.send(b"after")
            self.assertEqual(await stream.receive(), b"after")

        async def test(nursery):
            self.address = free_address()
            await nursery.start(self.transport.serve_peers, self.address, fail_on_bad)
            await self.transport.dial_peer(self.address, exchange)

        with self.assertNoLogs("asyncio", level="CRITICAL"):
            run(test)


class FrameStreamTests(StreamTests, unittest.TestCase):
    transport = frames

    def send_raw(self, data, reply_size=0):
        """Send bytes to a server of frames; return the bytes of its answer."""
        answer = bytearray()

        async def test(nursery):
            address = free_address()
            await nursery.start(frames.serve_peers, address, echo)
            host, port = split_address(address)
            connection = await trio.open_tcp_stream(host, port)
            await connection.send_all(data)
            while len(answer) < reply_size or not reply_size:
                try:
                    part = await connection.receive_some(65_536)
                except trio.BrokenResourceError:
                    break
                if not part:
                    break
                answer.extend(part)
            await connection.aclose()
            await frames.dial_peer(address, self.check_served)

        run(test)
        return bytes(answer)

    async def check_served(self, stream):
        await stream.send(b"still served")
        self.assertEqual(await stream.receive(), b"still served")

    def test_another_protocol_is_refused_and_the_server_goes_on(self):
        for data in (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"\0" * 64, b"GET / HTTP/1"):
            with self.subTest(data=data), captured_events() as numbers:
                self.assertEqual(self.send_raw(data + b" " * 20), frames.GREETING)
                self.assertIn(203, numbers)

    def test_a_frame_that_is_too_long_ends_its_stream_only(self):
        length = frames.LENGTH.pack(frames.MAX_MESSAGE_BYTES + 1)
        self.assertEqual(self.send_raw(frames.GREETING + length), frames.GREETING)

    def test_frames_in_small_parts_are_put_together(self):
        async def test(nursery):
            address = free_address()
            await nursery.start(frames.serve_peers, address, echo)
            host, port = split_address(address)
            connection = await trio.open_tcp_stream(host, port)
            message = frames.LENGTH.pack(5) + b"parts"
            for byte in frames.GREETING + message * 2:
                await connection.send_all(bytes([byte]))
            stream = frames.FrameStream(connection)
            self.assertEqual(
                await stream.read_exactly(len(frames.GREETING)), frames.GREETING
            )
            self.assertEqual(await stream.receive(), b"parts")
            self.assertEqual(await stream.receive(), b"parts")
            await connection.aclose()

        run(test)

    def test_incomplete_message_is_not_kept_when_its_stream_has_ended(self):
        """Also before a garbage collection, which may be long in coming."""
        message = b"incomplete" * 1000

        async def test(nursery):
            address = free_address()
            await nursery.start(frames.serve_peers, address, echo)
            host, port = split_address(address)
            connection = await trio.open_tcp_stream(host, port)
            length = frames.LENGTH.pack(len(message) + 1)
            await connection.send_all(frames.GREETING + length + message)
            await connection.send_eof()
            while await connection.receive_some():
                pass
            await connection.aclose()
            await trio.testing.wait_all_tasks_blocked()
            buffers = [o for o in gc.get_objects() if isinstance(o, BlockBuffer)]
            self.assertEqual([b for b in buffers if b.size], [])

        gc.collect()
        gc.disable()
        try:
            run(test)
        finally:
            gc.enable()

    def test_builds_on_different_transports_refuse_each_other(self):
        """During a rolling update a new entry may dial an old agent, or the reverse."""
        reached = []

        async def note(stream):
            reached.append(await stream.receive())

        async def speak(stream):
            await stream.send(b"order")
            with self.assertRaises(PeerLostError):
                await stream.receive()

        for server, client in ((grpc, frames), (frames, grpc)):
            with self.subTest(server=server.__name__):

                async def test(nursery, server=server, client=client):
                    address = free_address()
                    await nursery.start(server.serve_peers, address, note)
                    with contextlib.suppress(PeerLostError):
                        await client.dial_peer(address, speak)

                run(test)
        self.assertEqual(reached, [])


class GrpcStreamTests(StreamTests, unittest.TestCase):
    transport = grpc


class SessionTests(unittest.TestCase):
    def test_an_error_in_handling_a_message_ends_this_session_only(self):
        """It took down the process, with the streams to all other agents."""

        class Codec:
            decode = staticmethod(bytes)
            encode = staticmethod(bytes)

        def fail(message):
            raise KeyError(message)

        async def main():
            here, there = memory_stream_pair()
            session = PeerSession(here, trio.current_time, fail, Codec)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(session.run)
                await there.send(b"surprise")
                with trio.fail_after(LIMIT_S), self.assertRaises(PeerLostError):
                    await there.receive()
            self.assertTrue(session.lost)

        with captured_events() as numbers:
            trio.run(main)
        self.assertIn(206, numbers)
