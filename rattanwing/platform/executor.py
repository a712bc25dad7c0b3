"""The executor on an agent's machine: its announcements and the calls to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from rattanwing import events
from rattanwing.batch.ports import (
    EndedRow,
    EndReason,
    ExecutorView,
    HoldResult,
    OrderOutcome,
    OrderResult,
    RunningRow,
)
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.util.http_server import Response, error_response, json_response
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from rattanwing.batch.agent import BatchAgent
    from rattanwing.util.http_server import Request

START_PATH = "/rattanwing/run-start"
STOP_PATH = "/rattanwing/run-stop"
HOLD_PATH = "/rattanwing/hold"
PACE_PATH = "/rattanwing/pace"
INCARNATION_HEADER = b"rattanwing-expect-instance"
ANNOUNCEMENT_PATH = r"/rattanwing/instances/(?P<executor_id>[^/]+)"

CALL_TIMEOUT_S = 0.8
"""Calls stay on one machine; one that takes longer is repeated."""

MAX_CONNECTIONS = 24
"""Calls that may be open at once; executors take 64 connections."""

REFUSAL_OUTCOMES = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OLD_ATTEMPT,
    "late": OrderOutcome.LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.BAD_TICKET,
}


class Capacity(msgspec.Struct):
    """Room of an executor."""

    cpu: int
    mem_mb: int
    gpu: int = 0


class Announcement(msgspec.Struct):
    """An announcement of an executor.

    :param backend: its service.
    :param born: Unix milliseconds of its start.
    :param seq: rises with each announcement of one life.
    :param labels: its kind, then its rack.
    """

    backend: str
    addr: str
    zone: str
    state: str
    capacity: Capacity
    seq: int
    born: int = 0
    labels: list[str] = []
    remaining_ms: float = 0
    cold_left_ms: float = 0


class OrderAnswer(msgspec.Struct):
    """Answer to an order."""

    clock_ms: int = 0
    reason: str = ""


class HoldAnswer(msgspec.Struct):
    """Everything that runs and has ended; rows are lists without names.

    :param running: task, attempt, saved, percent and a usage figure.
    :param ended: number, task, attempt, how and saved.
    """

    clock_ms: int
    running: list[list[Any]]
    ended: list[list[Any]]


class ExecutorClient:
    """Calls one incarnation of an executor.

    Implements :class:`rattanwing.batch.ports.ExecutorPort`.
    """

    __slots__ = ("client", "headers")

    def __init__(self, view: ExecutorView) -> None:
        self.client = HttpClient(view.address, MAX_CONNECTIONS)
        self.headers = [
            (b"content-type", b"application/json"),
            (INCARNATION_HEADER, view.executor_id.encode()),
        ]

    async def start(
        self,
        task: str,
        attempt: int,
        text: str,
        checkpoint: str,
        ticket: str,
        deadline_ms: int,
        fence: int,
    ) -> OrderResult:
        """Start a run."""
        body = {
            "task": task,
            "attempt": attempt,
            "spec": text,
            "deadline_ms": deadline_ms,
            "fence_token": fence,
        }
        if checkpoint:
            body["saved"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        return await self.send_order(START_PATH, body)

    async def stop(self, task: str, attempt: int, fence: int) -> OrderResult:
        """Stop a run."""
        body = {"task": task, "attempt": attempt, "fence_token": fence}
        return await self.send_order(STOP_PATH, body)

    async def set_pace(
        self, task: str, attempt: int, percent: int, fence: int
    ) -> OrderResult:
        """Let a run work at a share of its speed."""
        body = {
            "task": task,
            "attempt": attempt,
            "percent": percent,
            "fence_token": fence,
        }
        return await self.send_order(PACE_PATH, body)

    async def hold(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> HoldResult | OrderResult:
        """Extend the lease and list everything."""
        body = {"fence_token": fence, "ack_offset": acknowledged}
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * 1000)
        status, data = await self.call(HOLD_PATH, body, CALL_TIMEOUT_S + wait_s)
        if status != 200:
            return parse_order_answer(status, data)
        answer = decode(HoldAnswer, data)
        try:
            running = [RunningRow(*row) for row in answer.running]
            ended = [
                EndedRow(number, task, attempt, EndReason(how), checkpoint)
                for number, task, attempt, how, checkpoint in answer.ended
            ]
        except (TypeError, ValueError) as error:
            raise HttpCallError(Verdict.MAY_HAVE_RUN, f"bad row: {error}") from error
        return HoldResult(answer.clock_ms, running, ended)

    async def send_order(self, target: str, body: dict[str, Any]) -> OrderResult:
        """Send an order."""
        status, data = await self.call(target, body, CALL_TIMEOUT_S)
        return parse_order_answer(status, data)

    async def call(
        self, target: str, body: dict[str, Any], timeout_s: float
    ) -> tuple[int, bytes]:
        """Call the executor."""
        content = msgspec.json.encode(body)
        answer = await self.client.call(
            "POST", target, self.headers, content, timeout_s
        )
        return answer.status, answer.body


def parse_order_answer(status: int, data: bytes) -> OrderResult:
    """Return the outcome that a status and a body stand for.

    :raises HttpCallError: when they stand for none.
    """
    answer = decode(OrderAnswer, data) if data else OrderAnswer()
    match status:
        case 200:
            outcome = OrderOutcome.ACCEPTED
        case 409 if answer.reason in REFUSAL_OUTCOMES:
            outcome = REFUSAL_OUTCOMES[answer.reason]
        case 400:
            outcome = OrderOutcome.MALFORMED
        case 421:
            outcome = OrderOutcome.OTHER_INCARNATION
        case 429 | 503:
            outcome = OrderOutcome.UNHEALTHY
        case _:
            raise HttpCallError(Verdict.MAY_HAVE_RUN, f"unexpected status {status}")
    return OrderResult(outcome, answer.clock_ms)


def decode(kind: type[msgspec.Struct], data: bytes) -> Any:
    """Return a typed answer.

    :raises HttpCallError: when it does not decode.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise HttpCallError(Verdict.MAY_HAVE_RUN, f"bad answer: {error}") from error


