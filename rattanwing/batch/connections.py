"""The owner's connections to agents: one stream to each.

A stream that is lost is dialled again. Each stream has a fence of its own, higher than
those of all earlier streams to the agent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.errors import PeerLostError
from rattanwing.peer.session import PeerSession

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from rattanwing.batch.cluster import ClusterState
    from rattanwing.batch.hosts import Host
    from rattanwing.batch.replica import Directory
    from rattanwing.batch.unregistering import AddressRemover
    from rattanwing.peer.stream import ByteMessageStream

    Dial = Callable[
        [str, Callable[[ByteMessageStream], Awaitable[None]]], Awaitable[None]
    ]

INITIAL_REDIAL_PAUSE_S = 0.25
"""Mean pause before an agent that has reported is dialled again; far below the length
of a lease."""

MAX_REDIAL_PAUSE_S = 1.0
"""Largest mean pause between dials of an agent that does not report. The agent of a
lost host is dialled until its lease has ended, and then removed."""

MAX_STREAMS_PER_EPOCH = 1 << 20
"""Most streams that an owner may open in its epoch. A fence is the epoch times this
number plus the number of the stream, so it exceeds all fences of earlier epochs."""


class DialAttempt:
    """One dial of an agent, and the pause that follows it.

    :param incarnation: the agent's incarnation, as its address was known.
    :param scope: cancelled to dial the agent at once.
    """

    __slots__ = ("incarnation", "scope")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.scope = trio.CancelScope()


class AgentConnections:
    """Keeps one stream open to every agent in the directory.

    :param address_remover: deletes the addresses of lost agents.
    :param dial: connects to an address and runs a function on the stream.
    :param on_message: called with the host, the session and each message.
    :param streams_opened: number of streams opened in this epoch.
    :param sessions: the newest session of each connected agent, by name.
    :param dial_scopes: the cancel scope of each agent's dialling task, by name.
    :param attempts: each agent's present attempt to connect, by name.
    """

    __slots__ = (
        "node",
        "epoch",
        "cluster",
        "directory",
        "address_remover",
        "clock",
        "random",
        "dial",
        "on_message",
        "streams_opened",
        "sessions",
        "dial_scopes",
        "attempts",
        "nursery",
    )

    def __init__(
        self,
        node: str,
        epoch: int,
        cluster: ClusterState,
        directory: Directory,
        address_remover: AddressRemover,
        clock: Callable[[], float],
        random: Random,
        dial: Dial,
        on_message: Callable[[Host, PeerSession, Any], None],
    ) -> None:
        self.node = node
        self.epoch = epoch
        self.cluster = cluster
        self.directory = directory
        self.address_remover = address_remover
        self.clock = clock
        self.random = random
        self.dial = dial
        self.on_message = on_message
        self.streams_opened = 0
        self.sessions: dict[str, PeerSession] = {}
        self.dial_scopes: dict[str, trio.CancelScope] = {}
        self.attempts: dict[str, DialAttempt] = {}
        self.nursery: trio.Nursery | None = None

    def send(self, name: str, message: messages.Message) -> None:
        """Send a message to an agent; without a stream the message is dropped."""
        session = self.sessions.get(name)
        if session is None:
            return
        try:
            session.send(message)
        except PeerLostError:
            session.close()

    def keep_connected(self, name: str) -> None:
        """Start to keep a stream open to an agent, unless that has been started."""
        if self.nursery is None:
            return
        if name in self.dial_scopes:
            self.dial_if_restarted(name)
            return
        scope = self.dial_scopes[name] = trio.CancelScope()
        self.cluster.add_host(name, self.clock())
        self.nursery.start_soon(self.dial_loop, name, scope)

    def dial_if_restarted(self, name: str) -> None:
        """Dial an agent at once if it has no stream and has written a new address.

        After a loss of power, agents start at different times. A dial from before the
        start of an agent may wait a second or longer until a lost packet is repeated.
        """
        attempt = self.attempts.get(name)
        if attempt is None or name in self.sessions:
            return
        if self.directory.agents[name].incarnation != attempt.incarnation:
            attempt.scope.cancel()

    def remove_agent(self, name: str) -> None:
        """Stop dialling an agent whose host is lost, and have its address deleted.

        An agent that comes back writes its address again only while no owner is
        connected. A stream that is being opened at this moment is closed as well; if
        it stayed open, the agent would see an owner and not write its address.
        """
        events.write(events.AGENT_REMOVED, peer=name)
        scope = self.dial_scopes.pop(name, None)
        if scope is not None:
            scope.cancel()
        self.address_remover.remove(name)

    async def dial_loop(self, name: str, scope: trio.CancelScope) -> None:
        """Dial an agent, and redial it after each loss, until it is removed."""
        pause_s = INITIAL_REDIAL_PAUSE_S
        with scope:
            while True:
                address = self.directory.agents.get(name)
                host = self.cluster.hosts.get(name)
                if address is None or host is None:
                    self.dial_scopes.pop(name, None)
                    return
                heard_at = host.last_heard_at
                attempt = self.attempts[name] = DialAttempt(address.incarnation)
                with attempt.scope:
                    try:
                        await self.dial(address.address, self.make_handler(host))
                    except PeerLostError as error:
                        if pause_s == INITIAL_REDIAL_PAUSE_S:
                            events.write(events.PEER_LOST, peer=name, reason=str(error))
                    pause_s = min(MAX_REDIAL_PAUSE_S, pause_s * 2)
                    if host.last_heard_at > heard_at:
                        pause_s = INITIAL_REDIAL_PAUSE_S
                    await trio.sleep(pause_s * (0.5 + self.random.random()))
                if attempt.scope.cancelled_caught:
                    pause_s = INITIAL_REDIAL_PAUSE_S

    def make_handler(self, host: Host) -> Callable[[Any], Awaitable[None]]:
        """Return a function that serves one stream to a host's agent."""

        async def run_session(stream: ByteMessageStream) -> None:
            session = PeerSession(
                stream,
                self.clock,
                lambda message: self.handle_message(host, session, message),
                messages,
            )
            self.streams_opened += 1
            fence = self.epoch * MAX_STREAMS_PER_EPOCH + self.streams_opened
            session.send(messages.OwnerHello(self.epoch, fence, self.node))
            self.sessions[host.name] = session
            self.cluster.begin_stream(host)
            events.write(events.PEER_CONNECTED, peer=host.name, fence=fence)
            try:
                await session.run()
            finally:
                if self.sessions.get(host.name) is session:
                    del self.sessions[host.name]
                    self.cluster.end_stream(host)
                    events.write(events.PEER_LOST, peer=host.name, fence=fence)

        return run_session

    def handle_message(self, host: Host, session: PeerSession, message: Any) -> None:
        """Pass on a message unless a newer stream to the host has replaced its own."""
        if self.sessions.get(host.name) is session:
            self.on_message(host, session, message)
