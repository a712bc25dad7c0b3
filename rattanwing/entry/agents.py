"""The agents that announce themselves to this entry, and their streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events, messages
from rattanwing.errors import PeerLostError, ProtocolError
from rattanwing.leases import TASK_LEASE_S
from rattanwing.peer.session import SILENCE_LIMIT_S, PeerSession

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.peer.stream import ByteMessageStream

DISCONNECTED_RETENTION_S = 3600.0


class AgentHandle:
    """What this entry knows of one agent; only hints, save the lease bounds.

    :param hello: the announcement on the newest stream.
    :param connected_at: when the newest stream opened.
    """

    __slots__ = (
        "hello",
        "session",
        "heartbeat",
        "last_heard_at",
        "connected_at",
        "in_flight",
        "latest_lease_ends",
    )

    def __init__(self, hello: messages.Hello, now: float) -> None:
        self.hello = hello
        self.session: PeerSession | None = None
        self.heartbeat = messages.Heartbeat(0.0)
        self.last_heard_at = now
        self.connected_at = now
        self.in_flight = 0
        self.latest_lease_ends: dict[int, float] = {}

    @property
    def name(self) -> str:
        """Name of the agent."""
        return self.hello.name

    def is_connected(self) -> bool:
        """Return whether a stream to the agent is open."""
        return self.session is not None and not self.session.lost

    def is_responsive(self, now: float) -> bool:
        """Return whether the agent was heard of lately."""
        return self.is_connected() and now - self.last_heard_at <= SILENCE_LIMIT_S

    def send(self, message: messages.Message) -> None:
        """Send a message to the agent.

        :raises PeerLostError: when there is no stream.
        """
        if self.session is None:
            raise PeerLostError(f"agent {self.name} is not connected")
        self.session.send(message)


class AgentDirectory:
    """Accepts streams of agents and keeps what they announce.

    Emits ``agent-connected(handle)``, ``agent-lost(handle)`` and
    ``agent-message(handle, message)``.
    """

    __slots__ = ("app", "agents")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.agents: dict[str, AgentHandle] = {}
        app.connect("config-changed", self.push_config)

    async def accept(self, stream: ByteMessageStream, data: bytes) -> None:
        """Serve one stream whose first message has been read.

        :raises ProtocolError: when that message is no :class:`messages.Hello`.
        """
        hello = messages.decode(data)
        if not isinstance(hello, messages.Hello):
            raise ProtocolError(f"expected hello, got {type(hello).__name__}")
        handle = self.attach(hello)
        session = PeerSession(
            stream,
            self.app.now,
            lambda message: self.handle_message(handle, session, message),
        )
        handle.session = session
        events.write(events.PEER_CONNECTED, peer=hello.name)
        session.send(self.app.get("config").make_view())
        self.app.emit("agent-connected", handle)
        try:
            await session.run()
        finally:
            self.detach(handle, session)

    def attach(self, hello: messages.Hello) -> AgentHandle:
        """Return the handle for a new stream and drop the old stream."""
        now = self.app.now()
        handle = self.agents.get(hello.name)
        if handle is None:
            self.remove_expired(now)
            handle = AgentHandle(hello, now)
            self.agents[hello.name] = handle
        if handle.session is not None:
            handle.session.close()
        handle.hello = hello
        handle.last_heard_at = now
        handle.connected_at = now
        return handle

    def remove_expired(self, now: float) -> None:
        """Drop agents that have been gone for long; their leases have ended."""
        for name, handle in list(self.agents.items()):
            if (
                not handle.is_connected()
                and now - handle.last_heard_at > DISCONNECTED_RETENTION_S
            ):
                del self.agents[name]

    def detach(self, handle: AgentHandle, session: PeerSession) -> None:
        """Take note of an ended stream, unless a newer one took its place."""
        if handle.session is not session:
            return
        handle.session = None
        planned = handle.heartbeat.leaving or self.app.get("lifecycle").is_stopping()
        events.write(
            events.PEER_CLOSED if planned else events.PEER_LOST, peer=handle.name
        )
        self.app.emit("agent-lost", handle)

    def handle_message(
        self, handle: AgentHandle, session: PeerSession, message: messages.Message
    ) -> None:
        """Handle one message of an agent."""
        if handle.session is not session:
            return
        handle.last_heard_at = self.app.now()
        match message:
            case messages.Heartbeat():
                self.answer_heartbeat(handle, message)
            case _:
                self.app.emit("agent-message", handle, message)

    def answer_heartbeat(
        self, handle: AgentHandle, heartbeat: messages.Heartbeat
    ) -> None:
        """Store the load and extend the leases of this entry's shards."""
        now = self.app.now()
        if heartbeat.leaving and not handle.heartbeat.leaving:
            events.write(events.AGENT_LEAVING, peer=handle.name)
        handle.heartbeat = heartbeat
        config = self.app.get("config")
        owned = self.app.get("ownership").owned_leases(now)
        for lease in owned:
            handle.latest_lease_ends[lease.shard] = now + TASK_LEASE_S
        ack = messages.HeartbeatAck(
            heartbeat.sent_at, config.tree.changed_at, config.age_s(now), owned
        )
        handle.send(ack)

    def push_config(self) -> None:
        """Tell every agent of a configuration change."""
        view = self.app.get("config").make_view()
        for handle in self.agents.values():
            if handle.is_connected():
                try_send(handle, view)

    def connected_agents(self) -> list[AgentHandle]:
        """Return the agents with an open stream."""
        return [handle for handle in self.agents.values() if handle.is_connected()]


def try_send(handle: AgentHandle, message: messages.Message) -> bool:
    """Send a message; return whether the agent had a stream."""
    try:
        handle.send(message)
    except PeerLostError:
        return False
    return True


def setup(app: Application) -> None:
    """Register the service ``agents``."""
    app.add_service("agents", AgentDirectory(app))