class AnnouncementRoutes:
    """Takes the executor's announcements."""

    __slots__ = ("agent", "newest_announcement")

    def __init__(self, agent: BatchAgent) -> None:
        self.agent = agent
        self.newest_announcement = (0, 0)

    async def handle_announcement(self, request: Request) -> Response:
        """Take one announcement; one that comes late changes nothing."""
        executor_id = request.match["executor_id"]
        try:
            announcement = msgspec.json.decode(request.body, type=Announcement)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            events.write(
                events.ANNOUNCEMENT_MALFORMED, executor=executor_id, error=error
            )
            return error_response(400, "malformed", str(error))
        incarnation = f"{executor_id}@{announcement.born}"
        if (announcement.born, announcement.seq) > self.newest_announcement:
            self.newest_announcement = (announcement.born, announcement.seq)
            self.agent.handle_announcement(
                make_view(executor_id, incarnation, announcement)
            )
        return json_response(200, {})

    async def handle_departure(self, request: Request) -> Response:
        """Take note that the executor has ended."""
        self.agent.handle_departure(request.match["executor_id"])
        return json_response(200, {})


def make_view(
    executor_id: str, incarnation: str, announcement: Announcement
) -> ExecutorView:
    """Return the product's view of an executor."""
    return ExecutorView(
        incarnation,
        executor_id,
        announcement.backend,
        announcement.addr,
        announcement.zone,
        announcement.labels,
        announcement.labels[1] if len(announcement.labels) > 1 else "",
        announcement.capacity.cpu,
        announcement.capacity.mem_mb,
        announcement.capacity.gpu,
        announcement.state == "draining",
        int(announcement.remaining_ms),
        int(announcement.cold_left_ms),
    )
