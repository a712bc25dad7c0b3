"""Calls to the executor on the agent's host, and its announcements."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Annotated, Any, Literal

import msgspec

from rattanwing import events
from rattanwing.batch.announcements import Announcements
from rattanwing.batch.model import Finite, Number
from rattanwing.batch.ports import (
    EndedRow,
    ExecutorView,
    OrderOutcome,
    OrderResult,
    PollResult,
    RunningRow,
)
from rattanwing.batch.timing import wall_clock_ms
from rattanwing.errors import MalformedError
from rattanwing.util.address import check_callable
from rattanwing.util.codec import decode_json
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.util.http_server import Response, error_response, json_response
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from rattanwing.batch.agent import BatchAgent
    from rattanwing.util.http_server import Request

START_PATH = "/rattanwing/run-start"
STOP_PATH = "/rattanwing/run-stop"
HOLD_PATH = "/rattanwing/hold"
PACE_PATH = "/rattanwing/pace"
EXPECTED_INSTANCE_HEADER = b"rattanwing-expect-instance"
ANNOUNCEMENT_PATH = r"/rattanwing/instances/(?P<executor_id>[^/]+)"

EXECUTOR_ID = re.compile(r"[\x21-\x7e]{1,255}")
"""An id that can be sent in a header."""

CALL_TIMEOUT_S = 0.8
"""Time limit of a call, without the time that the executor is asked to wait. Calls
stay on one host; the caller repeats one that takes longer."""

MAX_LISTED_ENDS = 500
"""Most ends that an executor lists in one answer."""

MAX_CLOCK_AHEAD_MS = 3_600_000
"""Most milliseconds by which an executor's wall clock may be ahead of the agent's."""

MAX_CONNECTIONS = 24
"""Limit of concurrent calls; an executor accepts at most 64 connections."""

REFUSAL_OUTCOMES = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.OLD_ATTEMPT,
    "late": OrderOutcome.LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.BAD_TICKET,
}
"""Outcome of an order by the ``reason`` in the body of a 409 answer."""


Name = Annotated[str, msgspec.Meta(min_length=1, max_length=255)]
Label = Annotated[str, msgspec.Meta(max_length=255)]
Labels = Annotated[list[Label], msgspec.Meta(max_length=64)]


class Capacity(msgspec.Struct):
    """Capacity of an executor.

    :param cpu: thousandths of a core.
    :param mem_mb: memory, in megabytes.
    :param gpu: number of accelerators.
    """

    cpu: Number
    mem_mb: Number
    gpu: Number = 0


class Announcement(msgspec.Struct):
    """An executor's periodic description of itself.

    :param backend: the service whose queues it runs tasks for.
    :param addr: address for calls, as ``ip:port``.
    :param zone: its failure domain.
    :param version: version of its software; not used.
    :param slots: not used.
    :param state: ``draining`` if the executor is about to stop.
    :param cold_left_ms: remaining time of its cold start, in milliseconds.
    :param labels: its kind, then its rack.
    :param seq: sequence number; increases with each announcement of an incarnation.
    :param born: Unix time at which the executor's process started, in milliseconds;
        tells incarnations apart.
    :param clock_ms: its clock when it sent the announcement, in milliseconds; not used.
    :param remaining_ms: while draining, the least time until the executor stops, in
        milliseconds.
    """

    backend: Name
    addr: str
    zone: Name
    version: str
    slots: Number
    state: Literal["ready", "draining"]
    cold_left_ms: Finite
    capacity: Capacity
    labels: Labels
    seq: Number
    born: Number = 0
    clock_ms: Number = 0
    remaining_ms: Finite = 0

    def __post_init__(self) -> None:
        """Check the address; a decoder reports the error as its own."""
        check_callable(self.addr)


class OrderAnswer(msgspec.Struct):
    """Answer to an order.

    :param clock_ms: the executor's clock when it answered, in milliseconds; 0 if the
        executor did not send it.
    :param reason: reason of a refusal with status 409; empty otherwise.
    """

    clock_ms: Number = 0
    reason: str = ""


class HoldAnswer(msgspec.Struct):
    """All running runs and all unacknowledged ends; each row is a list of fields.

    :param clock_ms: the executor's clock when it answered, in milliseconds.
    :param born: Unix time at which its process started, in milliseconds; 0 if the
        executor did not send it.
    """

    clock_ms: Number
    running: list[RunningRow]
    ended: list[EndedRow]
    born: Number = 0


class ExecutorClient:
    """Calls an executor over HTTP.

    Implements :class:`rattanwing.batch.ports.ExecutorPort`. Each call carries the
    executor's id but not its incarnation; an executor with another id refuses the call.
    """

    __slots__ = ("client", "executor_id", "headers")

    def __init__(self, view: ExecutorView) -> None:
        self.executor_id = view.executor_id
        self.client = HttpClient(view.address, MAX_CONNECTIONS)
        self.headers = [
            (b"content-type", b"application/json"),
            (EXPECTED_INSTANCE_HEADER, view.executor_id.encode()),
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
        """Start a run; see :class:`rattanwing.batch.ports.ExecutorPort`."""
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
        self, task: str, attempt: int, pace_percent: int, fence: int
    ) -> OrderResult:
        """Set the pace of a run: the percentage of its full speed that it may reach."""
        body = {
            "task": task,
            "attempt": attempt,
            "percent": pace_percent,
            "fence_token": fence,
        }
        return await self.send_order(PACE_PATH, body)

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> PollResult | OrderResult:
        """Extend the lease, acknowledge ends and list the runs.

        :raises HttpCallError: when there is no complete and well-formed answer.
        """
        body = {"fence_token": fence, "ack_offset": acknowledged}
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * 1000)
        status, data = await self.call(HOLD_PATH, body, CALL_TIMEOUT_S + wait_s)
        if status != 200:
            return parse_order_answer(status, data)
        answer = decode(HoldAnswer, data)
        incarnation = f"{self.executor_id}@{answer.born}" if answer.born else ""
        return PollResult(
            answer.clock_ms,
            answer.running,
            answer.ended,
            incarnation,
            len(answer.ended) < MAX_LISTED_ENDS,
        )

    async def send_order(self, target: str, body: dict[str, Any]) -> OrderResult:
        """Send an order and return its outcome."""
        status, data = await self.call(target, body, CALL_TIMEOUT_S)
        return parse_order_answer(status, data)

    async def call(
        self, target: str, body: dict[str, Any], timeout_s: float
    ) -> tuple[int, bytes]:
        """Send a JSON request and return the status and body of the answer."""
        content = msgspec.json.encode(body)
        answer = await self.client.call(
            "POST", target, self.headers, content, timeout_s
        )
        return answer.status, answer.body


def parse_order_answer(status: int, data: bytes) -> OrderResult:
    """Convert the status and body of an answer to the outcome of an order.

    :raises HttpCallError: when the protocol does not define the status or the reason.
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
    """Decode the JSON body of an answer.

    :raises HttpCallError: when the body is malformed.
    """
    try:
        return decode_json(data, kind)
    except MalformedError as error:
        raise HttpCallError(
            Verdict.MAY_HAVE_RUN, f"malformed answer: {error}"
        ) from error


