"""Callers' requests at the agent: admission, execution and kept outcomes."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

import trio

from rattanwing import events
from rattanwing.agent.admission import RESERVED_PRIORITY, Admission
from rattanwing.errors import RejectedError
from rattanwing.messages import OutcomeQuery, ServiceAnswer, ServiceRequest
from rattanwing.util.http_client import HttpAnswer, HttpCallError, HttpClient
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from rattanwing.application import Application

OUTCOME_KEPT_S = 60.0
OUTCOMES_KEPT = 10_000
RECENT_LATENCIES = 200


class Executor(Protocol):
    """What the agent asks of the executor beside it."""

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout_s: float,
    ) -> HttpAnswer:
        """Send one request; see :meth:`HttpClient.call`."""


class KnownRequest:
    """A request that this agent has seen, or refuses to see."""

    __slots__ = ("entry", "answer", "settled_at")

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self.answer: ServiceAnswer | None = None
        self.settled_at = 0.0


class RequestService:
    """Runs requests on the executor, each request id at most once."""

    __slots__ = (
        "app",
        "admission",
        "executor",
        "known",
        "settled",
        "open",
        "idle",
        "nursery",
        "latencies",
    )

    def __init__(self, app: Application, executor: Executor) -> None:
        settings = app.settings.agent.executor
        self.app = app
        self.admission = Admission(settings.slots, settings.queue)
        self.executor = executor
        self.known: dict[str, KnownRequest] = {}
        self.settled: deque[str] = deque()
        self.open = 0
        self.idle = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.latencies: deque[float] = deque(maxlen=RECENT_LATENCIES)
        app.connect("entry-message", self.take_message)

    async def run(self) -> None:
        """Hold the tasks of open requests until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await trio.sleep_forever()

    def take_message(self, entry: str, message: object) -> None:
        """Handle one message of an entry."""
        match message:
            case ServiceRequest():
                self.take_request(entry, message)
            case OutcomeQuery(request_ids=request_ids):
                for request_id in request_ids:
                    self.answer_query(entry, request_id)

    def take_request(self, entry: str, request: ServiceRequest) -> None:
        """Run a request, unless its id is known."""
        known = self.known.get(request.request_id)
        if known is not None:
            self.resend(entry, known)
            return
        self.forget_old(self.app.now())
        self.known[request.request_id] = KnownRequest(entry)
        self.open += 1
        self.nursery.start_soon(self.serve, request)

    def answer_query(self, entry: str, request_id: str) -> None:
        """Answer for a request of a lost stream; an unknown one never runs."""
        known = self.known.get(request_id)
        if known is None:
            known = KnownRequest(entry)
            self.known[request_id] = known
            self.settle(request_id, not_run(request_id, "never-received"))
            return
        self.resend(entry, known)

    def resend(self, entry: str, known: KnownRequest) -> None:
        """Send a kept outcome, or let the open request answer this entry."""
        known.entry = entry
        if known.answer is not None:
            self.app.get("connector").send(entry, known.answer)

    async def serve(self, request: ServiceRequest) -> None:
        """Admit and run one request and settle its outcome."""
        received_at = self.app.now()
        deadline = received_at + request.timeout_s
        try:
            answer = await self.admit(request, received_at, deadline)
        finally:
            self.open -= 1
            self.idle.set()
        self.settle(request.request_id, answer)

    async def admit(
        self, request: ServiceRequest, received_at: float, deadline: float
    ) -> ServiceAnswer:
        """Return the outcome of a request."""
        if request.service != self.app.settings.agent.executor.service:
            return not_run(request.request_id, "wrong-service")
        try:
            await self.admission.acquire(request.priority, received_at, deadline)
        except RejectedError as error:
            events.write(
                events.REQUEST_REFUSED, request=request.request_id, rule=error.rule
            )
            return not_run(request.request_id, error.rule)
        try:
            return await self.execute(request, deadline)
        finally:
            self.admission.release(request.priority)

    async def execute(self, request: ServiceRequest, deadline: float) -> ServiceAnswer:
        """Send the request to the executor and read its whole answer."""
        started_at = self.app.now()
        if started_at >= deadline:
            return not_run(request.request_id, "deadline")
        try:
            answer = await self.executor.call(
                request.method,
                request.target,
                request.headers,
                request.body,
                deadline - started_at,
            )
        except HttpCallError as error:
            return ServiceAnswer(
                request.request_id, error.verdict.value, "executor-failed"
            )
        elapsed_s = self.app.now() - started_at
        if request.priority < RESERVED_PRIORITY:
            self.latencies.append(elapsed_s)
        self.app.get("metrics").add_latency(request.service, "executor", elapsed_s)
        return ServiceAnswer(
            request.request_id,
            Verdict.RAN.value,
            "",
            answer.status,
            answer.headers,
            answer.body,
            elapsed_s,
        )

    def settle(self, request_id: str, answer: ServiceAnswer) -> None:
        """Keep an outcome and send it to the entry that asked last."""
        known = self.known[request_id]
        known.answer = answer
        known.settled_at = self.app.now()
        self.settled.append(request_id)
        self.app.get("metrics").count("requests", answer.verdict)
        self.app.get("connector").send(known.entry, answer)

    def forget_old(self, now: float) -> None:
        """Drop outcomes that no entry can ask for any more."""
        while self.settled:
            oldest = self.known[self.settled[0]]
            full = len(self.settled) > OUTCOMES_KEPT
            if not full and now - oldest.settled_at <= OUTCOME_KEPT_S:
                return
            del self.known[self.settled.popleft()]

    async def drain(self) -> None:
        """Refuse new requests and wait for the end of the open ones."""
        self.admission.close()
        with trio.move_on_after(self.app.settings.agent.stop_grace_s):
            while self.open:
                self.idle = trio.Event()
                await self.idle.wait()


def not_run(request_id: str, reason: str) -> ServiceAnswer:
    """Return the outcome of a request that surely did not run."""
    return ServiceAnswer(request_id, Verdict.NOT_RUN.value, reason)


def setup(app: Application) -> None:
    """Register the service ``requests`` and its task."""
    settings = app.settings.agent.executor
    if "executor" not in app.services:
        app.add_service("executor", HttpClient(settings.address, settings.connections))
    service = RequestService(app, app.get("executor"))
    app.add_service("requests", service)
    app.add_task(service.run)
    app.get("lifecycle").drains.append(service.drain)
