"""The interface of the worker on this host, and its HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from rattanwing.errors import RattanwingError
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Mapping

CALL_TIMEOUT_S = 2.0
WORKER_CONNECTIONS = 4


class WorkerError(RattanwingError):
    """A call to the worker failed.

    :param verdict: whether the worker may have acted on it.
    """

    def __init__(self, verdict: Verdict, detail: str) -> None:
        super().__init__(detail)
        self.verdict = verdict


class Attempt(msgspec.Struct):
    """One attempt of a job, and what it is granted on a worker.

    :param cpu: processors.
    """

    job: str
    attempt: int
    shard: int
    task_class: str
    cpu: float
    memory_mb: int
    accelerators: int

    @property
    def key(self) -> str:
        """Name of the attempt at the worker."""
        return task_key(self.job, self.attempt)

    def attempt_fields(self) -> tuple[str, int, int, str, float, int, int]:
        """Return the fields of :class:`Attempt`, to make another of its kinds."""
        return (
            self.job,
            self.attempt,
            self.shard,
            self.task_class,
            self.cpu,
            self.memory_mb,
            self.accelerators,
        )


class TaskOrder(Attempt):
    """Order to a worker to start a task.

    :param session: session of the agent; orders of earlier ones are void.
    :param lease_until: when the worker must stop the task by itself, on the
        host's monotonic clock.
    :param start_by: after this moment the order is void.
    """

    session: str
    work: str
    checkpoint: str | None
    lease_until: float
    start_by: float


class TaskStatus(Attempt):
    """One task as the worker sees it.

    :param state: ``running``, ``stopped``, ``finished``, ``failed`` or
        ``lapsed``.
    :param checkpoint: where a stopped task may be resumed.
    :param used_cpu: processors in use, as measured some time ago.
    """

    lease_until: float
    state: str
    progress_s: float
    used_cpu: float
    checkpoint: str | None = None
    detail: str = ""


class StopResult(msgspec.Struct):
    """What became of a task that was stopped.

    :param state: ``stopped``, ``finished``, ``failed``, ``lapsed`` or
        ``unknown``.
    """

    state: str
    checkpoint: str | None = None
    progress_s: float = 0.0


class Worker(Protocol):
    """What the agent asks of the worker; every call raises WorkerError."""

    async def open_session(self, session: str) -> None:
        """Void the orders of all earlier sessions."""

    async def start(self, order: TaskOrder) -> None:
        """Start a task."""

    async def renew(self, leases: Mapping[str, float]) -> None:
        """Set the ends of the leases, by task key."""

    async def stop(self, key: str) -> StopResult:
        """Stop a task with a checkpoint."""

    async def set_share(self, share: float) -> None:
        """Throttle all tasks to a share of their limits."""

    async def list_tasks(self) -> list[TaskStatus]:
        """Return the tasks that run or whose end was not forgotten."""

    async def forget(self, key: str) -> None:
        """Drop an ended task."""


def task_key(job: str, attempt: int) -> str:
    """Return the name of one attempt at the worker."""
    return f"{job}@{attempt}"


class HttpWorker:
    """The worker over HTTP.

    :param address: ``ip:port`` of the worker.
    """

    __slots__ = ("client",)

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address, WORKER_CONNECTIONS)

    async def open_session(self, session: str) -> None:
        """Void the orders of all earlier sessions."""
        await self.call("PUT", "/session", {"session": session})

    async def start(self, order: TaskOrder) -> None:
        """Start a task."""
        await self.call("POST", "/tasks", order)

    async def renew(self, leases: Mapping[str, float]) -> None:
        """Set the ends of the leases, by task key."""
        await self.call("PUT", "/leases", {"leases": leases})

    async def stop(self, key: str) -> StopResult:
        """Stop a task with a checkpoint."""
        answer = await self.call("POST", f"/tasks/{key}/stop", None)
        return convert(answer, StopResult)

    async def set_share(self, share: float) -> None:
        """Throttle all tasks to a share of their limits."""
        await self.call("PUT", "/share", {"share": share})

    async def list_tasks(self) -> list[TaskStatus]:
        """Return the tasks that run or whose end was not forgotten."""
        return convert(await self.call("GET", "/tasks", None), list[TaskStatus])

    async def forget(self, key: str) -> None:
        """Drop an ended task."""
        await self.call("DELETE", f"/tasks/{key}", None)

    async def call(self, method: str, target: str, body: Any) -> Any:
        """Return the decoded answer of a successful call."""
        try:
            status, answer = await self.client.call_json(
                method, target, body, CALL_TIMEOUT_S
            )
        except HttpCallError as error:
            raise WorkerError(error.verdict, str(error)) from error
        if status == 409:
            rule = answer.get("error", "refused") if isinstance(answer, dict) else ""
            raise WorkerError(Verdict.NOT_RUN, rule)
        if status != 200:
            raise WorkerError(Verdict.MAY_HAVE_RUN, f"the worker answered {status}")
        return answer


def convert(answer: Any, kind: Any) -> Any:
    """Return the typed form of an answer."""
    try:
        return msgspec.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise WorkerError(Verdict.MAY_HAVE_RUN, str(error)) from error
