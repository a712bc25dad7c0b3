"""The agents that connect to this entry: streams, heartbeats and task leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events, messages
from rattanwing.errors import PeerLostError, ProtocolError
from rattanwing.leases import TASK_LEASE_S
from rattanwing.peer.session import PEER_TIMEOUT_S, PeerSession

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.peer.stream import ByteMessageStream

DISCONNECTED_RETENTION_S = 3600.0
"""Seconds after its last message until a disconnected agent is removed; far longer
than a task lease."""

NO_HEARTBEAT = messages.Heartbeat(0.0, executor_reachable=False)
"""Stands for the heartbeat of an agent that has sent none; it accepts no work."""


class AgentHandle:
    """What this entry knows about one agent.

    The agent's reports, ``hello`` and ``heartbeat``, may be out of date and are only
    hints for decisions. The other values are this entry's own observations. Times are
    seconds on this entry's monotonic clock.

    :param hello: first message on the newest stream.
    :param session: session on the newest stream, or ``None`` once it has ended.
    :param heartbeat: latest heartbeat; ``NO_HEARTBEAT`` before the first one.
    :param last_heard_at: when the agent last connected or sent a message.
    :param connected_at: when the newest stream opened.
    :param in_flight: this entry's requests that wait for the agent's answer.
    :param latest_lease_ends: by shard number, the latest time at which a task
        lease that this entry granted to the agent can end.
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
        self.heartbeat = NO_HEARTBEAT
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
        """Return whether a stream is open and not silent for ``PEER_TIMEOUT_S``."""
        return self.is_connected() and now - self.last_heard_at <= PEER_TIMEOUT_S

    def send(self, message: messages.Message) -> None:
        """Send a message to the agent.

        :raises PeerLostError: when no stream to the agent is open.
        """
        if self.session is None:
            raise PeerLostError(f"agent {self.name} is not connected")
        self.session.send(message)


class AgentDirectory:
    """Accepts agents' streams and keeps what is known about each agent.

    Emits ``agent-connected(handle)``, ``agent-lost(handle)`` and
    ``agent-message(handle, message)``.

    :param agents: by agent name, including disconnected ones.
    """

    __slots__ = ("app", "agents")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.agents: dict[str, AgentHandle] = {}
        app.connect("config-changed", self.push_config)

    async def accept(self, stream: ByteMessageStream, data: bytes) -> None:
        """Serve one agent's stream until it ends.

        :param data: the first message, already read from the stream.
        :raises ProtocolError: when ``data`` is not a :class:`messages.Hello`.
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
        """Return the handle for a new stream and close the agent's old stream.

        A restarted agent's earlier heartbeat is dropped; if its host has restarted too,
        the heartbeat's time is of another clock.
        """
        now = self.app.now()
        handle = self.agents.get(hello.name)
        if handle is None:
            self.remove_expired(now)
            handle = AgentHandle(hello, now)
            self.agents[hello.name] = handle
        if handle.session is not None:
            handle.session.close()
        if handle.hello.incarnation != hello.incarnation:
            handle.heartbeat = NO_HEARTBEAT
        handle.hello = hello
        handle.last_heard_at = now
        handle.connected_at = now
        return handle

    def remove_expired(self, now: float) -> None:
        """Remove agents disconnected for so long that their leases have ended."""
        for name, handle in list(self.agents.items()):
            if (
                not handle.is_connected()
                and now - handle.last_heard_at > DISCONNECTED_RETENTION_S
            ):
                del self.agents[name]

    def detach(self, handle: AgentHandle, session: PeerSession) -> None:
        """Report an agent as lost, unless a newer stream replaced the ended one."""
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
        """Handle one message of an agent; ignore messages of a replaced stream."""
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
        """Store the reported load and acknowledge it.

        The acknowledgement extends the agent's task leases in the shards that
        this entry owns.
        """
        now = self.app.now()
        if heartbeat.leaving and not handle.heartbeat.leaving:
            events.write(events.AGENT_LEAVING, peer=handle.name)
        handle.heartbeat = heartbeat
        config = self.app.get("config")
        owned = self.app.get("ownership").owned_leases(now)
        for lease in owned:
            handle.latest_lease_ends[lease.shard] = now + TASK_LEASE_S
        ack = messages.HeartbeatAck(
            heartbeat.sent_at, config.tree.last_change_version, config.age_s(now), owned
        )
        handle.send(ack)

    def push_config(self) -> None:
        """Send the current configuration view to every connected agent."""
        view = self.app.get("config").make_view()
        for handle in self.agents.values():
            if handle.is_connected():
                try_send(handle, view)

    def connected_agents(self) -> list[AgentHandle]:
        """Return the agents with an open stream."""
        return [handle for handle in self.agents.values() if handle.is_connected()]


def try_send(handle: AgentHandle, message: messages.Message) -> bool:
    """Send a message; return whether a stream to the agent was open."""
    try:
        handle.send(message)
    except PeerLostError:
        return False
    return True


def setup(app: Application) -> None:
    """Register the service ``agents``."""
    app.add_service("agents", AgentDirectory(app))
