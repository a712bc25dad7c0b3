"""The owner's book of hosts and runs: what takes room where, and what is ordered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.hosts import Host, Run
from rattanwing.batch.timing import TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.batch.jobs import Task
    from rattanwing.batch.model import StepSpec


class RunLedger:
    """Hosts by the names of their agents, and the messages that wait for them.

    :param claimed_at: when this owner's claim was sent.
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
        """Return the host of an agent, new or known.

        An earlier owner may have granted a whole lease just before the claim; a host
        that comes later is given as long to answer.
        """
        host = self.hosts.get(name)
        if host is None:
            lapses_at = max(self.claimed_at, now) + TASK_LEASE_S
            host = self.hosts[name] = Host(name, lapses_at)
            host.heard_at = now
        return host

    def host_connected(self, host: Host) -> None:
        """Begin a new stream: orders of the old one count no more."""
        host.connected = True
        host.settled = False
        host.next_order = 1
        for run in host.runs.values():
            run.order_number = 0

    def host_lost(self, host: Host) -> None:
        """Take note that the stream has ended; what runs there may go on.

        Where the executor had ended before, nothing is left to wait for.
        """
        host.connected = False
        if host.settled and host.executor is None and not host.runs:
            host.granted_until = float("-inf")
        host.settled = False

    def book(self, task: Task, attempt: int, host: Host, now: float) -> Run:
        """Take up room for a run."""
        run = Run(task, attempt, host, now)
        host.add(run)
        task.runs.append(run)
        task.job.note_run(1, now)
        return run

    def describe_runs(self, runs: list[Run]) -> None:
        """Tell the agents the sizes of runs; an agent that restarted lacks them."""
        for run in runs:
            facts = messages.RunProperties(
                str(run.task.id), run.attempt, task_facts(run.task.step)
            )
            self.send(run.host, facts)

    def lose_all(self, host: Host, reason: str, now: float) -> None:
        """Give up on every run of a host."""
        for run in list(host.runs.values()):
            self.lose(run, reason, now)

    def lose(self, run: Run, reason: str, now: float) -> None:
        """Give up on a run that has surely ended without a listed end."""
        events.write(
            events.RUN_LOST,
            task=str(run.task.id),
            attempt=run.attempt,
            host=run.host.name,
            reason=reason,
        )
        run.task.save(run.saved, run.attempt)
        self.release(run, now)

    def release(self, run: Run, now: float) -> None:
        """Free the room of a run."""
        run.host.remove(run)
        if run not in run.task.runs:
            return
        run.task.runs.remove(run)
        run.task.job.note_run(-1, now)

    def stop(self, run: Run, reason: str, now: float) -> None:
        """Order the stop of a run; its room is free once its end is listed."""
        run.stopping_since = now
        events.write(
            events.RUN_STOPPED,
            task=str(run.task.id),
            attempt=run.attempt,
            host=run.host.name,
            reason=reason,
        )
        self.order_stop(run.host, str(run.task.id), run.attempt)

    def order_stop(self, host: Host, task: str, attempt: int) -> None:
        """Send a stop order."""
        self.send(host, messages.StopRun(host.take_order_number(), task, attempt))


def task_facts(step: StepSpec) -> messages.TaskProperties:
    """Return what an agent has to know of a step's tasks."""
    return messages.TaskProperties(
        step.cpu,
        step.memory_mb,
        step.accelerators,
        step.fills,
        step.target_ms,
        step.image,
    )
