"""Message streams over gRPC: one long-lived call per pair of peers.

grpclib is written for asyncio; trio-asyncio runs it beside trio tasks.
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
BUFFER_MESSAGES = 20_000
STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    AssertionError,
)


class BytesCodec(CodecBase):
    """Passes messages through; :mod:`rattanwing.messages` encodes them."""

    __content_subtype__ = "rattanwing"

    def encode(self, message: bytes, _message_type: Any) -> bytes:
        """Return the message itself."""
        return message

    def decode(self, data: bytes, _message_type: Any) -> bytes:
        """Return the message itself."""
        return bytes(data)


class GrpcStream:
    """One end of a gRPC call as a message stream.

    Two asyncio tasks move the messages, so that a message costs no new task;
    asyncio runs in trio's thread, and both sides only meet at queues.
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
        """Queue one message for the writing task."""
        if self.ended:
            raise PeerLostError("the stream has ended")
        if self.outgoing.qsize() >= BUFFER_MESSAGES:
            raise PeerLostError("the peer takes no messages")
        self.outgoing.put_nowait(data)

    async def receive(self) -> bytes:
        """Return the next message."""
        try:
            return await self.incoming.receive()
        except trio.EndOfChannel as error:
            raise PeerLostError("the stream has ended") from error

    async def aclose(self) -> None:
        """End the stream; the call's owner closes the connection."""
        self.mark_ended()

    def mark_ended(self) -> None:
        """Take note that no further message comes or goes."""
        self.ended = True
        self.incoming_sender.close()

    async def read(self) -> None:
        """Move messages from the call to the channel; an asyncio task."""
        try:
            while (data := await self.call.recv_message()) is not None:
                self.incoming_sender.send_nowait(data)
        except (*STREAM_ERRORS, trio.WouldBlock, trio.ClosedResourceError):
            return
        finally:
            self.mark_ended()

    async def write(self) -> None:
        """Move messages from the queue to the call; an asyncio task."""
        try:
            while True:
                await self.call.send_message(await self.outgoing.get())
        except STREAM_ERRORS:
            self.mark_ended()

    async def run(self, handler: Callable[[GrpcStream], Awaitable[None]]) -> None:
        """Run ``handler`` on the stream while both tasks move messages."""
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
        """Serve one call until the handler returns."""
        await trio_as_aio(GrpcStream(call).run)(self.handler)

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return grpclib's table of methods."""
        handler = grpclib.const.Handler(
            self.connect, grpclib.const.Cardinality.STREAM_STREAM, bytes, bytes
        )
        return {CONNECT_METHOD: handler}


async def serve_peers(
    address: str,
    handler: Callable[[GrpcStream], Awaitable[None]],
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept streams at ``address`` until cancelled."""
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

    :raises PeerLostError: when it can't be opened in time.
    """
    host, port = split_address(address)
    channel = Channel(host, port, codec=BytesCodec())
    try:
        method = StreamStreamMethod(channel, CONNECT_METHOD, bytes, bytes)
        opened = method.open()
        await aio_as_trio(opened.__aenter__)()
        with trio.move_on_after(DIAL_TIMEOUT_S) as scope:
            try:
                await aio_as_trio(opened.send_request)()
            except STREAM_ERRORS as error:
                raise PeerLostError(f"no stream to {address}: {error}") from error
        if scope.cancelled_caught:
            raise PeerLostError(f"no stream to {address} in time")
        await GrpcStream(opened).run(handler)
    finally:
        channel.close()