class AnnouncementRoutes:
    """Handles the executor's announcements.

    :param wall_ms: returns the Unix time in milliseconds.
    """

    __slots__ = ("agent", "wall_ms", "announcements")

    def __init__(
        self, agent: BatchAgent, wall_ms: Callable[[], int] = wall_clock_ms
    ) -> None:
        self.agent = agent
        self.wall_ms = wall_ms
        self.announcements = Announcements(agent)

    async def handle_announcement(self, request: Request) -> Response:
        """Decode an announcement and pass it on."""
        executor_id = request.match["executor_id"]
        try:
            announcement = decode_json(request.body, Announcement)
            check_order(announcement, self.wall_ms())
            if EXECUTOR_ID.fullmatch(executor_id) is None:
                raise MalformedError("no call can carry the id")
        except MalformedError as error:
            events.write(
                events.ANNOUNCEMENT_MALFORMED, executor=executor_id, error=error
            )
            return error_response(400, "malformed", str(error))
        incarnation = f"{executor_id}@{announcement.born}"
        view = make_view(executor_id, incarnation, announcement)
        self.announcements.receive(view, announcement.seq)
        return json_response(200, {})

    async def handle_departure(self, request: Request) -> Response:
        """Tell the agent that the executor has ended."""
        executor_id = request.match["executor_id"]
        current = self.agent.executor
        if self.agent.handle_exit(executor_id):
            self.announcements.record_exit(current.view.incarnation)
        return json_response(200, {})


def check_order(announcement: Announcement, now_ms: int) -> None:
    """Check the fields that order announcements.

    One that claims to be far ahead would make all that follow look old.

    :param now_ms: the Unix time in milliseconds.
    :raises MalformedError: when the start is in the future, or more announcements have
        been numbered than one in each millisecond since the start.
    """
    latest_ms = now_ms + MAX_CLOCK_AHEAD_MS
    if announcement.born > latest_ms:
        raise MalformedError(f"born {announcement.born} is in the future")
    if announcement.seq > latest_ms - announcement.born:
        raise MalformedError(f"seq {announcement.seq} is too high")


def make_view(
    executor_id: str, incarnation: str, announcement: Announcement
) -> ExecutorView:
    """Convert an announcement to the executor's description."""
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
        max(0, int(announcement.remaining_ms)),
        max(0, int(announcement.cold_left_ms)),
    )
