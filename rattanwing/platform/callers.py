"""HTTP interface for callers, in the platform's wire format."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing import events
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobSpec, JobState, StepSpec
from rattanwing.batch.shutdown import OpenRequests
from rattanwing.batch.timing import wall_clock_ms
from rattanwing.errors import MalformedError, RejectedError
from rattanwing.util.codec import decode_json
from rattanwing.util.http_server import Response, error_response, json_response

if TYPE_CHECKING:
    from rattanwing.batch.configuration import CurrentConfiguration, Queue
    from rattanwing.batch.relay import RelayingService
    from rattanwing.util.http_server import Request

DEADLINE_HEADER = b"rattanwing-deadline-ms"
"""Header with the time in milliseconds that the caller waits for an answer."""

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
DEFAULT_DEADLINE_MS = 3_000
"""Deadline of requests whose deadline header is missing, not a number or too long."""

MAX_DEADLINE_MS = 60_000
"""Longest time that a request waits for its outcome, whatever its deadline; its
connection can't be closed meanwhile."""

ANSWER_MARGIN_MS = 300
"""An answer is sent this long before the caller's deadline, to leave time for a
round trip over the caller's link and for writing the answer."""

ANSWER_MARGIN_SHARE = 0.3
"""Upper limit of the margin as a share of the deadline. It applies to callers with
deadlines below one second."""

STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class WireStep(msgspec.Struct):
    """A step of a job in the platform's wire format.

    An absent field takes its default value.

    :param count: number of tasks.
    :param cpu: thousandths of a core for each task.
    :param mem_mb: memory for each task, in megabytes.
    :param gpu: number of accelerators for each task.
    :param estimate_ms: estimated run time of one task, in milliseconds.
    :param after: numbers of the steps that must be done before this one starts.
    :param checkpoint: whether tasks save their progress.
    :param gang: whether tasks make progress only while all of them run.
    :param same_rack: whether the gang is slower when it spans racks.
    :param constraints: label that the executor must have; empty for any executor.
    :param affinity: rack that holds the data; empty if there is none.
    :param anti_affinity: largest number of tasks of the step on one executor; 0 for
        no limit.
    :param speculative: whether copies of a task may run in parallel.
    :param perpetual: whether tasks run until the job is cancelled.
    :param image: program image of the tasks.
    :param target_ms: target tail latency of a serving task, in milliseconds; 0 for
        other tasks.
    :param fills: whether the tasks are best-effort: they use the CPU that others
        leave idle.
    :param may_miss: number of tasks of a perpetual step that may be down at the same
        time; -1 for any number.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    speculative: bool = False
    perpetual: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = -1


class WireJob(msgspec.Struct):
    """A job in the platform's wire format.

    :param spec: text that is passed to each task of the job.
    :param start_at_ms: Unix time of the first occurrence of a scheduled job, in
        milliseconds.
    :param period_ms: time between two occurrences, in milliseconds.
    :param times: number of occurrences; 0 for a job that runs once, without delay.
    """

    steps: tuple[WireStep, ...]
    spec: str = ""
    start_at_ms: int = 0
    period_ms: int = 0
    times: int = 0


class CallerRoutes:
    """Handles callers' requests to submit, find, cancel and count jobs.

    While the entry stops every answer closes its connection, so that the caller's next
    request opens a new one.

    :param requests: the requests in progress.
    """

    __slots__ = ("service", "configuration", "requests")

    def __init__(
        self, service: RelayingService, configuration: CurrentConfiguration
    ) -> None:
        self.service = service
        self.configuration = configuration
        self.requests = OpenRequests()

    async def handle(self, request: Request) -> Response:
        """Return the response to a request; close the connection if the entry stops."""
        if self.requests.accepts(trio.current_time()):
            response = await self.requests.carry_out(lambda: self.respond(request))
            if response is None:
                response = self.interrupted_response(request)
        else:
            response = self.unavailable_response("stopping")
        if self.requests.is_stopping():
            response.headers.append((b"connection", b"close"))
        return response

    def interrupted_response(self, request: Request) -> Response:
        """Return the response to a request that the stop of the entry interrupted."""
        events.write(events.REQUEST_INTERRUPTED, path=request.path)
        if request.method == "GET":
            return self.unavailable_response("stopping")
        return self.to_response(Answer.UNKNOWN_OUTCOME)

    def check(self, request: Request) -> Response | None:
        """Return the refusal of a request by its head alone, if it is to be refused."""
        if not self.configuration.version:
            return self.unavailable_response("no-configuration")
        host = (request.header(b"host") or "").partition(":")[0].lower()
        if self.configuration.find_queue(host, request.path) is None:
            return error_response(404, "no-such-queue", request.path)
        return None

    async def respond(self, request: Request) -> Response:
        """Find the queue of a request and execute the request.

        A path consists of the queue's prefix and, except to count pending jobs, the
        job's id.
        """
        if not self.configuration.version:
            return self.unavailable_response("no-configuration")
        host = (request.header(b"host") or "").partition(":")[0].lower()
        queue = self.configuration.find_queue(host, request.path)
        if queue is None:
            return error_response(404, "no-such-queue", request.path)
        rest = request.path[len(queue.path_prefix) :]
        identity = queue.rules.identity
        if rest == "" and request.method == "GET":
            return json_response(200, {"pending": self.service.count_queued(identity)})
        if JOB_ID_PATTERN.fullmatch(rest) is None:
            return error_response(404, "no-such-path", request.path)
        wait_s = wait_limit_s(request)
        match request.method:
            case "POST":
                return await self.submit(request, queue, rest, wait_s)
            case "GET":
                found = await self.service.find(rest, identity)
                if isinstance(found, Answer):
                    return self.to_response(found)
                return json_response(200, {"state": STATE_NAMES[found]})
            case "DELETE":
                answer = await self.service.cancel(rest, identity, wait_s)
                return self.to_response(answer)
        return error_response(405, "method-not-allowed", request.method)

    async def submit(
        self, request: Request, queue: Queue, job_id: str, wait_s: float
    ) -> Response:
        """Decode a job and submit it; a malformed job is answered with 400."""
        try:
            wire = decode_json(request.body, WireJob)
            job = make_job(wire, queue, job_id)
            return self.to_response(await self.service.submit(job, wait_s))
        except MalformedError as error:
            events.write(events.REQUEST_MALFORMED, job=job_id, error=error)
            return error_response(400, "malformed-job", str(error))
        except RejectedError as error:
            events.write(events.REQUEST_MALFORMED, job=job_id, error=error)
            return error_response(400, error.rule, error.detail)

    def unavailable_response(self, rule: str) -> Response:
        """Return a 503 response with a time to retry, for a request that has not run.

        :param rule: short name of the reason.
        """
        response = error_response(503, rule, "the request has not run")
        response.headers.append(
            (b"retry-after", str(self.service.retry_after_s()).encode())
        )
        return response

    def to_response(self, answer: Answer) -> Response:
        """Convert an answer to an HTTP response."""
        match answer:
            case Answer.ACCEPTED:
                return json_response(200, {})
            case Answer.REFUSED | Answer.NOT_READY:
                return self.unavailable_response(answer.value)
            case Answer.NO_SUCH_JOB:
                return error_response(410, answer.value, "no such job")
            case Answer.UNKNOWN_OUTCOME:
                return error_response(504, answer.value, "the outcome is not known yet")


def wait_limit_s(request: Request) -> float:
    """Return how many seconds a request may wait for its outcome.

    This is the time until the caller's deadline less the margin for the answer.
    """
    text = request.header(DEADLINE_HEADER) or ""
    found = DEADLINE_PATTERN.fullmatch(text)
    deadline_ms = int(text) if found else DEFAULT_DEADLINE_MS
    deadline_ms = min(deadline_ms, MAX_DEADLINE_MS)
    margin_ms = min(ANSWER_MARGIN_MS, deadline_ms * ANSWER_MARGIN_SHARE)
    return (deadline_ms - margin_ms) / 1000


def make_job(wire: WireJob, queue: Queue, job_id: str) -> JobSpec:
    """Convert a job from the wire format, with the current time as acceptance."""
    return JobSpec(
        job_id,
        queue.rules,
        wire.spec,
        tuple(make_step(step) for step in wire.steps),
        wall_clock_ms(),
        wire.start_at_ms,
        wire.period_ms,
        wire.times,
    )


def make_step(wire: WireStep) -> StepSpec:
    """Convert a step from the wire format."""
    return StepSpec(
        wire.count,
        wire.cpu,
        wire.mem_mb,
        wire.gpu,
        wire.estimate_ms,
        wire.after,
        wire.checkpoint,
        wire.gang,
        wire.same_rack,
        wire.constraints,
        wire.affinity,
        wire.anti_affinity,
        wire.speculative,
        wire.perpetual,
        wire.image,
        wire.target_ms,
        wire.fills,
        wire.may_miss,
    )
