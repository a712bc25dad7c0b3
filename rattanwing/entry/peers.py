"""The entry's peer listener, and its own streams to the other entries."""

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

REDIAL_DELAY_S = 0.5
HELLO_TIMEOUT_S = 3.0


class EntryPeers:
    """Streams between entries, over which owners ask for deferral.

    Emits ``peer-entry-message(name, session, message)``.
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
        """Serve a new stream of an agent or another entry."""
        data = None
        try:
            with trio.move_on_after(HELLO_TIMEOUT_S):
                data = await stream.receive()
            if data is None:
                raise ProtocolError("no hello in time")
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
        """Answer another entry on the stream that it dialled."""
        session = PeerSession(
            stream,
            self.app.now,
            lambda message: self.handle_message(name, session, message),
        )
        await session.run()

    def handle_message(
        self, name: str, session: PeerSession, message: messages.Message
    ) -> None:
        """Handle one message of an entry."""
        config = self.app.get("config")
        match message:
            case messages.Heartbeat(sent_at=sent_at):
                age_s = config.age_s(self.app.now())
                version = config.tree.changed_at
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
        """Keep a stream to each other entry."""
        async with trio.open_nursery() as nursery:
            for entry in self.other_entries():
                nursery.start_soon(self.keep_connected, entry)

    async def keep_connected(self, entry: PeerAddress) -> None:
        """Dial one entry again and again."""
        dial = self.app.get("dial")
        while True:
            with contextlib.suppress(PeerLostError):
                await dial(entry.address, lambda s: self.serve_outgoing(entry.name, s))
            await trio.sleep(REDIAL_DELAY_S)

    async def serve_outgoing(self, name: str, stream: ByteMessageStream) -> None:
        """Run the session on a stream that this entry dialled."""
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
    """Send plain heartbeats until the session is lost."""
    while not session.lost:
        try:
            session.send(messages.Heartbeat(clock()))
        except PeerLostError:
            return
        await trio.sleep(HEARTBEAT_INTERVAL_S)


def setup(app: Application) -> None:
    """Register the service ``peers`` and its tasks."""
    peers = EntryPeers(app)
    app.add_service("peers", peers)
    app.add_task(peers.run)
