"""What the owner believes of each host: its executor and what runs there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing.batch.timing import LEASE_MARGIN_S, TASK_LEASE_S

if TYPE_CHECKING:
    from rattanwing.batch.jobs import Task
    from rattanwing.batch.model import StepSpec
    from rattanwing.batch.ports import ExecutorView
    from rattanwing.batch.pressure import Look
    from rattanwing.batch.sharing import Sharing

QUIET_AFTER_S = 2.0
"""A host whose agent was not heard of for so long gets no new runs; reports come
every 0.5 s."""


class Run:
    """One attempt of a task on one host.

    :param order_number: of the start order; 0 for a run that was adopted.
    :param confirmed: the agent has reported it.
    :param progressed_at: when its percentage last changed.
    :param stopping_since: when a stop was ordered, else ``None``.
    :param look: of a serving task, the latest headroom to compare with.
    """

    __slots__ = (
        "task",
        "attempt",
        "host",
        "placed_at",
        "progressed_at",
        "order_number",
        "confirmed",
        "stopping_since",
        "percent",
        "saved",
        "usage",
        "look",
    )

    def __init__(self, task: Task, attempt: int, host: Host, now: float) -> None:
        self.task = task
        self.attempt = attempt
        self.host = host
        self.placed_at = now
        self.progressed_at = now
        self.order_number = 0
        self.confirmed = False
        self.stopping_since: float | None = None
        self.percent = 0
        self.saved = ""
        self.usage = 0
        self.look: Look | None = None


class Host:
    """One agent and the executor beside it.

    :param granted_until: by then all that runs there has lapsed unless granted
        anew, on the owner's clock.
    :param settled: the agent has reported everything that runs there.
    :param ends_taken: highest number of a listed end that was taken note of, of the
        executor's life ``ends_incarnation``; each life numbers from 1.
    :param strangers: runs of jobs that are not known, which are being stopped; the
        room that they take is not known.
    :param sharing: what was summed up since the runs have last changed.
    """

    __slots__ = (
        "name",
        "executor",
        "runs",
        "connected",
        "missing",
        "settled",
        "heard_at",
        "granted_until",
        "next_order",
        "used_cpu",
        "used_lasting_cpu",
        "used_fill_cpu",
        "used_memory_mb",
        "used_accelerators",
        "health",
        "ends_taken",
        "ends_incarnation",
        "strangers",
        "sharing",
    )

    def __init__(self, name: str, granted_until: float) -> None:
        self.name = name
        self.executor: ExecutorView | None = None
        self.runs: dict[tuple[str, int], Run] = {}
        self.connected = False
        self.missing = False
        self.settled = False
        self.heard_at = 0.0
        self.granted_until = granted_until
        self.next_order = 1
        self.used_cpu = 0
        self.used_lasting_cpu = 0
        self.used_fill_cpu = 0
        self.used_memory_mb = 0
        self.used_accelerators = 0
        self.health = HostHealth()
        self.ends_taken = 0
        self.ends_incarnation = ""
        self.strangers = 0
        self.sharing: Sharing | None = None

    def add(self, run: Run) -> None:
        """Reserve the room of a run."""
        self.runs[(str(run.task.id), run.attempt)] = run
        self.reserve(run.task.step, 1)

    def remove(self, run: Run) -> None:
        """Release the room of a run that has surely ended."""
        if self.runs.pop((str(run.task.id), run.attempt), None) is not None:
            self.reserve(run.task.step, -1)

    def take_order_number(self) -> int:
        """Return the number of the next order on this host's stream."""
        number = self.next_order
        self.next_order += 1
        return number

    def reserve(self, step: StepSpec, sign: int) -> None:
        """Add or take off the room of one task."""
        self.sharing = None
        if step.fills:
            self.used_fill_cpu += sign * step.cpu
        else:
            self.used_cpu += sign * step.cpu
            self.used_lasting_cpu += sign * step.cpu if step.lasting else 0
        self.used_memory_mb += sign * step.memory_mb
        self.used_accelerators += sign * step.accelerators

    def free_cpu(self) -> int:
        """Return the thousandths of a core that no run takes."""
        if self.executor is None:
            return 0
        return self.executor.cpu - self.used_cpu - self.used_fill_cpu

    def takes_starts(self, now: float) -> bool:
        """Return whether new runs may be ordered here at all."""
        return (
            self.executor is not None
            and self.connected
            and self.settled
            and not self.missing
            and not self.strangers
            and not self.executor.draining
            and now - self.heard_at <= QUIET_AFTER_S
        )

    def has_lapsed(self, now: float) -> bool:
        """Return whether everything that ran here is surely gone."""
        return not self.connected and now >= self.granted_until + LEASE_MARGIN_S

    def grant(self, now: float, lease_s: float) -> None:
        """Note that runs may go on for ``lease_s``, at most a whole lease."""
        until = now + min(lease_s, TASK_LEASE_S)
        self.granted_until = max(self.granted_until, until)


FAILURE_MEMORY = 12
"""Newest ends of a host by which its health is judged."""

MIN_FAILURES = 3
"""Failed ends before a host may be called sick; jobs of their own fault fail, too."""

SICK_SHARE = 0.6
"""Share of failed ends above which a host is called sick."""

SICK_FOR_S = 6.0
"""A sick host is left out for so long, about the platform's longest such fault."""


class HostHealth:
    """Tells hosts that fail what they start from tasks that fail everywhere."""

    __slots__ = ("ends", "sick_until", "stalled_until")

    def __init__(self) -> None:
        self.ends: list[bool] = []
        self.sick_until = 0.0
        self.stalled_until = 0.0

    def note_end(self, failed: bool, own_fault: bool, now: float) -> None:
        """Note one end; a task that fails on other hosts too says nothing."""
        if failed and own_fault:
            return
        self.ends.append(failed)
        del self.ends[:-FAILURE_MEMORY]
        failures = sum(self.ends)
        if failures >= MIN_FAILURES and failures / len(self.ends) > SICK_SHARE:
            self.sick_until = now + SICK_FOR_S
            self.ends.clear()

    def note_stall(self, now: float) -> None:
        """Note that a task stood still here."""
        self.stalled_until = now + SICK_FOR_S

    def is_sick(self, now: float) -> bool:
        """Return whether new runs should go elsewhere."""
        return now < self.sick_until or now < self.stalled_until
