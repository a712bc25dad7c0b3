"""Random load and faults for the whole system, reproducible from a seed."""

from __future__ import annotations

import random

import trio

ENTRIES = ("entry-1", "entry-2", "entry-3")
AGENTS = ("agent-1", "agent-2", "agent-3", "agent-4", "agent-5", "agent-6")
DOMAINS = ("fd-1", "fd-2", "fd-3")
RECOVERY_WAIT_S = 90.0
"""Seconds that the system gets to recover and finish its jobs after the last fault."""

RESTART_DELAY_S = 4.0
"""Half of the longest time in seconds until an ended process is started again."""


class Schedule:
    """One schedule of random jobs, requests and faults.

    :param steps: number of steps, each with some load and one fault.
    :param worker_restarts: whether workers also restart without their agents, or stop
        answering.
    :ivar unavailable: processes that were ended and not yet started again.
    :ivar trace: the faults with their times, printed when the test fails.
    """

    def __init__(self, world, seed, steps, worker_restarts=False):
        self.world = world
        self.random = random.Random(seed)
        self.steps = steps
        self.worker_restarts = worker_restarts
        self.jobs = []
        self.cancelled = set()
        self.request_count = 0
        self.unavailable = set()
        self.trace = []

    async def run(self):
        """Start all processes, run the steps, end all faults and wait for recovery."""
        world = self.world
        for name, domain in zip(ENTRIES, DOMAINS, strict=True):
            world.start_entry(name, domain)
        for number, name in enumerate(AGENTS):
            world.start_agent(name, DOMAINS[number % 3])
        await world.wait_ready(len(AGENTS))
        await world.declare_organisation()
        async with trio.open_nursery() as nursery:
            for _step in range(self.steps):
                await trio.sleep(self.random.uniform(0.2, 2.0))
                self.add_load(nursery)
                self.inject_fault(nursery)
            await trio.sleep(self.random.uniform(0, 5))
            self.end_faults()
            await trio.sleep(RECOVERY_WAIT_S)
            nursery.cancel_scope.cancel()

    def add_trace(self, text):
        self.trace.append(f"{trio.current_time():.2f} {text}")

    def add_load(self, nursery):
        """Submit a job, send requests and cancel a job in the background, at random."""
        entry = self.pick_entry()
        if entry is None:
            return
        if self.random.random() < 0.7:
            job = f"job-{len(self.jobs)}"
            self.jobs.append(job)
            fields = {"repeatable": self.random.random() < 0.7}
            fields["cpu"] = self.random.choice([1.0, 2.0, 4.0])
            run_s = self.random.uniform(1, 30)
            nursery.start_soon(self.submit, entry, job, run_s, fields)
        for _number in range(self.random.randint(0, 4)):
            self.request_count += 1
            method = self.random.choice(["GET", "POST"])
            marker = f"m{self.request_count}"
            nursery.start_soon(self.request, entry, marker, method)
        if self.jobs and self.random.random() < 0.1:
            nursery.start_soon(self.cancel, entry, self.random.choice(self.jobs))

    async def submit(self, entry, job, run_s, fields):
        """Submit a job, again through any entry until one accepts it."""
        while True:
            status = await self.world.submit(entry, job, run_s, **fields)
            if status == 200:
                return
            await trio.sleep(1)
            entry = self.pick_entry() or entry

    async def request(self, entry, marker, method):
        await self.world.request(entry, marker, method)

    async def cancel(self, entry, job):
        response = await self.world.http(entry, "DELETE", f"/api/jobs/{job}?author=ada")
        if response is not None and response.status == 200:
            self.cancelled.add(job)

    def pick_entry(self):
        live = [e for e in ENTRIES if e not in self.unavailable]
        return self.random.choice(live) if live else None

    def inject_fault(self, nursery):
        """Start one random fault."""
        choices = [
            (3, self.kill_process),
            (2, self.stop_process),
            (1, self.kill_host),
            (3, self.cut_link),
            (2, self.cut_log),
            (2, self.log_outage),
            (1, self.slow_log),
            (2, self.lose_log_answer),
            (2, self.disturb_worker),
            (2, self.disturb_executor),
            (2, self.change_domain),
            (2, self.heal_links),
        ]
        if self.worker_restarts:
            choices += [(4, self.restart_worker), (2, self.silence_worker)]
        weights = [weight for weight, _ in choices]
        _, action = self.random.choices(choices, weights)[0]
        nursery.start_soon(action)

    async def restart_later(self, name):
        await trio.sleep(self.random.uniform(0.5, RESTART_DELAY_S * 2))
        self.restart(name)

    def restart(self, name):
        if name not in self.unavailable:
            return
        self.unavailable.discard(name)
        if name in ENTRIES:
            self.world.start_entry(name, DOMAINS[ENTRIES.index(name)])
        else:
            self.world.history.left_at.pop(name, None)
            self.world.start_agent(name, DOMAINS[AGENTS.index(name) % 3])

    async def kill_process(self):
        name = self.reserve_process(ENTRIES + AGENTS)
        if name is None:
            return
        self.add_trace(f"kill {name}")
        self.world.kill(name)
        await self.restart_later(name)

    async def stop_process(self):
        name = self.reserve_process(ENTRIES + AGENTS)
        if name is None:
            return
        self.add_trace(f"stop {name}")
        await self.world.stop(name)
        await self.restart_later(name)

    async def kill_host(self):
        name = self.reserve_process(AGENTS)
        if name is None:
            return
        self.add_trace(f"kill host {name}")
        self.world.kill_host(name)
        await self.restart_later(name)

    def reserve_process(self, names):
        """Choose a process to end and mark it as unavailable.

        :returns: its name, or ``None`` if only two of ``names`` are available.
        """
        live = [name for name in names if name not in self.unavailable]
        if len(live) <= 2:
            return None
        name = self.random.choice(live)
        self.unavailable.add(name)
        return name

    async def cut_link(self):
        left = self.random.choice(ENTRIES)
        right = self.random.choice(ENTRIES + AGENTS)
        self.add_trace(f"cut {left} {right}")
        if self.random.random() < 0.5:
            self.world.network.cut(left, right)
        else:
            self.world.network.cut_one_way(left, right)

    async def cut_log(self):
        entry = self.random.choice(ENTRIES)
        self.add_trace(f"cut {entry} log")
        self.world.network.cut(entry, "log")

    async def heal_links(self):
        self.add_trace("restore links")
        self.world.network.heal()

    async def log_outage(self):
        self.add_trace("log down")
        self.world.log.faults.down = True
        await trio.sleep(self.random.uniform(1, 30))
        self.world.log.faults.down = False
        self.add_trace("log up")

    async def slow_log(self):
        self.world.log.faults.delay_s = self.random.uniform(0.1, 1.5)
        await trio.sleep(self.random.uniform(1, 10))
        self.world.log.faults.delay_s = 0.0

    async def lose_log_answer(self):
        self.world.log.faults.lose_answers += 1

    async def disturb_worker(self):
        worker = self.world.workers.get(self.random.choice(AGENTS))
        if worker is None:
            return
        worker.faults.lose_answers = self.random.randint(1, 4)
        worker.faults.delay_s = self.random.choice([0.0, 0.5, 4.0])
        await trio.sleep(self.random.uniform(1, 8))
        worker.faults.delay_s = 0.0

    async def restart_worker(self):
        name = self.random.choice(AGENTS)
        if name in self.world.workers:
            self.add_trace(f"restart worker of {name}")
            self.world.workers[name].restart()

    async def silence_worker(self):
        name = self.random.choice(AGENTS)
        worker = self.world.workers.get(name)
        if worker is None:
            return
        self.add_trace(f"silence worker of {name}")
        worker.faults.down = True
        await trio.sleep(self.random.uniform(1, 20))
        worker.faults.down = False

    async def disturb_executor(self):
        executor = self.world.executors[self.random.choice(AGENTS)]
        executor.lose_answers = self.random.randint(0, 3)
        executor.hang = self.random.random() < 0.3
        await trio.sleep(self.random.uniform(1, 5))
        executor.hang = False

    async def change_domain(self):
        entry = self.pick_entry()
        if entry is None:
            return
        domain = self.random.choice(DOMAINS)
        state = self.random.choice(["out", "in"])
        try:
            await self.world.set_domain(entry, domain, state)
            self.add_trace(f"domain {domain} {state}")
        except (AssertionError, AttributeError):
            self.add_trace("domain change not confirmed")

    def end_faults(self):
        """End all faults and start all processes that have ended."""
        self.add_trace("end all faults")
        world = self.world
        for name in ENTRIES + AGENTS:
            world.history.undisturbed_since[name] = trio.current_time()
        world.network.heal()
        world.log.faults.down = False
        world.log.faults.delay_s = 0.0
        world.log.faults.lose_answers = 0
        for worker in world.workers.values():
            worker.faults.lose_answers = 0
            worker.faults.delay_s = 0.0
            worker.faults.down = False
        for executor in world.executors.values():
            executor.hang = False
            executor.lose_answers = 0
        for name in list(self.unavailable):
            if world.processes[name].ended.is_set():
                self.restart(name)
