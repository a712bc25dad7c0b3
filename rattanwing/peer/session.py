"""One stream to one peer: reader, writer and a watch on silence."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events, messages
from rattanwing.errors import PeerLostError, ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.peer.stream import ByteMessageStream

HEARTBEAT_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 3.0
SEND_QUEUE_MESSAGES = 20_000


class PeerSession:
    """Runs one stream until it ends, falls silent or is closed.

    :param stream: the message stream.
    :param clock: returns monotonic seconds.
    :param on_message: called with each decoded message.
    :param codec: the module that encodes and decodes the stream's messages.
    """

    __slots__ = (
        "stream",
        "clock",
        "on_message",
        "codec",
        "send_queue",
        "outgoing",
        "last_heard_at",
        "scope",
        "lost",
        "sent_messages",
        "sent_bytes",
    )

    def __init__(
        self,
        stream: ByteMessageStream,
        clock: Callable[[], float],
        on_message: Callable[[Any], None],
        codec: Any = messages,
    ) -> None:
        self.stream = stream
        self.clock = clock
        self.on_message = on_message
        self.codec = codec
        self.send_queue, self.outgoing = trio.open_memory_channel[bytes](
            SEND_QUEUE_MESSAGES
        )
        self.last_heard_at = clock()
        self.scope = trio.CancelScope()
        self.lost = False
        self.sent_messages = 0
        self.sent_bytes = 0

    def send(self, message: Any) -> None:
        """Queue a message for the peer.

        :raises PeerLostError: when the stream has ended or is stuck.
        """
        if self.lost:
            raise PeerLostError("the stream has ended")
        data = self.codec.encode(message)
        try:
            self.send_queue.send_nowait(data)
        except trio.WouldBlock as error:
            self.close()
            raise PeerLostError("the peer takes no messages") from error
        self.sent_messages += 1
        self.sent_bytes += len(data)

    def close(self) -> None:
        """End the session."""
        self.lost = True
        self.scope.cancel()

    async def run(self) -> None:
        """Serve the stream until it is lost; never raises for a lost peer."""
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.read)
                    nursery.start_soon(self.write)
                    nursery.start_soon(self.close_on_silence)
        finally:
            self.lost = True
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await self.stream.aclose()

    async def read(self) -> None:
        """Decode and hand on messages; a bad one ends the session."""
        while True:
            try:
                message = self.codec.decode(await self.stream.receive())
                self.last_heard_at = self.clock()
                self.on_message(message)
            except PeerLostError:
                self.close()
                return
            except ProtocolError as error:
                events.write(events.PEER_MESSAGE_REFUSED, error=error)
                self.close()
                return

    async def write(self) -> None:
        """Send queued messages in order."""
        async for data in self.outgoing:
            try:
                await self.stream.send(data)
            except PeerLostError:
                self.close()
                return

    async def close_on_silence(self) -> None:
        """Abandon a stream that fell silent."""
        while self.clock() - self.last_heard_at <= PEER_TIMEOUT_S:
            await trio.sleep(HEARTBEAT_INTERVAL_S / 2)
        self.close()
