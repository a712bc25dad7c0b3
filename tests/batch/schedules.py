"""Random faults against the whole batch engine, reproducible by seed.

``python -m tests.batch.schedules FIRST LAST`` plays a range of seeds; with the option
``latency`` messages take time and cross, with ``same-id`` some executors restart
under the id that they had, and with ``deadly`` some jobs have a task that crashes each
executor that starts it. With ``odd`` agents get false and repeated announcements, and
the store goes away just after it has carried out appends without an answer. Each
combination of options has schedules of its own.
"""

from __future__ import annotations

import sys
from random import Random

import msgspec
import trio

from rattanwing.batch.messages import Answer
from rattanwing.batch.model import JobState, StepSpec
from tests.batch.world import QUEUE, job, play

FAULT_COUNT = 25
MEAN_JOB_INTERVAL_S = 0.7
RECOVERY_LIMIT_S = 60.0
DEADLY_PREFIX = "deadly-"
DEADLY_JOBS = 4
DEADLY_INTERVAL_S = 4.0
DEADLY_STARTS_LIMIT = 3
"""A deadly task must not be started this often after three executors have crashed."""


class FaultScenario:
    """The random faults and jobs of one seed, and the jobs' outcomes.

    :param faults: time in seconds and name of each fault that was injected.
    :param kinds: names of the faults to choose from.
    :param same_id: whether executors may restart under the id that they had.
    :param one_process: whether at most one process of each name runs. Without options
        there may be two, when a fault restarts what another one has stopped.
    :param deadly: whether some jobs have a task that crashes its executors.
    """

    def __init__(self, world, seed, kinds, same_id, deadly=False):
        self.world = world
        self.kinds = kinds
        self.same_id = same_id
        self.one_process = kinds is not FAULTS
        self.deadly = deadly
        self.random = Random(seed)
        self.accepted = set()
        self.cancelled = set()
        self.faults = []
        self.number = 0

    async def submit_deadly_jobs(self):
        """Submit jobs of which the first task crashes each executor that starts it."""
        for executor in self.world.executors:
            executor.is_crashing = is_deadly_task
        step = StepSpec(2, cpu=700, memory_mb=50)
        for number in range(DEADLY_JOBS):
            spec = job(f"{DEADLY_PREFIX}{number}", steps=(step,))
            await trio.sleep(DEADLY_INTERVAL_S)
            for entry in list(self.world.entries.values()):
                with trio.move_on_after(3):
                    if await entry.relaying_service.submit(spec, 2.0) is (
                        Answer.ACCEPTED
                    ):
                        break

    def make_job(self):
        """Return a random job."""
        self.number += 1
        steps = [
            StepSpec(
                self.random.randint(1, 5),
                cpu=self.random.choice((200, 700, 1500)),
                memory_mb=self.random.choice((50, 900)),
                saves_checkpoints=self.random.random() < 0.5,
                spread_limit=self.random.choice((0, 0, 1)),
                best_effort=self.random.random() < 0.2,
                gang=self.random.random() < 0.15,
                after=(number - 1,) if number else (),
            )
            for number in range(self.random.randint(1, 3))
        ]
        steps = [
            step
            if not (step.spread_limit and step.gang)
            else without_spread_limit(step)
            for step in steps
        ]
        return job(f"job-{self.number}", steps=steps)

    async def submit_jobs(self):
        """Submit jobs to random entries, sometimes twice, and cancel some."""
        while True:
            await trio.sleep(MEAN_JOB_INTERVAL_S * self.random.random() * 2)
            if not self.world.entries:
                continue
            spec = self.make_job()
            for _ in range(self.random.choice((1, 1, 2))):
                await self.submit(spec)
            if self.random.random() < 0.15:
                self.world.nursery.start_soon(self.cancel, spec.job_id)

    async def submit(self, spec):
        """Submit a job to a random entry."""
        if not self.world.entries:
            return
        name = self.random.choice(list(self.world.entries))
        entry = self.world.entries[name]
        with trio.move_on_after(3):
            answer = await entry.relaying_service.submit(spec, 2.0)
            if answer is Answer.ACCEPTED:
                self.accepted.add(spec.job_id)

    async def cancel(self, job_id):
        """Cancel a job after a random delay."""
        await trio.sleep(self.random.random())
        if not self.world.entries:
            return
        entry = self.random.choice(list(self.world.entries.values()))
        self.cancelled.add(job_id)
        with trio.move_on_after(3):
            await entry.relaying_service.cancel(job_id, QUEUE, 2.0)

    async def inject_fault(self):
        """Inject one random fault; most end after a random time."""
        kind = self.random.choice(self.kinds)
        self.faults.append((round(trio.current_time(), 2), kind))
        await getattr(self, kind)()

    def duration(self):
        return self.random.choice((0.5, 2.0, 4.0, 8.0, 12.0))

    async def kill_entry(self):
        alive = list(self.world.entries)
        if not alive:
            return
        name = self.random.choice(alive)
        self.world.kill(name)
        await trio.sleep(self.random.choice((0.5, 3.0)))
        await self.start_entry(name)

    async def kill_owner(self):
        owner = self.world.owner()
        if owner is None or owner.settings.name not in self.world.scopes:
            return
        self.world.kill(owner.settings.name)
        await trio.sleep(self.random.choice((0.5, 5.0)))
        await self.start_entry(owner.settings.name)

    async def kill_agent(self):
        index = self.random.randrange(len(self.world.executors))
        if f"agent-{index}" not in self.world.scopes:
            return
        self.world.kill(f"agent-{index}")
        await trio.sleep(self.random.choice((0.3, 2.0, 11.0)))
        await self.start_agent(index)

    async def kill_all(self):
        for name in list(self.world.scopes):
            self.world.kill(name)
        await trio.sleep(self.random.choice((0.5, 3.0)))
        for index in range(len(self.world.executors)):
            await self.start_agent(index)
        for name in self.world.entry_names:
            await self.start_entry(name)

    async def start_entry(self, name):
        """Start an entry, unless another fault has started it already."""
        if not (self.one_process and name in self.world.scopes):
            await self.world.start_entry(name)

    async def start_agent(self, index):
        """Start an agent, unless another fault has started it already."""
        if not (self.one_process and f"agent-{index}" in self.world.scopes):
            await self.world.start_agent(index)

    async def crash_executor(self):
        executor = self.random.choice(self.world.executors)
        if not executor.up:
            return
        executor.crash()
        await trio.sleep(self.random.choice((0.2, 3.0, 10.0)))
        self.restart(executor)

    async def replace_executor(self):
        """Crash an executor, and start it again almost at once."""
        executor = self.random.choice(self.world.executors)
        if not executor.up:
            return
        executor.crash()
        await trio.sleep(self.random.choice((0.0, 0.02, 0.1, 0.4, 1.0)))
        self.restart(executor)

    async def replace_executor_under_load(self):
        """Replace an executor while the tasks of a wide job are being placed."""
        self.number += 1
        wide = StepSpec(10, cpu=200, memory_mb=50)
        spec = job(f"job-{self.number}", steps=[wide])
        self.world.nursery.start_soon(self.submit, spec)
        await trio.sleep(self.random.uniform(0, 0.08))
        await self.replace_executor()

    def restart(self, executor):
        """Start an executor, under the same id only if the schedule has that."""
        executor.restart(self.same_id and self.random.random() < 0.7)

    async def disconnect_agent(self):
        name = f"agent-{self.random.randrange(len(self.world.executors))}"
        self.world.disconnected.add(name)
        await trio.sleep(self.duration())
        self.world.disconnected.discard(name)

    async def disconnect_entry(self):
        name = self.random.choice(self.world.entry_names)
        self.world.disconnected.add(name)
        await trio.sleep(self.duration())
        self.world.disconnected.discard(name)

    async def make_executor_unreachable(self):
        executor = self.random.choice(self.world.executors)
        executor.reachable = False
        await trio.sleep(self.duration())
        executor.reachable = True

    async def disconnect_store_from_entry(self):
        name = self.random.choice(self.world.entry_names)
        self.world.store.disconnected_clients.add(name)
        await trio.sleep(self.duration())
        self.world.store.disconnected_clients.discard(name)

    async def disconnect_store_from_owner(self):
        owner = self.world.owner()
        if owner is None:
            return
        self.world.store.disconnected_clients.add(owner.settings.name)
        await trio.sleep(self.duration())
        self.world.store.disconnected_clients.discard(owner.settings.name)

    async def disconnect_store(self):
        names = {*self.world.entry_names, *self.world.agents}
        self.world.store.disconnected_clients |= names
        await trio.sleep(self.duration())
        self.world.store.disconnected_clients -= names

    async def lose_answers(self):
        self.world.store.lose_answers += self.random.randint(1, 5)
        self.world.store.late_append_delay_s = self.random.choice((0.0, 2.0, 5.0))

    async def lose_answers_before_outage(self):
        """Lose the answer to the next append, and keep all from the store after it."""
        self.world.store.late_append_delay_s = 0.0
        self.world.store.lose_answers = 1
        while self.world.store.lose_answers:
            await trio.sleep(0.005)
        await self.disconnect_store()

    async def announce_falsely(self):
        """Have an agent hear of an executor that is not there, or is no more."""
        index = self.random.randrange(len(self.world.executors))
        view = self.world.executors[index].view()
        name, _, number = view.incarnation.rpartition("@")
        changes = self.random.choice(
            (
                {"incarnation": "other@1000000", "executor_id": "other"},
                {"incarnation": f"{name}@{int(number) + 1000}"},
                {"incarnation": f"{name}@{int(number) - 1}"},
                {"service": "elsewhere"},
            )
        )
        false = msgspec.structs.replace(view, **changes)
        for _ in range(self.random.choice((1, 1, 3))):
            number = self.random.choice((1, 10**6))
            self.world.deliver_announcement(f"agent-{index}", false, number)
            await trio.sleep(self.random.choice((0.0, 0.02)))

    async def expire_history(self):
        for topic in self.world.store.topics.values():
            topic.expire_records()

    async def delay_starts(self):
        executor = self.random.choice(self.world.executors)
        executor.late_starts.count += self.random.randint(1, 4)
        executor.late_starts.delay_s = self.random.choice((1.0, 4.0, 8.0))

    async def drain(self):
        executor = self.random.choice(self.world.executors)
        executor.draining = True
        await trio.sleep(self.duration())
        executor.draining = False

    async def run(self):
        """Inject the faults, end them, and wait for every accepted job."""
        world = self.world
        world.durations = lambda task: 0.3 + (stable_hash(task) % 40) / 10
        await trio.sleep(2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.submit_jobs)
            if self.deadly:
                nursery.start_soon(self.submit_deadly_jobs)
            async with trio.open_nursery() as faults:
                for _ in range(FAULT_COUNT):
                    faults.start_soon(self.inject_fault)
                    await trio.sleep(self.random.choice((0.1, 0.5, 2.0)))
            nursery.cancel_scope.cancel()
        world.store.lose_answers = 0
        for executor in world.executors:
            executor.late_starts.count = 0
        with trio.move_on_after(RECOVERY_LIMIT_S):
            while self.find_unfinished():
                await trio.sleep(0.2)
        self.unfinished = self.find_unfinished()
        await trio.sleep(3)

    def find_unfinished(self):
        """Return the jobs that were accepted, not cancelled, and are not completed."""
        wanted = self.accepted - self.cancelled
        return {job_id for job_id in wanted if not self.is_done(job_id)}

    def is_done(self, job_id):
        views = [e.replica.jobs.get(job_id) for e in self.world.entries.values()]
        return bool(views) and all(
            view is not None and view.state is JobState.COMPLETED for view in views
        )


