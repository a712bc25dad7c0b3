"""Message streams over gRPC: one long-lived call per pair of peers.

grpclib is written for asyncio; trio-asyncio runs it beside trio tasks.
"""

from __future__ import annotations

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

METHOD = "/rattanwing.Peer/Connect"
DIAL_TIMEOUT_S = 2.0
LOST = (GRPCError, ProtocolError, StreamTerminatedError, OSError, AssertionError)


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
    """One end of a gRPC call as a message stream."""

    __slots__ = ("call",)

    def __init__(self, call: Any) -> None:
        self.call = call

    async def send(self, data: bytes) -> None:
        """Send one message."""
        try:
            await aio_as_trio(self.call.send_message)(data)
        except LOST as error:
            raise PeerLostError(f"the stream has ended: {error}") from error

    async def receive(self) -> bytes:
        """Return the next message."""
        try:
            data = await aio_as_trio(self.call.recv_message)()
        except LOST as error:
            raise PeerLostError(f"the stream has ended: {error}") from error
        if data is None:
            raise PeerLostError("the peer closed the stream")
        return data

    async def aclose(self) -> None:
        """End the stream; the call's owner closes the connection."""


class PeerService:
    """The gRPC service that accepts message streams."""

    __slots__ = ("handler",)

    def __init__(self, handler: Callable[[GrpcStream], Awaitable[None]]) -> None:
        self.handler = handler

    async def connect(self, call: Any) -> None:
        """Serve one call until the handler returns."""
        await trio_as_aio(self.handler)(GrpcStream(call))

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return grpclib's table of methods."""
        handler = grpclib.const.Handler(
            self.connect, grpclib.const.Cardinality.STREAM_STREAM, bytes, bytes
        )
        return {METHOD: handler}


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
        method = StreamStreamMethod(channel, METHOD, bytes, bytes)
        opened = method.open()
        await aio_as_trio(opened.__aenter__)()
        with trio.move_on_after(DIAL_TIMEOUT_S) as scope:
            try:
                await aio_as_trio(opened.send_request)()
            except LOST as error:
                raise PeerLostError(f"no stream to {address}: {error}") from error
        if scope.cancelled_caught:
            raise PeerLostError(f"no stream to {address} in time")
        await handler(GrpcStream(opened))
    finally:
        channel.close()
