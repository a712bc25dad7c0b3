"""Admission of requests to the executor's slots.

Requests that find no free slot wait in a bounded queue ordered by priority and
deadline.
"""

from __future__ import annotations

import heapq

import msgspec
import trio

from rattanwing.errors import RejectedError

FIRST_DEFERRABLE_PRIORITY = 5
"""Lowest priority number of deferrable requests.

Requests with this number or a higher one never hold all slots together if there is
more than one, so that one slot stays free for requests with lower numbers.
"""


class Waiter(msgspec.Struct, order=True):
    """A queued request. Requests are served in the order of these fields."""

    priority: int
    deadline: float
    sequence: int


class Admission:
    """Grants the executor's slots by priority, then by deadline.

    A request with a lower priority number, or with the same number and an earlier
    deadline, is more urgent.

    :param slots: number of requests that the executor handles at once.
    :param queue_limit: maximum number of waiting requests.
    :param decided_events: set when a queued request is decided, by sequence number. The
        entry of a rejected request is removed before its event is set.
    """

    __slots__ = (
        "slots",
        "queue_limit",
        "busy",
        "busy_deferrable",
        "queue",
        "decided_events",
        "sequence",
        "closed",
    )

    def __init__(self, slots: int, queue_limit: int) -> None:
        self.slots = slots
        self.queue_limit = queue_limit
        self.busy = 0
        self.busy_deferrable = 0
        self.queue: list[Waiter] = []
        self.decided_events: dict[int, trio.Event] = {}
        self.sequence = 0
        self.closed = False

    def count_queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self.queue)

    def max_deferrable(self) -> int:
        """Return how many slots deferrable requests may hold together."""
        return max(1, self.slots - 1)

    def has_free_slot(self, priority: int) -> bool:
        """Return whether a slot is free for a request of this priority.

        Deferrable requests leave one slot free if there is more than one, so that
        other requests need not wait for a long deferrable one to finish.
        """
        if self.busy >= self.slots:
            return False
        return (
            priority < FIRST_DEFERRABLE_PRIORITY
            or self.busy_deferrable < self.max_deferrable()
        )

    async def acquire(self, priority: int, now: float, deadline: float) -> None:
        """Wait for a slot.

        :param now: current time on the clock of ``deadline``, in seconds.
        :raises RejectedError: when the queue is full, the deadline passes or the
            agent is shutting down; the request has not run.
        """
        if self.closed:
            raise RejectedError("leaving", "the executor is leaving")
        if self.has_free_slot(priority) and not self.must_wait(priority, deadline):
            self.occupy_slot(priority)
            return
        waiter = self.enqueue(priority, deadline)
        decided = self.decided_events[waiter.sequence]
        self.grant_waiting()
        with trio.move_on_after(max(0.0, deadline - now)):
            await decided.wait()
        if not decided.is_set():
            self.remove_waiter(waiter)
            raise RejectedError("deadline", "no slot before the deadline")
        if waiter.sequence in self.decided_events:
            del self.decided_events[waiter.sequence]
            return
        raise RejectedError("queue-full", "a more urgent request took the place")

    def must_wait(self, priority: int, deadline: float) -> bool:
        """Return whether a queued request must be served before a new one.

        This is so if a slot is free for the first queued request and that request is
        at least as urgent, by priority number and then deadline.
        """
        if not self.queue or not self.has_free_slot(self.queue[0].priority):
            return False
        first = self.queue[0]
        return (first.priority, first.deadline) <= (priority, deadline)

    def enqueue(self, priority: int, deadline: float) -> Waiter:
        """Queue a request; if the queue is full, reject the least urgent one.

        :raises RejectedError: when no queued request is less urgent than this one.
        """
        self.sequence += 1
        waiter = Waiter(priority, deadline, self.sequence)
        if len(self.queue) >= self.queue_limit:
            last = max(self.queue, default=waiter)
            if last <= waiter:
                raise RejectedError("queue-full", "the queue is full")
            self.reject_waiter(last)
        self.decided_events[waiter.sequence] = trio.Event()
        heapq.heappush(self.queue, waiter)
        return waiter

    def reject_waiter(self, waiter: Waiter) -> None:
        """Reject a queued request to make room for a more urgent one."""
        event = self.decided_events.pop(waiter.sequence)
        self.remove_waiter(waiter)
        event.set()

    def remove_waiter(self, waiter: Waiter) -> None:
        """Remove a request from the queue."""
        self.decided_events.pop(waiter.sequence, None)
        self.queue.remove(waiter)
        heapq.heapify(self.queue)

    def occupy_slot(self, priority: int) -> None:
        """Count a slot as occupied by a request of this priority."""
        self.busy += 1
        if priority >= FIRST_DEFERRABLE_PRIORITY:
            self.busy_deferrable += 1

    def release(self, priority: int) -> None:
        """Free a slot and grant it to the first queued request that may use it."""
        self.busy -= 1
        if priority >= FIRST_DEFERRABLE_PRIORITY:
            self.busy_deferrable -= 1
        self.grant_waiting()

    def grant_waiting(self) -> None:
        """Grant free slots to queued requests, in the order of the queue."""
        while self.queue and self.has_free_slot(self.queue[0].priority):
            waiter = heapq.heappop(self.queue)
            self.occupy_slot(waiter.priority)
            self.decided_events[waiter.sequence].set()

    def close(self) -> None:
        """Reject new requests; queued and running ones continue."""
        self.closed = True
