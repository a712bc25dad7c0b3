"""In-memory stand-in for a worker: simulates tasks that run under leases."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from rattanwing.agent.worker import (
    STALE_SESSION,
    StopResult,
    TaskListing,
    TaskOrder,
    TaskStatus,
    WorkerError,
)
from rattanwing.util.http_server import (
    HttpServer,
    Request,
    Response,
    error_response,
    json_response,
)
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping


class Work(msgspec.Struct):
    """Behaviour of a simulated task, given as JSON in a job's ``work``.

    :param run_s: run time without throttling, in seconds.
    :param fail: whether the task fails when its work is done.
    :param use_cpu: processors that the task can use; 0 for all that it is granted.
    """

    run_s: float = 1.0
    fail: bool = False
    use_cpu: float = 0.0


class WorkerFaults(msgspec.Struct):
    """Simulated faults of the worker.

    :param down: all calls fail.
    :param delay_s: delay of each call, in seconds.
    :param lose_answers: number of following calls that take effect but whose answers
        are lost.
    :param fail_tasks: tasks that start while it is set fail when their work is done.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    fail_tasks: bool = False


class RunningTask:
    """A simulated task and its progress.

    :param state: as in :class:`rattanwing.agent.worker.TaskStatus`.
    :param progress_s: work done, in seconds of run time without throttling.
    :param updated_at: when ``progress_s`` was computed, on the host's clock.
    """

    __slots__ = ("order", "work", "state", "progress_s", "updated_at")

    def __init__(self, order: TaskOrder, work: Work, progress_s: float, now: float):
        self.order = order
        self.work = work
        self.state = "running"
        self.progress_s = progress_s
        self.updated_at = now

    def advance(self, now: float, share: float) -> None:
        """Update progress and state to the time ``now``.

        The task works until its work is done or its lease ends.

        :param share: share of the granted processors that the task may use.
        """
        if self.state != "running":
            return
        until = min(now, self.order.lease_until)
        left_s = self.work.run_s - self.progress_s
        speed = self.used_cpu(share) / (self.work.use_cpu or self.order.cpu)
        worked_s = max(0.0, until - self.updated_at) * speed
        if worked_s >= left_s:
            self.progress_s = self.work.run_s
            self.state = "failed" if self.work.fail else "finished"
        else:
            self.progress_s += worked_s
            if now >= self.order.lease_until:
                self.state = "lapsed"
        self.updated_at = max(self.updated_at, until)

    def used_cpu(self, share: float) -> float:
        """Return the processors in use when limited to a share of those granted."""
        limit = self.order.cpu * share
        return min(limit, self.work.use_cpu) if self.work.use_cpu else limit


