"""The owner's streams to agents: dialled again and again, each under its own fence."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from rattanwing import events
from rattanwing.batch import messages, records
from rattanwing.batch.timing import TASK_LEASE_S
from rattanwing.errors import PeerLostError
from rattanwing.peer.session import PeerSession

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from rattanwing.batch.hosts import Host
    from rattanwing.batch.ledger import RunLedger
    from rattanwing.batch.replica import Directory
    from rattanwing.batch.writer import RecordWriter
    from rattanwing.peer.stream import ByteMessageStream

    Dial = Callable[
        [str, Callable[[ByteMessageStream], Awaitable[None]]], Awaitable[None]
    ]

INITIAL_REDIAL_PAUSE_S = 0.25
"""Pause before an agent is dialled again; well under the lease."""

MAX_REDIAL_PAUSE_S = 1.0
"""Longest such pause, while the agent does not report; agents of lost hosts are
dropped after a lease."""

MAX_STREAMS_PER_EPOCH = 1 << 20
"""Streams that one owner may open; an owner's fences all exceed an earlier one's."""


class AgentLinks:
    """Keeps one stream to every agent of the directory.

    :param directory_writer: drops addresses under the owner's epoch.
    :param on_message: called with the host, the session and each message.
    """

    __slots__ = (
        "node",
        "epoch",
        "ledger",
        "directory",
        "directory_writer",
        "clock",
        "random",
        "dial",
        "on_message",
        "streams_opened",
        "sessions",
        "link_scopes",
        "nursery",
    )

    def __init__(
        self,
        node: str,
        epoch: int,
        ledger: RunLedger,
        directory: Directory,
        directory_writer: RecordWriter,
        clock: Callable[[], float],
        random: Random,
        dial: Dial,
        on_message: Callable[[Host, PeerSession, Any], None],
    ) -> None:
        self.node = node
        self.epoch = epoch
        self.ledger = ledger
        self.directory = directory
        self.directory_writer = directory_writer
        self.clock = clock
        self.random = random
        self.dial = dial
        self.on_message = on_message
        self.streams_opened = 0
        self.sessions: dict[str, PeerSession] = {}
        self.link_scopes: dict[str, trio.CancelScope] = {}
        self.nursery: trio.Nursery | None = None

    def send(self, name: str, message: messages.Message) -> None:
        """Send to a host's agent; what finds no stream is told anew on the next."""
        session = self.sessions.get(name)
        if session is None:
            return
        try:
            session.send(message)
        except PeerLostError:
            session.close()

    def link(self, name: str) -> None:
        """Keep a stream to an agent."""
        if name in self.link_scopes or self.nursery is None:
            return
        scope = self.link_scopes[name] = trio.CancelScope()
        self.ledger.add_host(name, self.clock())
        self.nursery.start_soon(self.keep_link, name, scope)

    def unlink(self, name: str) -> None:
        """Stop dialling an agent of which nothing is left, and drop its record.

        An agent that comes back writes its address again; a stream that opens at
        this very moment is closed, else it would believe to have an owner.
        """
        events.write(events.AGENT_GONE, peer=name)
        scope = self.link_scopes.pop(name, None)
        if scope is not None:
            scope.cancel()
        key = records.AGENT_PREFIX + name
        self.directory.agents.pop(name, None)
        if self.nursery is not None:
            self.nursery.start_soon(self.delete_agent_record, key)

    async def delete_agent_record(self, key: str) -> None:
        """Drop an agent's record from the directory."""
        expires_at = self.clock() + TASK_LEASE_S
        await self.directory_writer.store_records([(key, None)], expires_at)

    async def keep_link(self, name: str, scope: trio.CancelScope) -> None:
        """Dial an agent again and again while it is linked."""
        pause_s = INITIAL_REDIAL_PAUSE_S
        with scope:
            while True:
                address = self.directory.agents.get(name)
                host = self.ledger.hosts.get(name)
                if address is None or host is None:
                    self.link_scopes.pop(name, None)
                    return
                heard_at = host.heard_at
                try:
                    await self.dial(address.address, self.make_handler(host))
                except PeerLostError as error:
                    if pause_s == INITIAL_REDIAL_PAUSE_S:
                        events.write(events.PEER_LOST, peer=name, reason=str(error))
                pause_s = min(MAX_REDIAL_PAUSE_S, pause_s * 2)
                if host.heard_at > heard_at:
                    pause_s = INITIAL_REDIAL_PAUSE_S
                await trio.sleep(pause_s * (0.5 + self.random.random()))

    def make_handler(self, host: Host) -> Callable[[Any], Awaitable[None]]:
        """Return the function that serves one stream to a host's agent."""

        async def serve(stream: ByteMessageStream) -> None:
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
            self.ledger.host_connected(host)
            events.write(events.PEER_CONNECTED, peer=host.name, fence=fence)
            try:
                await session.run()
            finally:
                if self.sessions.get(host.name) is session:
                    del self.sessions[host.name]
                    self.ledger.host_lost(host)
                    events.write(events.PEER_LOST, peer=host.name, fence=fence)

        return serve

    def handle_message(self, host: Host, session: PeerSession, message: Any) -> None:
        """Hand on a message of the newest stream to a host."""
        if self.sessions.get(host.name) is session:
            self.on_message(host, session, message)
