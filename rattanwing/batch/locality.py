"""Decides whether a task waits for a place near its data, or its gang for one rack.

Tasks take ``far_factor`` times as long away from the rack of their data, and so does a
gang that must share a rack and doesn't. At times many jobs want the same rack while
others have room. A task starts near if it can. The other tasks of its step wait if
places in the rack come free fast enough for all of them, and else start elsewhere at
once: a step is done only with its last task.

A wait ends at a time that is known when it begins. The decision is made once for each
step under one owner, and no wait reaches beyond a limit that any owner derives from the
job itself, see :func:`longest_wait_s`.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from rattanwing import events
from rattanwing.batch.placement import (
    choose_host,
    count_runs_on,
    shortage,
    unsuitable_reason,
)
from rattanwing.batch.run_times import RunTimes, is_representative
from rattanwing.batch.urgency import LATE_FACTOR

if TYPE_CHECKING:
    from collections.abc import Iterable

    from rattanwing.batch.hosts import Host, Run
    from rattanwing.batch.interference import InterferenceModel
    from rattanwing.batch.jobs import OwnedJob, StepTasks, Task
    from rattanwing.batch.model import StepSpec
    from rattanwing.batch.placement import OpenHosts

MAX_WAIT_S = 0.8
"""Longest time in seconds for which a job without a run waits for a near place. With
the time until the next round of decisions it is below ``STARVED_AFTER_S``."""

RATE_WINDOW_S = 4.0
"""Time in seconds for which the end of a run counts towards the rate at which its host
becomes free."""

MIN_RATE_SPAN_S = 1.0
"""Shortest time in seconds over which that rate is computed."""

Key = tuple[str, str]
"""A service and a rack."""


class Prospect:
    """What is known when a task could start elsewhere, but not near.

    :param run_s: expected run time left, near.
    :param far_factor: factor of the run time elsewhere.
    :param rest_s: expected run time of the longest chain of steps that follows.
    :param due_s: time until the completion-time target of the job; may be negative.
    :param late_due_s: time until its result is of little use.
    :param idle_s: time for which the job has had no run; 0 if it has one.
    """

    __slots__ = ("run_s", "far_factor", "rest_s", "due_s", "late_due_s", "idle_s")

    def __init__(
        self,
        run_s: float,
        far_factor: float,
        rest_s: float,
        due_s: float,
        late_due_s: float,
        idle_s: float,
    ) -> None:
        self.run_s = run_s
        self.far_factor = far_factor
        self.rest_s = rest_s
        self.due_s = due_s
        self.late_due_s = late_due_s
        self.idle_s = idle_s


def longest_wait_s(prospect: Prospect) -> float:
    """Return the longest time in seconds for which a wait for a near place pays.

    A wait costs at most what it could save. It keeps the job within its target if a
    start elsewhere would, else if a near start would. A job that can't meet its target
    any more has until its result is of little use.
    """
    far_s = prospect.far_factor * prospect.run_s
    slack_s = 0.0
    for due_s in (prospect.due_s, prospect.late_due_s):
        left_s = due_s - prospect.rest_s
        if left_s > prospect.run_s:
            slack_s = left_s - (far_s if left_s > far_s else prospect.run_s)
            break
    saved_s = far_s - prospect.run_s
    return max(0.0, min(saved_s, slack_s, MAX_WAIT_S - prospect.idle_s))


class NearWait:
    """The wait of a step for near places, or the decision not to wait.

    :param key: service and rack; for a gang that fits several racks, the one where most
        becomes free.
    :param order: queue priority and completion-time target of its job, on the owner's
        clock; the lowest gets a near place first.
    :param size: mean room that a task, or the missing part of a gang, needs, as a share
        of a host.
    :param tasks: number of tasks that wait; 1 for a gang.
    :param started_near: how many tasks have found a near place meanwhile.
    :param outcome: what came of it; empty while it lasts.
    """

    __slots__ = (
        "job",
        "step",
        "key",
        "order",
        "size",
        "began_at",
        "ends_at",
        "tasks",
        "started_near",
        "outcome",
    )

    def __init__(
        self,
        job: OwnedJob,
        step: StepTasks,
        key: Key,
        order: tuple[int, float],
        size: float,
        tasks: int,
        now: float,
        wait_s: float,
    ) -> None:
        self.job = job
        self.step = step
        self.key = key
        self.order = order
        self.size = size
        self.began_at = now
        self.ends_at = now + wait_s
        self.tasks = tasks
        self.started_near = 0
        self.outcome = ""

    def is_obsolete(self) -> bool:
        """Return whether no task of the step is left to decide about."""
        return self.job.state.final or not self.step.unfinished


class End(NamedTuple):
    """The end of a run.

    :param size: room that it frees, as a share of its host.
    """

    at: float
    placed_at: float
    size: float


class Room:
    """The open hosts of a rack, and how fast they become free.

    Fewer runs end while a rack is partly idle, so the rate is that of recent ends times
    the present use of the rack, divided by its mean use in that time.

    :param rate: room that becomes free in a second, as a share of a host.
    :param fastest: the part of it on the host where most becomes free.
    :param typical: mean room that the end of a run frees.
    """

    __slots__ = ("hosts", "rate", "fastest", "typical")

    def __init__(
        self, hosts: list[Host], ends: list[list[End]], now: float, span_s: float
    ) -> None:
        self.hosts = hosts
        self.rate = self.fastest = self.typical = 0.0
        ended = [end for found in ends for end in found]
        if not ended:
            return
        begin = now - span_s
        running = [
            (share_of_host(run.task.step, host), run.placed_at)
            for host in hosts
            for run in host.runs.values()
        ]
        used_now = sum(size for size, _placed_at in running)
        used = sum(size * (now - max(begin, at)) for size, at in running)
        used += sum(end.size * (end.at - max(begin, end.placed_at)) for end in ended)
        factor = used_now / used if used > 0.0 else 1 / span_s
        freed = [sum(end.size for end in found) for found in ends]
        self.rate = sum(freed) * factor
        self.fastest = max(freed) * factor
        self.typical = sum(freed) / len(ended)

    def expected_s(self, ahead: float, size: float, divisible: bool) -> float:
        """Return the expected time until room is free, in seconds.

        Room for a task that is larger than those that end has to come free on one host.

        :param ahead: room that others get first, as a share of a host.
        :param divisible: whether ``size`` may come free on several hosts.
        """
        whole = not divisible and size > self.typical
        rate = self.fastest if whole else self.rate
        if rate <= 0.0:
            return float("inf")
        return ahead / self.rate + size / rate


class NearPlaces:
    """Chooses between near places, waits and places elsewhere, for one owner.

    :param far_factor: factor of the run time away from the data or in several racks;
        1.0 or less turns the feature off.
    :param run_times: learned run times of tasks near their data.
    :param ends: recent ends of runs, by host.
    :param decisions: the decision about each unfinished step that has one.
    :param waits: those of them that are waits that last.
    """

    __slots__ = (
        "far_factor",
        "run_times",
        "ends",
        "decisions",
        "waits",
        "open_hosts",
        "rooms",
        "racks",
        "full_for",
        "measured_since",
        "wall_offset_s",
    )

    def __init__(self, far_factor: float = 1.0) -> None:
        self.far_factor = far_factor
        self.run_times = RunTimes()
        self.ends: dict[str, deque[End]] = {}
        self.decisions: dict[StepTasks, NearWait] = {}
        self.waits: list[NearWait] = []
        self.open_hosts: OpenHosts | None = None
        self.rooms: dict[Key, Room] = {}
        self.racks: dict[Key, list[tuple[str, list[Host]]]] = {}
        self.full_for: StepTasks | None = None
        self.measured_since: float | None = None
        self.wall_offset_s = 0.0

    def applies_to(self, step: StepSpec) -> bool:
        """Return whether tasks of a step may wait for a near place."""
        if self.far_factor <= 1.0 or step.long_running:
            return False
        return bool(step.data_rack) or (step.gang and step.same_rack)

    def record_end(self, run: Run, done: bool, now: float) -> None:
        """Record the room that the end of a run frees, and how long its task took.

        :param done: whether the run has done its work.
        """
        if self.far_factor <= 1.0 or run.host.executor is None:
            return
        if done and is_representative(run, now):
            self.run_times.record(run.task.step, (now - run.placed_at) * 1000, now)
        ends = self.ends.setdefault(run.host.name, deque())
        ends.append(End(now, run.placed_at, share_of_host(run.task.step, run.host)))
        while now - ends[0].at > RATE_WINDOW_S:
            ends.popleft()

    def begin_round(self, open_hosts: OpenHosts, now: float, now_ms: int) -> None:
        """Begin a round of placement, and end the waits whose time is over."""
        if self.far_factor <= 1.0:
            return
        if self.measured_since is None:
            self.measured_since = now
        self.open_hosts = open_hosts
        self.rooms.clear()
        self.racks.clear()
        self.full_for = None
        self.wall_offset_s = now_ms / 1000 - now
        known = {host.name for host in open_hosts.hosts}
        for name in self.ends.keys() - known:
            del self.ends[name]
        for wait in self.waits:
            if wait.is_obsolete():
                self.finish(wait, "job-ended", now)
            elif now >= wait.ends_at:
                self.finish(wait, "timeout", now)
            elif not could_hold(self.room(wait.key, now).hosts, wait.step.spec, 1):
                self.finish(wait, "rack-unavailable", now)
        self.waits = [wait for wait in self.waits if not wait.outcome]
        for step, wait in list(self.decisions.items()):
            if wait.is_obsolete():
                del self.decisions[step]

    def choose(
        self,
        hosts: list[Host],
        job: OwnedJob,
        step: StepTasks,
        task: Task,
        interference: InterferenceModel,
        now: float,
    ) -> Host | NearWait | None:
        """Return a host for a task, the wait that it is part of, or ``None``.

        :param hosts: open hosts, of which only those that were freed may be listed.
        """
        spec = step.spec
        if not self.applies_to(spec) or task.is_suspect():
            return choose_host(hosts, job, task, interference, now)
        wait = self.decisions.get(step)
        has_avoided_hosts = bool(task.failed_on or task.refused_on)
        if self.full_for is not step or has_avoided_hosts:
            near = [h for h in hosts if is_near(h, spec.data_rack)]
            near = list_usable(near, [task], interference, now)
            host = choose_host(near, job, task, interference, now)
            if host is not None:
                self.record_near_start(wait, now)
                return host
            if not has_avoided_hosts:
                self.full_for = step
        if wait is not None and not wait.outcome:
            return wait
        host = choose_host(hosts, job, task, interference, now)
        if wait is not None or host is None or is_near(host, spec.data_rack):
            return host
        key = (job.spec.queue.service, spec.data_rack)
        room = self.room(key, now)
        if not could_hold(room.hosts, spec, 1):
            return host
        size = share_of_host(spec, room.hosts[0])
        tasks = step.count_waiting()
        return self.consider(job, step, task, key, room, size, tasks, now) or host

    def choose_for_gang(
        self,
        hosts: list[Host],
        job: OwnedJob,
        step: StepTasks,
        interference: InterferenceModel,
        now: float,
    ) -> list[Host] | NearWait | None:
        """Return hosts for all tasks of a gang, its wait, or ``None``.

        :returns: the hosts in the order of the tasks; empty if there are not enough.
        """
        spec, service = step.spec, job.spec.queue.service
        members = [step.find(index) for index in range(spec.count)]
        suspect = any(task.is_suspect() for task in members)
        if suspect or not self.applies_to(spec):
            return plan_gang(hosts, job, members, interference, now)
        wait = self.decisions.get(step)
        listed = {host.name for host in hosts}
        racks: list[tuple[str, list[Host], int]] = []
        for rack, rack_hosts in self.list_racks(service, spec.data_rack, now):
            if not any(host.name in listed for host in rack_hosts):
                continue
            usable = list_usable(rack_hosts, members, interference, now)
            plan = []
            if usable:
                plan = plan_gang(usable, job, members, interference, now, True)
            if len(plan) == len(members):
                self.record_near_start(wait, now)
                return plan
            racks.append((rack, rack_hosts, len(members) - len(plan)))
        if wait is not None and not wait.outcome:
            return wait
        plan = plan_gang(hosts, job, members, interference, now)
        if wait is not None or not plan:
            return plan
        best: tuple[float, str, Room] | None = None
        for rack, rack_hosts, missing in racks:
            if not could_hold(rack_hosts, spec, spec.count):
                continue
            room = self.room((service, rack), now, rack_hosts)
            if best is None or room.rate > best[2].rate:
                best = (missing * share_of_host(spec, rack_hosts[0]), rack, room)
        if best is None:
            return plan
        size, rack, room = best
        key = (service, rack)
        saver = next((t for t in members if t.checkpoint), members[0])
        begun = self.consider(job, step, saver, key, room, size, 1, now)
        return begun or plan

    def consider(
        self,
        job: OwnedJob,
        step: StepTasks,
        task: Task,
        key: Key,
        room: Room,
        size: float,
        tasks: int,
        now: float,
    ) -> NearWait | None:
        """Decide whether a step that could start elsewhere waits, and return its wait.

        :param size: room that each of ``tasks`` needs, as a share of a host; the
            missing part of a gang counts as one task.
        """
        prospect = self.prospect(job, step, task, now)
        order = (job.spec.queue.priority, now + prospect.due_s)
        others = [wait for wait in self.waits if wait.key == key]
        ahead = sum(w.tasks * w.size for w in others if w.order <= order)
        expected_s = room.expected_s(ahead + (tasks - 1) * size, size, step.spec.gang)
        behind = [wait for wait in others if wait.order > order]
        expected_s += delay_behind_s(behind, size, room)
        wait_s = longest_wait_s(prospect)
        wait = NearWait(job, step, key, order, size, tasks, now, wait_s)
        self.decisions[step] = wait
        if wait_s <= 0.0 or expected_s > wait_s:
            wait.outcome = "not-worth"
            return None
        self.waits.append(wait)
        events.write(
            events.NEAR_WAIT_BEGUN,
            task=str(task.id),
            rack=key[1],
            limit_s=round(wait_s, 3),
            expected_s=round(expected_s, 3),
            run_s=round(prospect.run_s, 3),
            due_s=round(prospect.due_s, 3),
            ahead=round(ahead, 2),
            tasks=tasks,
        )
        return wait

    def prospect(
        self, job: OwnedJob, step: StepTasks, task: Task, now: float
    ) -> Prospect:
        """Return what is known of a task that could start elsewhere."""
        spec = job.spec
        run_s = self.run_times.expected_ms(step.spec) / 1000
        if task.checkpoint:
            run_s *= 1 - task.saved_percent / 100
        finish_ms: dict[int, float] = {step.number: 0.0}
        for number, later in enumerate(spec.steps):
            before = [finish_ms[n] for n in later.after if n in finish_ms]
            if before:
                finish_ms[number] = max(before) + self.run_times.expected_ms(later)
        began_ms = max(spec.accepted_at_ms, spec.start_at_ms)
        began_ms += step.occurrence * spec.period_ms
        age_s = self.wall_offset_s + now - began_ms / 1000
        target_s = job.target_ms / 1000
        idle_s = now - job.last_run_ended_at
        if job.inherited:
            # Its last run may have ended under an earlier owner. Its age is negative if
            # the clock of the entry that accepted it is ahead.
            idle_s = max(idle_s, age_s)
        if job.running:
            idle_s = 0.0
        return Prospect(
            run_s,
            self.far_factor,
            max(finish_ms.values()) / 1000,
            target_s - age_s,
            LATE_FACTOR * target_s - age_s,
            idle_s,
        )

    def room(self, key: Key, now: float, hosts: list[Host] | None = None) -> Room:
        """Return the open hosts of a rack, and how fast they become free.

        Hosts that leave, are lost, closed or failing are not open.
        """
        room = self.rooms.get(key)
        if room is not None:
            return room
        if hosts is None:
            service, rack = key
            hosts = [
                host
                for host in self.open_hosts.list(service, everywhere=True)
                if is_near(host, rack) and not host.health.is_failing(now)
            ]
        span_s = min(RATE_WINDOW_S, now - self.measured_since)
        span_s = max(span_s, MIN_RATE_SPAN_S)
        ends = [
            [end for end in self.ends.get(host.name, ()) if now - end.at < span_s]
            for host in hosts
        ]
        room = Room(hosts, ends, now, span_s)
        self.rooms[key] = room
        return room

    def list_racks(
        self, service: str, data_rack: str, now: float
    ) -> list[tuple[str, list[Host]]]:
        """Return the racks where a gang runs fastest, each with its open hosts."""
        found = self.racks.get((service, data_rack))
        if found is not None:
            return found
        racks: dict[str, list[Host]] = {}
        for host in self.open_hosts.list(service, everywhere=True):
            if host.health.is_failing(now):
                continue
            if data_rack and not is_near(host, data_rack):
                continue
            rack = data_rack or host.executor.rack
            if rack:
                racks.setdefault(rack, []).append(host)
        found = self.racks[service, data_rack] = sorted(racks.items())
        return found

    def record_near_start(self, wait: NearWait | None, now: float) -> None:
        """Record that a task, or a gang, of a step that waits starts near."""
        if wait is None or wait.outcome:
            return
        wait.started_near += 1
        wait.tasks -= 1
        if not wait.tasks:
            self.finish(wait, "near", now)
            self.waits.remove(wait)

    def finish(self, wait: NearWait, outcome: str, now: float) -> None:
        """End a wait; the tasks that are left start elsewhere."""
        wait.outcome = outcome
        wait.step.checked_at = float("-inf")
        events.write(
            events.NEAR_WAIT_ENDED,
            job=wait.job.spec.job_id,
            step=wait.step.key,
            rack=wait.key[1],
            waited_s=round(now - wait.began_at, 3),
            near=wait.started_near,
            left=wait.tasks,
            outcome=outcome,
        )


def delay_behind_s(behind: list[NearWait], size: float, room: Room) -> float:
    """Return the delay in seconds that a task adds to those that come after it.

    One that takes no more room than they do on average adds none: if it started
    elsewhere, one of them would wait in its place.
    """
    count = sum(wait.tasks for wait in behind)
    if not count or room.rate <= 0.0:
        return 0.0
    mean = sum(wait.tasks * wait.size for wait in behind) / count
    return count * max(0.0, size - mean) / room.rate


def is_near(host: Host, rack: str) -> bool:
    """Return whether a host is in the rack that holds the data."""
    return rack in host.executor.labels


def share_of_host(step: StepSpec, host: Host) -> float:
    """Return the share of a host that a task needs of its scarcest resource."""
    executor = host.executor
    needs = (step.cpu, step.memory_mb, step.accelerators)
    pairs = zip(needs, executor.capacity(), strict=True)
    return max((need / has for need, has in pairs if has), default=0.0)


def could_hold(hosts: Iterable[Host], step: StepSpec, count: int) -> bool:
    """Return whether the hosts, when empty, have room for ``count`` tasks of a step."""
    total = 0
    needs = (step.cpu, step.memory_mb, step.accelerators)
    for host in hosts:
        if step.label and step.label not in host.executor.labels:
            continue
        pairs = zip(needs, host.executor.capacity(), strict=True)
        fits = min((has // need for need, has in pairs if need), default=count)
        total += min(fits, step.spread_limit or fits)
    return total >= count


def list_usable(
    hosts: list[Host], tasks: list[Task], interference: InterferenceModel, now: float
) -> list[Host]:
    """Return the hosts with room that are worth more than a host elsewhere.

    :param tasks: a task, or all tasks of a gang.
    """
    avoided = {name for task in tasks for name in task.failed_on | task.refused_on}
    return [
        host
        for host in hosts
        if not shortage(host, tasks[0].step)
        and host.name not in avoided
        and not host.health.has_refused_lately(now)
        and not host.tests_suspect()
        and not unsuitable_reason(host, tasks[0].step, interference, now)
    ]


def plan_gang(
    hosts: list[Host],
    job: OwnedJob,
    tasks: list[Task],
    interference: InterferenceModel,
    now: float,
    partly: bool = False,
) -> list[Host]:
    """Return a host for each task of a gang, in their order.

    :param partly: whether to return the hosts of as many tasks as fit, in place of
        none, if not all of them do.
    """
    placed: list[Host] = []
    try:
        for task in tasks:
            limit = task.step.spread_limit
            free = [
                host
                for host in hosts
                if not limit or count_runs_on(host, task) + placed.count(host) < limit
            ]
            host = choose_host(free, job, task, interference, now)
            if host is None:
                break
            placed.append(host)
            host.reserve(task.step, 1)
    finally:
        for host in placed:
            host.reserve(tasks[0].step, -1)
    return placed if partly or len(placed) == len(tasks) else []
