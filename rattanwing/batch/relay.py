"""Calls that another entry answers, for an entry that does not reach the store.

Load: the store turns some machines away for seconds and serves the others, while
callers' open connections stay with their entry. A job's id makes it one job, so
handing it in at two entries is safe.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.messages import Answer
from rattanwing.errors import PeerLostError, ProtocolError, RejectedError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from rattanwing.batch import records
    from rattanwing.batch.links import Dial
    from rattanwing.batch.model import JobSpec, JobState
    from rattanwing.batch.replica import Directory
    from rattanwing.batch.service import JobService
    from rattanwing.peer.stream import ByteMessageStream

RELAY_AFTER_S = 0.6
"""A store that has not taken a record after this time may be out of reach from
here alone; it answers within 0.35 s in its slow phases."""

MAX_PEERS = 3
"""Entries that are asked for one call."""

NEXT_PEER_AFTER_S = 0.25
"""Between asking one and the next: a dead machine does not answer, and a living
one does within some round trips."""

RELAY_TIMEOUT_S = 1.5
"""Longest wait for all of them: half of what callers usually wait."""


DEFINITE_ANSWERS = (Answer.ACCEPTED, Answer.NO_SUCH_JOB)
"""Answers that hold whatever another entry may do with the same call."""


class RelayingService:
    """The service that callers see: this entry's own, and others' behind it."""

    __slots__ = ("node", "local", "directory", "clock", "random", "dial")

    def __init__(
        self,
        node: str,
        local: JobService,
        directory: Directory,
        clock: Callable[[], float],
        random: Random,
        dial: Dial,
    ) -> None:
        self.node = node
        self.local = local
        self.directory = directory
        self.clock = clock
        self.random = random
        self.dial = dial

    async def submit(self, spec: JobSpec, wait_s: float) -> Answer:
        """Hand a job in here, or at another entry.

        :raises RejectedError: when the job makes no sense.
        """
        ends_at = self.clock() + wait_s
        first = Answer.NOT_READY
        if not self.local.is_store_unreachable(self.clock()):
            first = await self.local.submit(spec, min(wait_s, RELAY_AFTER_S))
            if first is Answer.ACCEPTED:
                return first
        left_s = ends_at - self.clock()
        relayed = await self.relay(messages.RelayedSubmit(spec, left_s), left_s)
        if relayed is not None and relayed.answer is Answer.ACCEPTED:
            return Answer.ACCEPTED
        if first is Answer.UNKNOWN_OUTCOME:
            return await self.local.submit(spec, max(0.0, ends_at - self.clock()))
        return relayed.answer if relayed is not None else first

    async def cancel(self, job_id: str, queue: str, wait_s: float) -> Answer:
        """Cancel a job here, or at another entry."""
        ends_at = self.clock() + wait_s
        first = Answer.NOT_READY
        if not self.local.is_store_unreachable(self.clock()):
            first = await self.local.cancel(job_id, queue, min(wait_s, RELAY_AFTER_S))
            if first in (Answer.ACCEPTED, Answer.NO_SUCH_JOB):
                return first
        left_s = ends_at - self.clock()
        call = messages.RelayedCancel(job_id, queue, left_s)
        relayed = await self.relay(call, left_s)
        if relayed is not None and relayed.answer is not Answer.REFUSED:
            return relayed.answer
        return first

    async def find(self, job_id: str, queue: str) -> JobState | Answer:
        """Return a job's state, from another entry where this one's copy is old."""
        if not self.local.is_store_unreachable(self.clock()):
            return await self.local.find(job_id, queue)
        call = messages.RelayedFind(job_id, queue)
        relayed = await self.relay(call, RELAY_TIMEOUT_S)
        if relayed is None:
            return await self.local.find(job_id, queue)
        return relayed.answer if relayed.state is None else relayed.state

    def count_queued(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have no task started."""
        return self.local.count_queued(queue)

    async def relay(
        self, call: messages.Message, wait_s: float
    ) -> messages.RelayedAnswer | None:
        """Ask other entries, each once the one before has failed or is slow.

        :returns: the first answer of an entry that is able to answer, or any other
            one; an unknown outcome where an entry was asked and did not answer;
            ``None`` where no entry was reached.
        """
        addresses = [a for n, a in self.directory.entries.items() if n != self.node]
        self.random.shuffle(addresses)
        found: list[messages.RelayedAnswer] = []
        unresolved: set[str] = set()
        with trio.move_on_after(max(0.0, min(wait_s, RELAY_TIMEOUT_S))):
            async with trio.open_nursery() as nursery:
                for address in addresses[:MAX_PEERS]:
                    ended = trio.Event()
                    nursery.start_soon(
                        self.relay_to_peer,
                        address,
                        call,
                        found,
                        unresolved,
                        ended,
                        nursery,
                    )
                    with trio.move_on_after(NEXT_PEER_AFTER_S):
                        await ended.wait()
        definite = [a for a in found if a.answer in DEFINITE_ANSWERS]
        if definite:
            return definite[0]
        if unresolved:
            return messages.RelayedAnswer(Answer.UNKNOWN_OUTCOME)
        answer = next((a for a in found if a.answer is not Answer.NOT_READY), None)
        return answer or next(iter(found), None)

    async def relay_to_peer(
        self,
        address: records.EntryAddress,
        call: messages.Message,
        found: list[messages.RelayedAnswer],
        unresolved: set[str],
        ended: trio.Event,
        nursery: trio.Nursery,
    ) -> None:
        """Ask one entry; its answer ends the nursery, unless it is not able to."""
        taken: list[messages.RelayedAnswer] = []

        async def exchange(stream: ByteMessageStream) -> None:
            unresolved.add(address.node)
            try:
                await stream.send(messages.encode(call))
                answer = messages.decode(await stream.receive())
            except (PeerLostError, ProtocolError) as error:
                events.write(events.PEER_LOST, peer=address.node, reason=str(error))
                return
            if isinstance(answer, messages.RelayedAnswer):
                taken.append(answer)
                unresolved.discard(address.node)

        try:
            await self.dial(address.address, exchange)
        except PeerLostError as error:
            events.write(events.PEER_LOST, peer=address.node, reason=str(error))
        found += taken
        ended.set()
        if not taken:
            return
        events.write(
            events.CALL_RELAYED,
            call=type(call).__name__,
            peer=address.node,
            answer=taken[0].answer.value,
        )
        if taken[0].answer is not Answer.NOT_READY:
            nursery.cancel_scope.cancel()

    async def accept(self, stream: ByteMessageStream) -> None:
        """Answer one relayed call of another entry."""
        try:
            call = messages.decode(await stream.receive())
            answer = await self.answer(call)
            await stream.send(messages.encode(answer))
            await stream.receive()
        except ProtocolError as error:
            events.write(events.PEER_MESSAGE_REFUSED, error=error)
        except PeerLostError:
            return

    async def answer(self, call: messages.Message) -> messages.RelayedAnswer:
        """Answer a call by this entry's own service alone."""
        if self.local.is_store_unreachable(self.clock()):
            return messages.RelayedAnswer(Answer.NOT_READY)
        try:
            match call:
                case messages.RelayedSubmit():
                    found = await self.local.submit(call.spec, call.wait_s)
                case messages.RelayedCancel():
                    found = await self.local.cancel(
                        call.job_id, call.queue, call.wait_s
                    )
                case messages.RelayedFind():
                    found = await self.local.find(call.job_id, call.queue)
                case _:
                    raise ProtocolError(f"no relayed call: {type(call).__name__}")
        except RejectedError:
            return messages.RelayedAnswer(Answer.REFUSED)
        if isinstance(found, Answer):
            return messages.RelayedAnswer(found)
        return messages.RelayedAnswer(Answer.ACCEPTED, found)
