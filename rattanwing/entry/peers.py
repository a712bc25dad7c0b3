"""The entry's listener for peers, and its outgoing streams to other entries."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import trio

from rattanwing import events, messages
from rattanwing.errors import PeerLostError, ProtocolError
from rattanwing.peer.session import HEARTBEAT_INTERVAL_S, PeerSession

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.application import Application
    from rattanwing.peer.stream import ByteMessageStream
    from rattanwing.settings import PeerAddress

RECONNECT_DELAY_S = 0.5
"""Seconds between a lost or failed stream to another entry and the next attempt."""

HELLO_TIMEOUT_S = 3.0
"""Seconds within which the side that opened a stream must send its first message."""


class EntryPeers:
    """Streams between this entry and the other entries.

    They carry heartbeats, the configuration for an entry that is behind, and the
    messages by which a shard's owner asks other entries to defer their claims.

    Emits ``peer-entry-message(name, session, message)`` for messages other than
    heartbeats and configuration.

    :param sessions: streams that this entry opened, by the other entry's name.
    """

    __slots__ = ("app", "sessions")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.sessions: dict[str, PeerSession] = {}

    def other_entries(self) -> list[PeerAddress]:
        """Return the other entries of the deployment."""
        name = self.app.settings.name
        return [e for e in self.app.settings.entry.entries if e.name != name]

    async def accept(self, stream: ByteMessageStream) -> None:
        """Serve a new stream.

        Its first message shows whether an agent or another entry opened it.
        """
        data = None
        try:
            with trio.move_on_after(HELLO_TIMEOUT_S):
                data = await stream.receive()
            if data is None:
                raise ProtocolError("no hello message before the time-out")
            hello = messages.decode(data)
            if isinstance(hello, messages.EntryHello):
                await self.serve_incoming(hello.name, stream)
                return
            await self.app.get("agents").accept(stream, data)
        except PeerLostError:
            return
        except ProtocolError as error:
            events.write(events.PEER_MESSAGE_REFUSED, error=error)
            await stream.aclose()

    async def serve_incoming(self, name: str, stream: ByteMessageStream) -> None:
        """Serve a stream that another entry opened."""
        session = PeerSession(
            stream,
            self.app.now,
            lambda message: self.handle_message(name, session, message),
        )
        await session.run()

    def handle_message(
        self, name: str, session: PeerSession, message: messages.Message
    ) -> None:
        """Handle one message of another entry."""
        config = self.app.get("config")
        match message:
            case messages.Heartbeat(sent_at=sent_at):
                age_s = config.age_s(self.app.now())
                version = config.tree.last_change_version
                session.send(messages.HeartbeatAck(sent_at, version, age_s, []))
            case messages.HeartbeatAck():
                if not config.handle_confirmation(message):
                    session.send(messages.ConfigRequest())
            case messages.ConfigRequest():
                session.send(config.make_state())
            case messages.ConfigState():
                config.handle_state(message)
            case _:
                self.app.emit("peer-entry-message", name, session, message)

    async def run(self) -> None:
        """Keep a stream open to every other entry."""
        async with trio.open_nursery() as nursery:
            for entry in self.other_entries():
                nursery.start_soon(self.keep_connected, entry)

    async def keep_connected(self, entry: PeerAddress) -> None:
        """Connect to one entry, and reconnect whenever the stream ends."""
        dial = self.app.get("dial")
        while True:
            with contextlib.suppress(PeerLostError):
                await dial(entry.address, lambda s: self.serve_outgoing(entry.name, s))
            await trio.sleep(RECONNECT_DELAY_S)

    async def serve_outgoing(self, name: str, stream: ByteMessageStream) -> None:
        """Serve a stream that this entry opened, and send heartbeats on it."""
        session = PeerSession(
            stream,
            self.app.now,
            lambda message: self.handle_message(name, session, message),
        )
        session.send(messages.EntryHello(self.app.settings.name))
        self.sessions[name] = session
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_heartbeats, session, self.app.now)
                await session.run()
                nursery.cancel_scope.cancel()
        finally:
            if self.sessions.get(name) is session:
                del self.sessions[name]


async def send_heartbeats(session: PeerSession, clock: Callable[[], float]) -> None:
    """Send heartbeats without load figures until the session is lost."""
    while not session.lost:
        try:
            session.send(messages.Heartbeat(clock()))
        except PeerLostError:
            return
        await trio.sleep(HEARTBEAT_INTERVAL_S)


def setup(app: Application) -> None:
    """Register the service ``peers`` and its background tasks."""
    peers = EntryPeers(app)
    app.add_service("peers", peers)
    app.add_task(peers.run)