FAULTS = [
    "kill_entry",
    "kill_owner",
    "kill_agent",
    "kill_all",
    "crash_executor",
    "disconnect_agent",
    "disconnect_entry",
    "make_executor_unreachable",
    "disconnect_store_from_entry",
    "disconnect_store_from_owner",
    "disconnect_store",
    "lose_answers",
    "expire_history",
    "delay_starts",
    "drain",
]
REPLACING_FAULTS = [
    *FAULTS,
    *["replace_executor"] * 3,
    *["replace_executor_under_load"] * 8,
    *["delay_starts"] * 2,
]
ODD_FAULTS = [
    *REPLACING_FAULTS,
    *["announce_falsely"] * 20,
    *["lose_answers_before_outage"] * 6,
]


def without_spread_limit(step):
    """Return a gang step without a limit of tasks on one host."""
    return StepSpec(step.count, cpu=200, memory_mb=50, gang=True, after=step.after)


def stable_hash(text):
    """Return a hash of a text that is the same in every process."""
    return sum(ord(letter) * 31**place for place, letter in enumerate(text[-6:]))


def overcommitted(world):
    """Return the tasks whose start reserved more than the CPU of a host."""
    found = []
    for run in world.history:
        concurrent = [
            other
            for other in world.history
            if other.executor == run.executor
            and other.started_at <= run.started_at
            and (other.ended_at is None or other.ended_at > run.started_at)
        ]
        if sum(world.cpu_of(other.task) for other in concurrent) > 4000:
            found.append(run.task)
    return found


