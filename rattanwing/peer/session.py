"""Session on a stream to a peer: reader, send queue and a timeout on silence."""

from __future__ import annotations

import contextlib
import traceback
from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events, messages
from rattanwing.errors import PeerLostError, ProtocolError

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.peer.stream import ByteMessageStream

HEARTBEAT_INTERVAL_S = 1.0
"""Interval of the heartbeats that the dialling side sends."""

PEER_TIMEOUT_S = 3.0
"""Time without a message from the peer after which the session is closed."""

SEND_QUEUE_MESSAGES = 20_000
"""Limit of queued messages; a peer that falls further behind loses the session."""

MAX_BATCH_MESSAGES = 64
"""Most messages that are handed to the stream at once."""


class PeerSession:
    """Sends and receives on one stream until it ends, times out or is closed.

    :param stream: the message stream.
    :param clock: returns monotonic seconds.
    :param on_message: called with each decoded message.
    :param codec: object with ``encode`` and ``decode`` for the stream's messages.
    :param lost: whether the session has ended; then nothing more can be sent.
    :param sent_messages: number of messages queued so far.
    :param sent_bytes: encoded size of the messages queued so far.
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

        :raises PeerLostError: when the session has ended or the send queue is full.
        """
        if self.lost:
            raise PeerLostError("the stream has ended")
        data = self.codec.encode(message)
        try:
            self.send_queue.send_nowait(data)
        except trio.WouldBlock as error:
            self.close()
            raise PeerLostError("the send queue to the peer is full") from error
        self.sent_messages += 1
        self.sent_bytes += len(data)

    def close(self) -> None:
        """End the session."""
        self.lost = True
        self.scope.cancel()

    async def run(self) -> None:
        """Run the session until it ends. A lost peer raises no error."""
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
        """Decode messages and pass them on.

        A malformed message ends the session, and so does an error in handling one:
        it must not end the sessions with other peers.
        """
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
            except Exception as error:
                detail = "".join(traceback.format_exception(error))
                events.write(events.PEER_HANDLING_FAILED, trace=detail)
                self.close()
                return

    async def write(self) -> None:
        """Write queued messages to the stream in order, all that wait at once."""
        async for data in self.outgoing:
            batch = [data]
            with contextlib.suppress(trio.WouldBlock):
                while len(batch) < MAX_BATCH_MESSAGES:
                    batch.append(self.outgoing.receive_nowait())
            try:
                await self.stream.send_batch(batch)
            except PeerLostError:
                self.close()
                return

    async def close_on_silence(self) -> None:
        """End the session when the peer is silent for ``PEER_TIMEOUT_S``."""
        while self.clock() - self.last_heard_at <= PEER_TIMEOUT_S:
            await trio.sleep(HEARTBEAT_INTERVAL_S / 2)
        self.close()
