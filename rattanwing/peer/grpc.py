"""Message streams over gRPC: one long-lived bidirectional call per connection.

grpclib requires asyncio; trio-asyncio runs it in the same thread as the trio tasks.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import grpclib.const
import trio
from grpclib.client import Channel, StreamStreamMethod
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server
from trio_asyncio import aio_as_trio, trio_as_aio

from rattanwing.errors import PeerLostError
from rattanwing.util.address import split_address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CONNECT_METHOD = "/rattanwing.Peer/Connect"

DIAL_TIMEOUT_S = 2.0
"""Bound on the time to open a stream."""

BUFFER_MESSAGES = 20_000
"""Limit of buffered messages, per direction; a stream that exceeds it ends."""

STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    AssertionError,
)
"""Errors of grpclib after which a stream counts as lost."""


class BytesCodec(CodecBase):
    """Passes messages through unchanged; the peer session encodes them."""

    __content_subtype__ = "rattanwing"

    def encode(self, message: bytes, _message_type: Any) -> bytes:
        """Return the message unchanged."""
        return message

    def decode(self, data: bytes, _message_type: Any) -> bytes:
        """Return the message unchanged."""
        return bytes(data)


class GrpcStream:
    """One end of a gRPC call as a message stream.

    Two long-lived asyncio tasks transfer the messages, which avoids starting a task
    per message. asyncio runs in trio's thread; the asyncio and trio tasks exchange
    messages only through queues.
    """

    __slots__ = ("call", "incoming_sender", "incoming", "outgoing", "ended")

    def __init__(self, call: Any) -> None:
        self.call = call
        self.incoming_sender, self.incoming = trio.open_memory_channel[bytes](
            BUFFER_MESSAGES
        )
        self.outgoing: asyncio.Queue[bytes] = asyncio.Queue()
        self.ended = False

    async def send(self, data: bytes) -> None:
        """Queue one message for the task that writes to the call."""
        if self.ended:
            raise PeerLostError("the stream has ended")
        if self.outgoing.qsize() >= BUFFER_MESSAGES:
            raise PeerLostError("the send queue to the peer is full")
        self.outgoing.put_nowait(data)

    async def send_batch(self, batch: list[bytes]) -> None:
        """Queue several messages in order."""
        for data in batch:
            await self.send(data)

    async def receive(self) -> bytes:
        """Return the next received message."""
        try:
            return await self.incoming.receive()
        except trio.EndOfChannel as error:
            raise PeerLostError("the stream has ended") from error

    async def aclose(self) -> None:
        """End the stream; the function that opened the call closes the connection."""
        self.mark_ended()

    def mark_ended(self) -> None:
        """Mark the stream as ended; no more messages are sent or received."""
        self.ended = True
        self.incoming_sender.close()

    async def read(self) -> None:
        """Transfer messages from the call to the channel. Runs as an asyncio task."""
        try:
            while (data := await self.call.recv_message()) is not None:
                self.incoming_sender.send_nowait(data)
        except (*STREAM_ERRORS, trio.WouldBlock, trio.ClosedResourceError):
            return
        finally:
            self.mark_ended()

    async def write(self) -> None:
        """Transfer messages from the queue to the call. Runs as an asyncio task."""
        try:
            while True:
                await self.call.send_message(await self.outgoing.get())
        except STREAM_ERRORS:
            self.mark_ended()

    async def run(self, handler: Callable[[GrpcStream], Awaitable[None]]) -> None:
        """Run ``handler`` on the stream while two tasks transfer messages."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(aio_as_trio(self.read))
            nursery.start_soon(aio_as_trio(self.write))
            try:
                await handler(self)
            finally:
                self.mark_ended()
                nursery.cancel_scope.cancel()


class PeerService:
    """The gRPC service that accepts message streams."""

    __slots__ = ("handler",)

    def __init__(self, handler: Callable[[GrpcStream], Awaitable[None]]) -> None:
        self.handler = handler

    async def connect(self, call: Any) -> None:
        """Run the handler on the stream of one call until it returns."""
        await trio_as_aio(GrpcStream(call).run)(self.handler)

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the service's methods in the form that grpclib expects."""
        handler = grpclib.const.Handler(
            self.connect, grpclib.const.Cardinality.STREAM_STREAM, bytes, bytes
        )
        return {CONNECT_METHOD: handler}


async def serve_peers(
    address: str,
    handler: Callable[[GrpcStream], Awaitable[None]],
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept streams at ``address`` until cancelled.

    :param address: ``ip:port`` to listen on.
    :param handler: run on each accepted stream.
    """
    host, port = split_address(address)
    server = Server([PeerService(handler)], codec=BytesCodec())
    await aio_as_trio(server.start)(host, port)
    task_status.started()
    try:
        await trio.sleep_forever()
    finally:
        server.close()


async def dial_peer(
    address: str, handler: Callable[[GrpcStream], Awaitable[None]]
) -> None:
    """Open a stream to ``address`` and run ``handler`` on it.

    :raises PeerLostError: when the stream can't be opened within ``DIAL_TIMEOUT_S``, or
        the address is invalid.
    """
    try:
        host, port = split_address(address)
    except ValueError as error:
        raise PeerLostError(f"cannot open a stream to {address}: {error}") from error
    channel = Channel(host, port, codec=BytesCodec())
    try:
        method = StreamStreamMethod(channel, CONNECT_METHOD, bytes, bytes)
        opened = method.open()
        await aio_as_trio(opened.__aenter__)()
        with trio.move_on_after(DIAL_TIMEOUT_S) as scope:
            try:
                await aio_as_trio(opened.send_request)()
            except STREAM_ERRORS as error:
                raise PeerLostError(
                    f"cannot open a stream to {address}: {error}"
                ) from error
        if scope.cancelled_caught:
            raise PeerLostError(f"opening a stream to {address} timed out")
        await GrpcStream(opened).run(handler)
    finally:
        channel.close()