class MemoryWorker:
    """Simulates a worker.

    Implements :class:`rattanwing.agent.worker.Worker`.

    :param clock: returns the host's monotonic clock, in seconds.
    :param observer: called with ``"start"`` or ``"end"`` and the task.
    :param started_keys: keys of all attempts that were started; each starts once.
    :param session: open session; orders of other sessions are refused.
    :param agent_started_at: when the agent that opened the session started.
    :param share: share of their granted processors that tasks may use.
    """

    __slots__ = (
        "clock",
        "tasks",
        "started_keys",
        "session",
        "agent_started_at",
        "share",
        "faults",
        "observer",
    )

    def __init__(
        self,
        clock: Callable[[], float],
        observer: Callable[[str, RunningTask], None] | None = None,
    ) -> None:
        self.clock = clock
        self.tasks: dict[str, RunningTask] = {}
        self.started_keys: set[str] = set()
        self.session = ""
        self.agent_started_at = float("-inf")
        self.share = 1.0
        self.faults = WorkerFaults()
        self.observer = observer or (lambda _event, _task: None)

    def restart(self) -> None:
        """Lose the tasks, the session and the share, as a restart of the process does.

        Calls in flight are carried out afterwards.
        """
        self.advance()
        for task in self.tasks.values():
            if task.state == "running":
                task.state = "killed"
                self.observer("end", task)
        self.tasks.clear()
        self.started_keys.clear()
        self.session = ""
        self.agent_started_at = float("-inf")
        self.share = 1.0

    async def open_session(self, session: str, started_at: float) -> None:
        """Open a session; orders of other sessions are refused from now on.

        :raises WorkerError: when an agent that started later has opened a session.
        """
        await self.simulate_faults()
        if started_at < self.agent_started_at:
            raise WorkerError(Verdict.NOT_RUN, STALE_SESSION)
        self.session = session
        self.agent_started_at = started_at
        self.simulate_lost_answer()

    async def start(self, order: TaskOrder) -> None:
        """Start a task.

        :raises WorkerError: when the order is of another session or too late, or
            when this attempt was already started.
        """
        await self.simulate_faults()
        now = self.clock()
        key = order.key
        if not self.session or order.session != self.session:
            raise WorkerError(Verdict.NOT_RUN, STALE_SESSION)
        if now > order.start_by or now >= order.lease_until:
            raise WorkerError(Verdict.NOT_RUN, "start-too-late")
        if key in self.started_keys:
            raise WorkerError(Verdict.NOT_RUN, "attempt-seen")
        work = parse_work(order.work)
        work.fail = work.fail or self.faults.fail_tasks
        progress_s = float(order.checkpoint) if order.checkpoint else 0.0
        self.started_keys.add(key)
        self.tasks[key] = RunningTask(order, work, progress_s, now)
        self.observer("start", self.tasks[key])
        self.simulate_lost_answer()

    async def renew(self, leases: Mapping[str, float]) -> None:
        """Extend the leases of running tasks, given by task key."""
        await self.simulate_faults()
        self.advance()
        for key, until in leases.items():
            task = self.tasks.get(key)
            if task is not None and task.state == "running":
                task.order.lease_until = max(task.order.lease_until, until)
        self.simulate_lost_answer()

    async def stop(self, key: str) -> StopResult:
        """Stop a task and return its checkpoint if it was still running."""
        await self.simulate_faults()
        self.advance()
        task = self.tasks.get(key)
        if task is None:
            return StopResult("unknown")
        if task.state == "running":
            task.state = "stopped"
            self.observer("end", task)
        self.simulate_lost_answer()
        if task.state != "stopped":
            return StopResult(task.state, None, task.progress_s)
        return StopResult("stopped", str(task.progress_s), task.progress_s)

    async def set_share(self, share: float) -> None:
        """Throttle all tasks to a share of their granted processors."""
        await self.simulate_faults()
        self.advance()
        self.share = share
        self.simulate_lost_answer()

    async def list_tasks(self) -> TaskListing:
        """Return session, share, running tasks and ended tasks not yet dropped."""
        await self.simulate_faults()
        self.advance()
        self.simulate_lost_answer()
        statuses = [self.status(task) for task in self.tasks.values()]
        return TaskListing(self.session, self.share, statuses)

    async def forget(self, key: str) -> None:
        """Drop an ended task."""
        await self.simulate_faults()
        task = self.tasks.get(key)
        if task is not None and task.state != "running":
            del self.tasks[key]

    def advance(self) -> None:
        """Update all tasks to the current time and report ends to the observer."""
        now = self.clock()
        for task in self.tasks.values():
            before = task.state
            task.advance(now, self.share)
            if before == "running" and task.state != "running":
                self.observer("end", task)

    def status(self, task: RunningTask) -> TaskStatus:
        """Return the reported status of a task."""
        order = task.order
        return TaskStatus(
            *order.attempt_fields(),
            order.lease_until,
            task.state,
            task.progress_s,
            task.used_cpu(self.share) if task.state == "running" else 0.0,
            str(task.progress_s) if task.state == "stopped" else None,
            "task-failed" if task.state == "failed" else "",
        )

    async def simulate_faults(self) -> None:
        """Delay or fail a call according to the faults that are set.

        :raises WorkerError: when the worker is down.
        """
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise WorkerError(Verdict.MAY_HAVE_RUN, "the worker is down")
        await trio.lowlevel.checkpoint()

    def simulate_lost_answer(self) -> None:
        """Fail a call that has taken effect if answers are to be lost.

        :raises WorkerError: when the answer is lost.
        """
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise WorkerError(Verdict.MAY_HAVE_RUN, "the answer was lost")


def parse_work(text: str) -> Work:
    """Parse the ``work`` of a job; malformed work becomes a task that fails at once."""
    if not text:
        return Work()
    try:
        return msgspec.json.decode(text, type=Work)
    except msgspec.DecodeError:
        return Work(0.0, True)


def make_worker_server(worker: MemoryWorker) -> HttpServer:
    """Return an HTTP server for the stand-in worker.

    ``PUT /faults`` replaces the faults that are set.
    """

    async def respond(call: Any) -> Response:
        try:
            answer = await call
        except WorkerError as error:
            if error.verdict is Verdict.NOT_RUN:
                return error_response(409, str(error), str(error))
            return error_response(503, "unavailable", str(error))
        return json_response(200, answer)

    async def open_session(request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        call = worker.open_session(body["session"], body["started_at"])
        return await respond(call)

    async def start(request: Request) -> Response:
        order = msgspec.json.decode(request.body, type=TaskOrder)
        return await respond(worker.start(order))

    async def renew(request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        return await respond(worker.renew(body["leases"]))

    async def stop(request: Request) -> Response:
        return await respond(worker.stop(request.match["key"]))

    async def set_share(request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        return await respond(worker.set_share(body["share"]))

    async def list_tasks(_request: Request) -> Response:
        return await respond(worker.list_tasks())

    async def forget(request: Request) -> Response:
        return await respond(worker.forget(request.match["key"]))

    async def set_faults(request: Request) -> Response:
        worker.faults = msgspec.json.decode(request.body, type=WorkerFaults)
        return json_response(200, worker.faults)

    server = HttpServer()
    server.route("PUT", "/session", open_session)
    server.route("POST", "/tasks", start)
    server.route("PUT", "/leases", renew)
    server.route("POST", r"/tasks/(?P<key>[^/]+)/stop", stop)
    server.route("PUT", "/share", set_share)
    server.route("GET", "/tasks", list_tasks)
    server.route("DELETE", r"/tasks/(?P<key>[^/]+)", forget)
    server.route("PUT", "/faults", set_faults)
    return server
