"""Callers' requests for jobs, as the platform spells them."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import msgspec

from rattanwing import events
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobSpec, JobState, StepSpec
from rattanwing.batch.timing import wall_clock_ms
from rattanwing.errors import RejectedError
from rattanwing.util.http_server import Response, error_response, json_response

if TYPE_CHECKING:
    from rattanwing.batch.configuration import CurrentConfiguration, Queue
    from rattanwing.batch.relay import RelayingService
    from rattanwing.util.http_server import Request

DEADLINE_HEADER = b"rattanwing-deadline-ms"
JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")
DEFAULT_DEADLINE_MS = 3_000
ANSWER_MARGIN_MS = 300
"""An answer leaves this long before the caller stops waiting: a round trip over
the client's link, and the time to write it."""

ANSWER_MARGIN_SHARE = 0.3
"""The same for callers that wait for less than a second, as a share."""

RETRY_AFTER_S = b"1"
STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}


class WireStep(msgspec.Struct):
    """A step on the wire; a field that is absent is 0, false or empty.

    :param mem_mb: memory of a task.
    :param gpu: accelerators of a task.
    :param constraints: one label that the executor must have.
    :param affinity: the rack that holds the data.
    :param anti_affinity: most tasks of the step on one executor.
    :param perpetual: tasks last until the job is cancelled.
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
    """A job on the wire."""

    steps: tuple[WireStep, ...]
    spec: str = ""
    start_at_ms: int = 0
    period_ms: int = 0
    times: int = 0


class CallerRoutes:
    """Answers callers' requests."""

    __slots__ = ("service", "configuration", "closing")

    def __init__(
        self, service: RelayingService, configuration: CurrentConfiguration
    ) -> None:
        self.service = service
        self.configuration = configuration
        self.closing = False

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        response = await self.respond(request)
        if self.closing:
            response.headers.append((b"connection", b"close"))
        return response

    async def respond(self, request: Request) -> Response:
        """Return the answer to one request."""
        if not self.configuration.version:
            return unavailable_response("no-configuration")
        host = (request.header(b"host") or "").partition(":")[0].lower()
        queue = self.configuration.find_queue(host, request.path)
        if queue is None:
            return error_response(404, "no-such-queue", request.path)
        rest = request.path[len(queue.path_prefix) :]
        name = queue.rules.name
        if rest == "" and request.method == "GET":
            return json_response(200, {"pending": self.service.count_queued(name)})
        if JOB_ID_PATTERN.fullmatch(rest) is None:
            return error_response(404, "no-such-path", request.path)
        wait_s = wait_limit_s(request)
        match request.method:
            case "POST":
                return await self.submit(request, queue, rest, wait_s)
            case "GET":
                found = await self.service.find(rest, name)
                if isinstance(found, Answer):
                    return to_response(found)
                return json_response(200, {"state": STATE_NAMES[found]})
            case "DELETE":
                return to_response(await self.service.cancel(rest, name, wait_s))
        return error_response(405, "method-not-allowed", request.method)

    async def submit(
        self, request: Request, queue: Queue, job_id: str, wait_s: float
    ) -> Response:
        """Hand a job in."""
        try:
            wire = msgspec.json.decode(request.body, type=WireJob)
            job = make_job(wire, queue, job_id)
            return to_response(await self.service.submit(job, wait_s))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            events.write(events.REQUEST_MALFORMED, job=job_id, error=error)
            return error_response(400, "malformed-job", str(error))
        except RejectedError as error:
            events.write(events.REQUEST_MALFORMED, job=job_id, error=error)
            return error_response(400, error.rule, error.detail)


def wait_limit_s(request: Request) -> float:
    """Return how long a request may wait for its answer."""
    text = request.header(DEADLINE_HEADER) or ""
    deadline_ms = int(text) if text.isdecimal() else DEFAULT_DEADLINE_MS
    margin_ms = min(ANSWER_MARGIN_MS, deadline_ms * ANSWER_MARGIN_SHARE)
    return (deadline_ms - margin_ms) / 1000


def make_job(wire: WireJob, queue: Queue, job_id: str) -> JobSpec:
    """Return the job that a request describes."""
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
    """Return the step that a request describes."""
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


def unavailable_response(rule: str) -> Response:
    """Return a refusal of what has not run, with the time to come back."""
    response = error_response(503, rule, "the request has not run")
    response.headers.append((b"retry-after", RETRY_AFTER_S))
    return response


def to_response(answer: Answer) -> Response:
    """Return the wire form of an answer."""
    match answer:
        case Answer.ACCEPTED:
            return json_response(200, {})
        case Answer.REFUSED | Answer.NOT_READY:
            return unavailable_response(answer.value)
        case Answer.NO_SUCH_JOB:
            return error_response(410, answer.value, "no such job")
        case Answer.UNKNOWN_OUTCOME:
            return error_response(504, answer.value, "the outcome is not known yet")