def is_deadly_task(task):
    return task.startswith(DEADLY_PREFIX) and task.endswith(".0.0.0")


def started_too_often(world):
    """Return the deadly tasks that were started too often after three crashes."""
    found = []
    for task in sorted({run.task for run in world.history if is_deadly_task(run.task)}):
        runs = [run for run in world.history if run.task == task]
        crashed_at = sorted(run.ended_at for run in runs if run.crashed)
        later = [
            run for run in runs if run.started_at > [*crashed_at, 1e9, 1e9, 1e9][2]
        ]
        if len(later) >= DEADLY_STARTS_LIMIT:
            found.append(task)
    return found


def play_seed(seed, latency=False, same_id=False, deadly=False, odd=False):
    """Play one seed; return the violated guarantees and the scenario.

    :param latency: whether messages take time, and cross.
    :param same_id: whether executors may restart under the id that they had.
    :param deadly: whether some jobs have a task that crashes its executors.
    :param odd: whether there are false announcements, and outages that follow appends
        without an answer.
    """
    fault_scenarios = []
    kinds = REPLACING_FAULTS if latency or same_id else FAULTS
    if odd:
        kinds = ODD_FAULTS

    async def scenario(world):
        fault_scenario = FaultScenario(world, seed, kinds, same_id, deadly)
        fault_scenarios.append(fault_scenario)
        await fault_scenario.run()

    world = play(scenario, entries=3, hosts=5, seed=seed, latency=latency)
    fault_scenario = fault_scenarios[0]
    violations = []
    if world.overlaps():
        violations.append(f"two runs at once: {world.overlaps()[:3]}")
    if world.reruns():
        violations.append(f"run again after its end: {world.reruns()[:3]}")
    if fault_scenario.unfinished:
        violations.append(f"not finished: {sorted(fault_scenario.unfinished)[:5]}")
    if overcommitted(world):
        violations.append(f"overcommitted: {overcommitted(world)[:3]}")
    if started_too_often(world):
        violations.append(f"started too often: {started_too_often(world)[:3]}")
    return violations, fault_scenario


def main():
    first, last = int(sys.argv[1]), int(sys.argv[2])
    options = sys.argv[3:]
    failed = 0
    for seed in range(first, last + 1):
        violations, fault_scenario = play_seed(
            seed,
            latency="latency" in options,
            same_id="same-id" in options,
            deadly="deadly" in options,
            odd="odd" in options,
        )
        print(
            seed, len(fault_scenario.accepted), "jobs", violations or "ok", flush=True
        )
        if violations:
            failed += 1
            print("   ", fault_scenario.faults)
    print(f"{last - first + 1 - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
