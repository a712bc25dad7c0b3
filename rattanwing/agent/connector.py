"""The agent's message streams to all entries."""

from __future__ import annotations

import contextlib
import uuid
from typing import TYPE_CHECKING

import trio

from rattanwing import events, messages
from rattanwing.errors import PeerLostError
from rattanwing.peer.session import HEARTBEAT_INTERVAL_S, PeerSession

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.peer.stream import ByteMessageStream
    from rattanwing.settings import PeerAddress

REDIAL_DELAY_S = 0.5
"""Pause between the end of a stream and the next attempt to open one."""

FLUSH_TIMEOUT_S = 2.0
"""Bound on the wait for entries to acknowledge the last messages at shutdown."""

ADOPTION_TIMEOUT_S = 5.0
"""Bound on the wait for the adoption of earlier tasks before entries are dialled.

Without an adoption by then, the agent announces its host without a worker.
"""


class Connector:
    """Keeps a stream to every entry, announces the host and dispatches messages.

    Emits ``entry-message(entry, message)``, ``entry-connected(entry)`` and
    ``heartbeat-ack(ack)``.

    :param incarnation: unique id of the agent's process; a restart changes it.
    :param sessions: open sessions by entry.
    :param last_echoes: ``sent_at`` of the last answered heartbeat, by entry.
    :param ack_received: set when an answer arrives or a session ends.
    """

    __slots__ = (
        "app",
        "incarnation",
        "sessions",
        "leaving",
        "last_echoes",
        "ack_received",
    )

    def __init__(self, app: Application) -> None:
        self.app = app
        self.incarnation = uuid.uuid4().hex
        self.sessions: dict[str, PeerSession] = {}
        self.leaving = False
        self.last_echoes: dict[str, float] = {}
        self.ack_received = trio.Event()
        app.connect("stopping", self.announce_leaving)

    def make_hello(self) -> messages.Hello:
        """Return the message that announces this host to an entry."""
        settings = self.app.settings
        executor = settings.agent.executor
        executor_info = None
        if executor is not None:
            executor_info = messages.ExecutorInfo(
                executor.service, executor.slots, executor.connections
            )
        tasks = self.app.services.get("tasks")
        worker_info = tasks.worker_info() if tasks else None
        return messages.Hello(
            settings.name,
            self.incarnation,
            settings.failure_domain,
            executor_info,
            worker_info,
        )

    def make_heartbeat(self) -> messages.Heartbeat:
        """Return a heartbeat with the current load."""
        beat = messages.Heartbeat(self.app.now(), leaving=self.leaving)
        requests = self.app.services.get("requests")
        if requests is not None:
            beat.busy = requests.admission.busy
            beat.queued = requests.admission.count_queued()
            beat.executor_reachable = requests.executor_reachable
        tasks = self.app.services.get("tasks")
        if tasks is not None:
            tasks.add_load(beat)
        colocation = self.app.services.get("colocation")
        if colocation is not None:
            beat.latency_ratio = colocation.latency_ratio
        return beat

    def send(self, entry: str, message: messages.Message) -> None:
        """Send a message to an entry if it is connected, else drop the message.

        Dropping is safe: answers and reports are kept and sent again.
        """
        session = self.sessions.get(entry)
        if session is None:
            return
        try:
            session.send(message)
        except PeerLostError:
            return
        self.update_sent_gauges()

    def update_sent_gauges(self) -> None:
        """Update the gauges of messages and bytes sent on the open streams."""
        gauges = self.app.get("metrics").gauges
        sessions = self.sessions.values()
        gauges["peer_sent_messages"] = sum(s.sent_messages for s in sessions)
        gauges["peer_sent_bytes"] = sum(s.sent_bytes for s in sessions)

    def broadcast(self, message: messages.Message) -> None:
        """Send a message to every connected entry."""
        for entry in list(self.sessions):
            self.send(entry, message)

    def announce_leaving(self) -> None:
        """Tell every entry immediately that this host accepts no new work."""
        self.leaving = True
        self.broadcast(self.make_heartbeat())

    async def flush(self) -> None:
        """Wait until every entry has received all earlier messages.

        Streams preserve order, so an entry that answers a final heartbeat has
        received everything sent before it.
        """
        marker = self.app.now()
        beat = self.make_heartbeat()
        beat.sent_at = marker
        self.broadcast(beat)
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            while any(self.last_echoes.get(e, -1.0) < marker for e in self.sessions):
                self.ack_received = trio.Event()
                await self.ack_received.wait()

    def reconnect_all(self) -> None:
        """Reconnect to every entry to announce the host's changed properties."""
        for session in self.sessions.values():
            session.close()

    async def run(self) -> None:
        """Keep a stream to each entry until cancelled."""
        tasks = self.app.services.get("tasks")
        if tasks is not None:
            with trio.move_on_after(ADOPTION_TIMEOUT_S):
                await tasks.adopted.wait()
        async with trio.open_nursery() as nursery:
            for entry in self.app.settings.agent.entries:
                nursery.start_soon(self.keep_connected, entry)

    async def keep_connected(self, entry: PeerAddress) -> None:
        """Dial one entry, and dial it again whenever the stream ends."""
        dial = self.app.get("dial")
        while True:
            with contextlib.suppress(PeerLostError):
                await dial(entry.address, lambda s: self.run_session(entry.name, s))
            await trio.sleep(REDIAL_DELAY_S)

    async def run_session(self, entry: str, stream: ByteMessageStream) -> None:
        """Run a session on a newly opened stream."""
        session = PeerSession(
            stream,
            self.app.now,
            lambda message: self.handle_message(entry, session, message),
        )
        session.send(self.make_hello())
        session.send(self.make_heartbeat())
        self.sessions[entry] = session
        events.write(events.PEER_CONNECTED, peer=entry)
        self.app.emit("entry-connected", entry)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.send_heartbeats, session)
                await session.run()
                nursery.cancel_scope.cancel()
        finally:
            planned = self.app.get("lifecycle").is_stopping()
            events.write(
                events.PEER_CLOSED if planned else events.PEER_LOST, peer=entry
            )
            if self.sessions.get(entry) is session:
                del self.sessions[entry]
                self.ack_received.set()

    async def send_heartbeats(self, session: PeerSession) -> None:
        """Send heartbeats at a fixed interval until the session ends."""
        while not session.lost:
            await trio.sleep(HEARTBEAT_INTERVAL_S)
            try:
                session.send(self.make_heartbeat())
            except PeerLostError:
                return
            self.update_sent_gauges()

    def handle_message(
        self, entry: str, session: PeerSession, message: messages.Message
    ) -> None:
        """Handle a message of an entry; ignore it if its session is not in use."""
        if self.sessions.get(entry) is not session:
            return
        match message:
            case messages.HeartbeatAck(echo=echo):
                self.last_echoes[entry] = echo
                self.ack_received.set()
                self.app.get("gate").handle_ack(message)
                self.app.emit("heartbeat-ack", message)
            case messages.ConfigView():
                self.app.get("gate").handle_view(message)
            case _:
                self.app.emit("entry-message", entry, message)


def setup(app: Application) -> None:
    """Register the service ``connector``, its background task and its flush."""
    connector = Connector(app)
    app.add_service("connector", connector)
    app.add_task(connector.run)
    app.get("lifecycle").flushes.append(connector.flush)
