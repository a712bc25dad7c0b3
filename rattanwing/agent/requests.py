"""Callers' requests at the agent: admission, execution and retained answers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

import trio

from rattanwing import events
from rattanwing.agent.admission import FIRST_DEFERRABLE_PRIORITY, Admission
from rattanwing.errors import RejectedError
from rattanwing.messages import OutcomeQuery, ServiceAnswer, ServiceRequest
from rattanwing.util.http_client import (
    HttpCallError,
    HttpClient,
    HttpResponse,
    NoConnectionError,
)
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from rattanwing.application import Application

ANSWER_RETENTION_S = 60.0
"""How long an answer is kept for entries that ask for it again."""

MAX_KEPT_ANSWERS = 10_000
"""Limit of kept answers; above it, the oldest are dropped early."""

MAX_LATENCY_SAMPLES = 200
"""Limit of latency samples kept for one window of the colocation policy."""

PROBE_INTERVAL_S = 0.25
"""Interval of the probes of an executor that can't be reached."""


class Executor(Protocol):
    """Interface of the executor on this host."""

    async def probe(self) -> None:
        """Open a connection; see :meth:`HttpClient.probe`."""

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout_s: float,
    ) -> HttpResponse:
        """Send one request; see :meth:`HttpClient.call`."""


class KnownRequest:
    """A request id that the agent has received, or has promised not to run.

    :param entry: the entry that asked last and gets the answer.
    :param answer: ``None`` while the request is queued or running.
    :param answered_at: time of the answer, on this host's monotonic clock.
    """

    __slots__ = ("entry", "answer", "answered_at")

    def __init__(self, entry: str) -> None:
        self.entry = entry
        self.answer: ServiceAnswer | None = None
        self.answered_at = 0.0


