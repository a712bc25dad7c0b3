"""Interface of a message stream, and an in-memory stream within one process."""

from __future__ import annotations

from typing import Protocol

import trio

from rattanwing.errors import PeerLostError

MEMORY_BUFFER = 10_000
"""Number of messages that each direction of a memory stream buffers."""


class ByteMessageStream(Protocol):
    """One end of an ordered bidirectional stream of encoded messages."""

    async def send(self, data: bytes) -> None:
        """Send one message.

        :raises PeerLostError: when the stream has ended.
        """

    async def send_batch(self, batch: list[bytes]) -> None:
        """Send several messages in order.

        :raises PeerLostError: when the stream has ended.
        """

    async def receive(self) -> bytes:
        """Return the next message.

        :raises PeerLostError: when the stream has ended.
        """

    async def aclose(self) -> None:
        """Close this end of the stream."""


class MemoryStream:
    """One end of an in-memory stream."""

    __slots__ = ("outgoing", "incoming")

    def __init__(
        self,
        outgoing: trio.MemorySendChannel[bytes],
        incoming: trio.MemoryReceiveChannel[bytes],
    ) -> None:
        self.outgoing = outgoing
        self.incoming = incoming

    async def send(self, data: bytes) -> None:
        """Send one message."""
        try:
            await self.outgoing.send(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerLostError("the stream has ended") from error

    async def send_batch(self, batch: list[bytes]) -> None:
        """Send several messages in order."""
        for data in batch:
            await self.send(data)

    async def receive(self) -> bytes:
        """Return the next message."""
        try:
            return await self.incoming.receive()
        except (trio.EndOfChannel, trio.ClosedResourceError) as error:
            raise PeerLostError("the stream has ended") from error

    async def aclose(self) -> None:
        """Close this end of the stream."""
        self.outgoing.close()
        self.incoming.close()


def memory_stream_pair() -> tuple[MemoryStream, MemoryStream]:
    """Return both ends of a new in-memory stream."""
    to_right, from_left = trio.open_memory_channel[bytes](MEMORY_BUFFER)
    to_left, from_right = trio.open_memory_channel[bytes](MEMORY_BUFFER)
    return MemoryStream(to_right, from_right), MemoryStream(to_left, from_left)
