"""Tracks the runs and reserved resources of each host, and queues orders for agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.hosts import Host, Run
from rattanwing.batch.timing import TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.batch.jobs import Task
    from rattanwing.batch.model import StepSpec


class ClusterState:
    """The hosts, their runs and the messages to be sent to their agents.

    :param claimed_at: time when this owner sent its claim of ownership.
    :param hosts: hosts by the name of their agent.
    """

    __slots__ = ("claimed_at", "hosts", "outbox")

    def __init__(self, claimed_at: float) -> None:
        self.claimed_at = claimed_at
        self.hosts: dict[str, Host] = {}
        self.outbox: list[tuple[Host, messages.Message]] = []

    def send(self, host: Host, message: messages.Message) -> None:
        """Queue a message for a host's agent."""
        self.outbox.append((host, message))

    def add_host(self, name: str, now: float) -> Host:
        """Return the host of an agent, added if it is new.

        An earlier owner may have granted a full lease just before the claim, so a new
        host counts as leased for that long. A host that is added later gets the same
        time to connect.
        """
        host = self.hosts.get(name)
        if host is None:
            leased_until = max(self.claimed_at, now) + TASK_LEASE_S
            host = self.hosts[name] = Host(name, leased_until)
            host.last_heard_at = now
        return host

    def begin_stream(self, host: Host) -> None:
        """Begin a new stream; orders of the previous stream are void."""
        host.connected = True
        host.fully_reported = False
        host.clock_offsets.clear()
        host.next_order = 1
        for run in host.runs.values():
            run.order_number = 0

    def end_stream(self, host: Host) -> None:
        """Record the end of the stream; runs may continue until their lease lapses.

        The lease of a host without executor and runs counts as lapsed at once.
        """
        host.connected = False
        if host.fully_reported and host.executor is None and not host.runs:
            host.leased_until = float("-inf")
        host.fully_reported = False

    def add_run(self, task: Task, attempt: int, host: Host, now: float) -> Run:
        """Record a run and reserve its resources on the host."""
        run = Run(task, attempt, host, now)
        host.add(run)
        task.runs.append(run)
        task.job.hold(task)
        task.job.count_run(1, now, has_run=False)
        return run

    def send_properties(self, runs: list[Run]) -> None:
        """Send the properties of runs, which an agent loses when it restarts."""
        for run in runs:
            properties = messages.RunProperties(
                str(run.task.id), run.attempt, task_properties(run.task.step)
            )
            self.send(run.host, properties)

    def mark_lost(
        self, run: Run, reason: str, now: float, refused: bool = False
    ) -> None:
        """Release a run that has no reported end but can no longer be running.

        :param refused: whether the run was never started; its agent reports a run
            already while it is starting it.
        """
        events.write(
            events.RUN_LOST,
            task=str(run.task.id),
            attempt=run.attempt,
            host=run.host.name,
            reason=reason,
        )
        run.task.keep_checkpoint(run.checkpoint, run.attempt)
        self.release(run, now, has_run=run.reported and not refused)

    def release(self, run: Run, now: float, has_run: bool) -> None:
        """Free the resources of a run.

        :param has_run: whether the run has been started.
        """
        run.host.remove(run)
        if run not in run.task.runs:
            return
        run.task.runs.remove(run)
        run.task.job.release(run.task)
        if has_run:
            run.task.saved_percent = run.progress_percent
        run.task.job.count_run(-1, now, has_run)

    def stop(self, run: Run, reason: str, now: float) -> None:
        """Order the stop of a run; its resources are freed when its end is reported."""
        run.last_stop_ordered_at = now
        events.write(
            events.RUN_STOPPED,
            task=str(run.task.id),
            attempt=run.attempt,
            host=run.host.name,
            reason=reason,
        )
        self.send_stop(run.host, str(run.task.id), run.attempt)

    def send_stop(self, host: Host, task: str, attempt: int) -> None:
        """Queue a stop order."""
        self.send(host, messages.StopRun(host.allocate_order_number(), task, attempt))


def task_properties(step: StepSpec) -> messages.TaskProperties:
    """Return the properties of a step's tasks that agents need."""
    return messages.TaskProperties(
        step.cpu,
        step.memory_mb,
        step.accelerators,
        step.best_effort,
        step.target_ms,
        step.image,
    )