class RequestService:
    """Runs requests on the executor, each request id at most once.

    :param known: requests by id.
    :param answered: ids of answered requests, oldest answer first.
    :param open_requests: number of requests that are queued or running.
    :param executor_reachable: whether the executor accepted the latest connection.
    :param request_ended: set when a queued or running request ends.
    :param latencies: seconds that recent requests of urgent classes took at the
        executor, for the colocation policy.
    """

    __slots__ = (
        "app",
        "admission",
        "executor",
        "known",
        "answered",
        "open_requests",
        "executor_reachable",
        "request_ended",
        "nursery",
        "latencies",
    )

    def __init__(self, app: Application, executor: Executor) -> None:
        settings = app.settings.agent.executor
        self.app = app
        self.admission = Admission(settings.slots, settings.queue)
        self.executor = executor
        self.known: dict[str, KnownRequest] = {}
        self.answered: deque[str] = deque()
        self.open_requests = 0
        self.executor_reachable = False
        self.request_ended = trio.Event()
        self.nursery: trio.Nursery | None = None
        self.latencies: deque[float] = deque(maxlen=MAX_LATENCY_SAMPLES)
        app.connect("entry-message", self.handle_message)

    async def run(self) -> None:
        """Serve requests, and probe an unreachable executor, until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                if not self.executor_reachable:
                    await self.probe_executor()
                await trio.sleep(PROBE_INTERVAL_S)

    async def probe_executor(self) -> None:
        """Announce the executor once it accepts a connection."""
        try:
            await self.executor.probe()
        except NoConnectionError:
            return
        events.write(events.EXECUTOR_REACHABLE)
        self.set_reachable(True)

    def set_reachable(self, reachable: bool) -> None:
        """Tell every entry whether requests can reach the executor."""
        self.executor_reachable = reachable
        connector = self.app.get("connector")
        connector.broadcast(connector.make_heartbeat())

    def handle_message(self, entry: str, message: object) -> None:
        """Handle a message of an entry."""
        match message:
            case ServiceRequest():
                self.handle_request(entry, message)
            case OutcomeQuery(request_ids=request_ids):
                for request_id in request_ids:
                    self.answer_query(entry, request_id)

    def handle_request(self, entry: str, request: ServiceRequest) -> None:
        """Start a request, or send its answer again if the id is already known."""
        known = self.known.get(request.request_id)
        if known is not None:
            self.resend(entry, known)
            return
        self.drop_old_answers(self.app.now())
        self.known[request.request_id] = KnownRequest(entry)
        self.open_requests += 1
        self.nursery.start_soon(self.serve, request)

    def answer_query(self, entry: str, request_id: str) -> None:
        """Answer a query for a request that was in flight on a lost stream.

        An unknown id is recorded as not run, so a late copy of it will not run.
        """
        known = self.known.get(request_id)
        if known is None:
            known = KnownRequest(entry)
            self.known[request_id] = known
            self.record_answer(request_id, not_run_answer(request_id, "never-received"))
            return
        self.resend(entry, known)

    def resend(self, entry: str, known: KnownRequest) -> None:
        """Send a kept answer, or direct the pending answer to this entry."""
        known.entry = entry
        if known.answer is not None:
            self.app.get("connector").send(entry, known.answer)

    async def serve(self, request: ServiceRequest) -> None:
        """Admit and run one request and record its answer."""
        received_at = self.app.now()
        deadline = received_at + request.timeout_s
        try:
            answer = await self.admit_and_execute(request, received_at, deadline)
        finally:
            self.open_requests -= 1
            self.request_ended.set()
        self.record_answer(request.request_id, answer)

    async def admit_and_execute(
        self, request: ServiceRequest, received_at: float, deadline: float
    ) -> ServiceAnswer:
        """Wait for a slot, execute the request and return its answer."""
        if request.service != self.app.settings.agent.executor.service:
            return not_run_answer(request.request_id, "wrong-service")
        try:
            await self.admission.acquire(request.priority, received_at, deadline)
        except RejectedError as error:
            events.write(
                events.REQUEST_REFUSED, request=request.request_id, rule=error.rule
            )
            return not_run_answer(request.request_id, error.rule)
        try:
            return await self.execute(request, deadline)
        finally:
            self.admission.release(request.priority)

    async def execute(self, request: ServiceRequest, deadline: float) -> ServiceAnswer:
        """Send the request to the executor and return its whole answer."""
        started_at = self.app.now()
        if started_at >= deadline:
            return not_run_answer(request.request_id, "deadline")
        try:
            answer = await self.executor.call(
                request.method,
                request.target,
                request.headers,
                request.body,
                deadline - started_at,
            )
        except NoConnectionError as error:
            if self.executor_reachable:
                events.write(events.EXECUTOR_UNREACHABLE, error=error)
                self.set_reachable(False)
            return not_run_answer(request.request_id, "executor-unreachable")
        except HttpCallError as error:
            events.write(
                events.EXECUTOR_CALL_FAILED,
                request=request.request_id,
                verdict=error.verdict.value,
                error=error,
            )
            return ServiceAnswer(
                request.request_id, error.verdict.value, "executor-failed"
            )
        elapsed_s = self.app.now() - started_at
        if request.priority < FIRST_DEFERRABLE_PRIORITY:
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

    def record_answer(self, request_id: str, answer: ServiceAnswer) -> None:
        """Keep an answer and send it to the entry that asked last."""
        known = self.known[request_id]
        known.answer = answer
        known.answered_at = self.app.now()
        self.answered.append(request_id)
        self.app.get("metrics").count("requests", answer.verdict)
        self.app.get("connector").send(known.entry, answer)

    def drop_old_answers(self, now: float) -> None:
        """Drop answers past their retention time or above the limit."""
        while self.answered:
            oldest = self.known[self.answered[0]]
            full = len(self.answered) > MAX_KEPT_ANSWERS
            if not full and now - oldest.answered_at <= ANSWER_RETENTION_S:
                return
            del self.known[self.answered.popleft()]

    async def drain(self) -> None:
        """Refuse new requests and wait until all open requests have ended."""
        self.admission.close()
        with trio.move_on_after(self.app.settings.agent.stop_grace_s):
            while self.open_requests:
                self.request_ended = trio.Event()
                await self.request_ended.wait()


def not_run_answer(request_id: str, reason: str) -> ServiceAnswer:
    """Return the answer for a request that has certainly not run."""
    return ServiceAnswer(request_id, Verdict.NOT_RUN.value, reason)


def setup(app: Application) -> None:
    """Register the service ``requests``, its background task and its drain."""
    settings = app.settings.agent.executor
    if "executor" not in app.services:
        app.add_service("executor", HttpClient(settings.address, settings.connections))
    service = RequestService(app, app.get("executor"))
    app.add_service("requests", service)
    app.add_task(service.run)
    app.get("lifecycle").drains.append(service.drain)
