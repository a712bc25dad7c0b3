"""Message streams over TCP: each message is one frame, its length before its bytes.

A frame costs a small part of the processor time of a gRPC message, and needs neither
asyncio nor HTTP/2. An owner on a small host exchanges several messages a second with
each of hundreds of agents.

Both ends first send ``GREETING``, so that a peer of another protocol is recognized at
once, and the message that follows is never misread.
"""

from __future__ import annotations

import struct
import traceback
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events
from rattanwing.errors import PeerLostError, ProtocolError
from rattanwing.util.address import split_address
from rattanwing.util.admission import (
    AddressGroup,
    Admission,
    Phase,
    descriptor_limit,
    make_limits,
)
from rattanwing.util.blocks import BlockBuffer
from rattanwing.util.codec import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from rattanwing.util.admission import Cause, Client

    Handler = Callable[["FrameStream"], Awaitable[None]]

GREETING = b"rattanwing frames 1\n"
"""First bytes from each end; names the protocol and its version."""

LENGTH = struct.Struct(">I")
"""Length of the message that follows, in bytes."""

READ_BYTES = 65_536
"""Most bytes that one read returns."""

DIAL_TIMEOUT_S = 2.0
"""Bound on the time to open a stream, including the greetings."""


class FrameStream:
    """One end of a TCP connection as a message stream.

    :param received: bytes that have been read but not returned.
    """

    __slots__ = ("connection", "received")

    def __init__(self, connection: trio.SocketStream) -> None:
        self.connection = connection
        self.received = BlockBuffer()

    async def greet(self) -> None:
        """Exchange greetings with the other end.

        :raises PeerLostError: when the connection ends before its greeting.
        :raises ProtocolError: when the other end speaks another protocol.
        """
        await self.write(GREETING)
        greeting = await self.read_exactly(len(GREETING))
        if greeting != GREETING:
            raise ProtocolError(f"the peer speaks another protocol: {greeting!r}")

    async def send(self, data: bytes) -> None:
        """Send one message."""
        await self.send_batch([data])

    async def send_batch(self, batch: list[bytes]) -> None:
        """Send several messages in one write."""
        await self.write(b"".join(LENGTH.pack(len(data)) + data for data in batch))

    async def write(self, data: bytes) -> None:
        """Send bytes as they are."""
        try:
            await self.connection.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerLostError("the stream has ended") from error

    async def receive(self) -> bytes:
        """Return the next message.

        :raises ProtocolError: when the message is longer than ``MAX_MESSAGE_BYTES``.
        """
        (length,) = LENGTH.unpack(await self.read_exactly(LENGTH.size))
        if length > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a message of {length} bytes is too long")
        return await self.read_exactly(length)

    async def read_exactly(self, size: int) -> bytes:
        """Return the next ``size`` bytes."""
        while self.received.size < size:
            self.received.add(await self.read_some())
        return self.received.take(size)

    async def read_some(self) -> bytes:
        """Return the next bytes, at least one."""
        try:
            data = await self.connection.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerLostError("the stream has ended") from error
        if not data:
            raise PeerLostError("the stream has ended")
        return bytes(data)

    async def aclose(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.connection)


class AcceptedStream(FrameStream):
    """A stream that another process has opened; what it holds is limited.

    :param admission: the connections of this process.
    :param client: the account of this one.
    """

    __slots__ = ("admission", "client")

    client: Client

    def __init__(self, connection: trio.SocketStream, admission: Admission) -> None:
        super().__init__(connection)
        self.admission = admission

    def close_for(self, _cause: Cause) -> None:
        """Close at once for one of the limits."""
        self.connection.socket.close()

    async def receive(self) -> bytes:
        """Return the next message; the stream is kept while it is handled."""
        client = self.client
        client.enter(Phase.IDLE, trio.current_time())
        data = await super().receive()
        self.admission.release(client)
        client.finished += 1
        client.enter(Phase.RUNNING, trio.current_time())
        return data

    async def read_some(self) -> bytes:
        """Return the next bytes and count them until their message is complete."""
        data = await super().read_some()
        client, now = self.client, trio.current_time()
        if client.phase is Phase.IDLE:
            client.enter(Phase.READING, now)
        client.moved += len(data)
        self.admission.charge(client, len(data), now)
        if client.closed:
            raise PeerLostError("the stream was closed for a limit")
        return data


async def accept_peer(
    handler: Handler, admission: Admission, connection: trio.SocketStream
) -> None:
    """Serve one accepted connection; no error of it reaches the other connections."""
    stream = AcceptedStream(connection, admission)
    client = admission.add(AddressGroup.PEERS, stream.close_for, trio.current_time())
    if client is None:
        connection.socket.close()
        return
    stream.client = client
    try:
        await serve_peer(handler, stream)
    finally:
        admission.remove(client)
        # The stream and its account refer to each other: without this, the bytes of an
        # incomplete message are kept until the next garbage collection.
        stream.received.clear()


async def serve_peer(handler: Handler, stream: FrameStream) -> None:
    """Exchange greetings and run the handler on an accepted stream."""
    try:
        with trio.fail_after(DIAL_TIMEOUT_S):
            await stream.greet()
    except (PeerLostError, ProtocolError, trio.TooSlowError) as error:
        events.write(events.PEER_MESSAGE_REFUSED, error=error)
        await stream.aclose()
        return
    try:
        await handler(stream)
    except Exception as error:
        detail = "".join(traceback.format_exception(error))
        events.write(events.PEER_HANDLING_FAILED, trace=detail)
    finally:
        await stream.aclose()


async def serve_peers(
    address: str,
    handler: Handler,
    admission: Admission | None = None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept streams at ``address`` until cancelled.

    :param address: ``ip:port`` to listen on.
    :param handler: run on each accepted stream.
    :param admission: the connections of the process; by default the streams have
        limits of their own.
    """
    host, port = split_address(address)
    admission = admission or Admission(make_limits(0, descriptor_limit()))
    await trio.serve_tcp(
        partial(accept_peer, handler, admission),
        port,
        host=host,
        task_status=task_status,
    )


async def dial_peer(address: str, handler: Handler) -> None:
    """Open a stream to ``address`` and run ``handler`` on it.

    :raises PeerLostError: when the stream can't be opened within ``DIAL_TIMEOUT_S``, or
        the address is invalid.
    """
    try:
        host, port = split_address(address)
        with trio.fail_after(DIAL_TIMEOUT_S):
            connection = await open_connection(host, port)
            stream = FrameStream(connection)
            try:
                await stream.greet()
            except BaseException:
                await stream.aclose()
                raise
    except (OSError, ProtocolError, ValueError) as error:
        raise PeerLostError(f"cannot open a stream to {address}: {error}") from error
    except trio.TooSlowError as error:
        raise PeerLostError(f"opening a stream to {address} timed out") from error
    try:
        await handler(stream)
    finally:
        await stream.aclose()


async def open_connection(host: str, port: int) -> trio.SocketStream:
    """Connect to an IP address.

    :raises OSError: when no connection can be made.
    """
    sock = trio.socket.socket()
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
