"""Interface of the worker on this host and its HTTP client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from rattanwing.errors import RattanwingError
from rattanwing.util.http_client import HttpCallError, HttpClient
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Mapping

CALL_TIMEOUT_S = 2.0
"""Bound on the time of one call to the worker."""

WORKER_CONNECTIONS = 4
"""Maximum number of connections to the worker."""

STALE_SESSION = "stale-session"
"""Rule by which a worker refuses what belongs to another session than the open one."""


class WorkerError(RattanwingError):
    """A call to the worker failed.

    :param verdict: whether the worker has executed the call, or may have.
    """

    def __init__(self, verdict: Verdict, detail: str) -> None:
        super().__init__(detail)
        self.verdict = verdict


class Attempt(msgspec.Struct):
    """An attempt of a job and the resources it is granted on a worker.

    The worker runs the attempt as a task.

    :param cpu: number of processors.
    :param memory_mb: memory in MiB.
    :param accelerators: number of accelerators.
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
        """The attempt's key at the worker."""
        return task_key(self.job, self.attempt)

    def attempt_fields(self) -> tuple[str, int, int, str, float, int, int]:
        """Return the fields of :class:`Attempt`, to construct another subclass from."""
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
    """Order to the worker to start a task.

    :param session: the session that the order belongs to; the worker refuses orders
        of sessions other than the open one.
    :param work: what the worker runs, passed on unchanged from the job.
    :param checkpoint: checkpoint to resume from, or ``None``.
    :param lease_until: time at which the worker stops the task if the lease is not
        renewed, on the host's monotonic clock.
    :param start_by: time after which the worker refuses the order, on the same clock.
    """

    session: str
    work: str
    checkpoint: str | None
    lease_until: float
    start_by: float


class TaskStatus(Attempt):
    """Status of a task at the worker.

    :param lease_until: end of the lease, on the host's monotonic clock.
    :param state: ``running``, ``stopped``, ``finished``, ``failed`` or
        ``lapsed`` (stopped by the worker because the lease ended).
    :param progress_s: progress of the task, in seconds of work.
    :param used_cpu: processors in use at the worker's last measurement.
    :param checkpoint: checkpoint from which a stopped task can be resumed.
    :param detail: reason of a failure.
    """

    lease_until: float
    state: str
    progress_s: float
    used_cpu: float
    checkpoint: str | None = None
    detail: str = ""


class TaskListing(msgspec.Struct):
    """The worker's tasks, and the state that a restart of the worker loses.

    :param session: the open session; empty from the start of the worker until an agent
        opens one.
    :param share: share of their granted processors that tasks may use.
    :param tasks: running tasks and ended tasks that are not yet forgotten.
    """

    session: str
    share: float
    tasks: list[TaskStatus]


class StopResult(msgspec.Struct):
    """Result of a call to stop a task.

    :param state: ``stopped``, ``finished``, ``failed``, ``lapsed`` or
        ``unknown``.
    :param checkpoint: checkpoint from which a stopped task can be resumed.
    :param progress_s: progress of the task, in seconds of work.
    """

    state: str
    checkpoint: str | None = None
    progress_s: float = 0.0


class Worker(Protocol):
    """Interface of the worker on this host.

    All methods raise :class:`WorkerError` when the call fails.
    """

    async def open_session(self, session: str, started_at: float) -> None:
        """Open a session; orders of other sessions are refused from then on.

        The worker refuses a session of an agent that started before the one of the
        open session.

        :param session: unique id of the session.
        :param started_at: when the agent started, on the host's monotonic clock.
        """

    async def start(self, order: TaskOrder) -> None:
        """Start a task."""

    async def renew(self, leases: Mapping[str, float]) -> None:
        """Set the lease ends, by task key, on the host's monotonic clock."""

    async def stop(self, key: str) -> StopResult:
        """Checkpoint and stop a task."""

    async def set_share(self, share: float) -> None:
        """Limit all tasks to a share of their granted processors."""

    async def list_tasks(self) -> TaskListing:
        """Return the worker's state, with running tasks and those not forgotten."""

    async def forget(self, key: str) -> None:
        """Remove an ended task from the worker's list."""


def task_key(job: str, attempt: int) -> str:
    """Return the key of an attempt at the worker."""
    return f"{job}@{attempt}"


class HttpWorker:
    """HTTP client of the worker.

    :param address: ``ip:port`` of the worker.
    """

    __slots__ = ("client",)

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address, WORKER_CONNECTIONS)

    async def open_session(self, session: str, started_at: float) -> None:
        """Open a session; orders of other sessions are refused from then on."""
        body = {"session": session, "started_at": started_at}
        await self.call("PUT", "/session", body)

    async def start(self, order: TaskOrder) -> None:
        """Start a task."""
        await self.call("POST", "/tasks", order)

    async def renew(self, leases: Mapping[str, float]) -> None:
        """Set the lease ends, by task key, on the host's monotonic clock."""
        await self.call("PUT", "/leases", {"leases": leases})

    async def stop(self, key: str) -> StopResult:
        """Checkpoint and stop a task."""
        answer = await self.call("POST", f"/tasks/{key}/stop", None)
        return convert(answer, StopResult)

    async def set_share(self, share: float) -> None:
        """Limit all tasks to a share of their granted processors."""
        await self.call("PUT", "/share", {"share": share})

    async def list_tasks(self) -> TaskListing:
        """Return the worker's state, with running tasks and those not forgotten."""
        return convert(await self.call("GET", "/tasks", None), TaskListing)

    async def forget(self, key: str) -> None:
        """Remove an ended task from the worker's list."""
        await self.call("DELETE", f"/tasks/{key}", None)

    async def call(self, method: str, target: str, body: Any) -> Any:
        """Call the worker and return its decoded answer.

        :raises WorkerError: with ``NOT_RUN`` when the worker answered 409 or was not
            reached; with ``MAY_HAVE_RUN`` after any other failure.
        """
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
            raise WorkerError(
                Verdict.MAY_HAVE_RUN,
                f"worker answered HTTP status {status} instead of 200",
            )
        return answer


def convert(answer: Any, kind: Any) -> Any:
    """Convert a decoded answer to a type.

    :raises WorkerError: with ``MAY_HAVE_RUN`` when the answer does not match.
    """
    try:
        return msgspec.convert(answer, kind)
    except msgspec.ValidationError as error:
        raise WorkerError(Verdict.MAY_HAVE_RUN, str(error)) from error
