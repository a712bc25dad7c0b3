"""Relaying of callers' requests to other entries when the store is unreachable.

The store may refuse some machines for seconds while it serves others, and callers
keep their open connections to an entry that is refused. Submitting one job through
two entries is safe, because the store keeps one job per id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from rattanwing import events
from rattanwing.batch import messages
from rattanwing.batch.messages import Answer
from rattanwing.batch.model import check_job
from rattanwing.batch.returns import MAX_RETRY_AFTER_S, retry_after_s
from rattanwing.errors import PeerLostError, ProtocolError, RejectedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from rattanwing.batch import records
    from rattanwing.batch.connections import Dial
    from rattanwing.batch.model import JobSpec, JobState, QueueIdentity
    from rattanwing.batch.replica import Directory
    from rattanwing.batch.service import JobService
    from rattanwing.peer.stream import ByteMessageStream

RELAY_AFTER_S = 0.6
"""A call that is not stored within this time is relayed as well, because the store
may be unreachable from this entry only. The store answers within 0.35 s in its slow
phases."""

MAX_PEERS = 3
"""Greatest number of entries that one call is relayed to."""

NEXT_PEER_AFTER_S = 0.25
"""Wait for a peer's answer before the next peer is called too. A peer that is up
answers within a few round trips; a dead machine does not answer at all."""

RELAY_TIMEOUT_S = 1.5
"""Longest wait for all peers together: half of what callers usually wait."""

RESOLVE_PAUSE_S = 0.1
"""Pause before a call whose outcome is unknown is made again, in seconds; a few round
trips between entries. Each further pause is twice as long, but the call is made once
more at this time before its caller stops waiting."""

MAX_RESOLVE_PAUSE_S = 1.0
"""Longest such pause, in seconds. Some callers wait far longer than an outage lasts."""

DEFINITE_ANSWERS = (Answer.ACCEPTED, Answer.NO_SUCH_JOB)
"""Answers that stay true whatever other entries do with the same call."""


class RelayingService:
    """Serves callers through this entry or, without the store, through other entries.

    :param node: this entry's name.
    :param local: this entry's own service.
    """

    __slots__ = (
        "node",
        "local",
        "directory",
        "clock",
        "random",
        "dial",
    )

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
        """Submit a job here or, if it is not accepted in time, at another entry.

        :param wait_s: how long the caller waits for the answer.
        :raises RejectedError: when the job's steps are invalid.
        """
        check_job(spec)
        return await self.resolve(
            lambda left_s: self.local.submit(spec, left_s),
            lambda left_s: messages.RelayedSubmit(spec, left_s),
            wait_s,
            unknown=self.local.may_be_stored(spec.job_id),
        )

    async def cancel(self, job_id: str, queue: QueueIdentity, wait_s: float) -> Answer:
        """Cancel a job here or, if that is not confirmed in time, at another entry.

        :param wait_s: how long the caller waits for the answer.
        """
        return await self.resolve(
            lambda left_s: self.local.cancel(job_id, queue, left_s),
            lambda left_s: messages.RelayedCancel(
                job_id, queue.name, left_s, queue.http_host, queue.path_prefix
            ),
            wait_s,
        )

    async def resolve(
        self,
        carry_out: Callable[[float], Awaitable[Answer]],
        make_call: Callable[[float], messages.Message],
        wait_s: float,
        unknown: bool = False,
    ) -> Answer:
        """Make a call until its outcome is known or its caller stops waiting.

        Calls may be repeated: the store keeps one job per id. After an unknown outcome
        no refusal is final, as the call that had no answer may have been carried out.

        :param carry_out: makes the call here, given the seconds that are left.
        :param make_call: returns the message that relays it, given the same.
        :param unknown: whether the outcome of an earlier such call is not known.
        """
        ends_at = self.clock() + wait_s
        pause_s = RESOLVE_PAUSE_S
        while True:
            answer = await self.try_entries(carry_out, make_call, ends_at)
            if answer in DEFINITE_ANSWERS:
                return answer
            if answer is not Answer.UNKNOWN_OUTCOME and not unknown:
                return answer
            unknown = True
            last_at = ends_at - RESOLVE_PAUSE_S
            if self.clock() >= last_at:
                return Answer.UNKNOWN_OUTCOME
            await trio.sleep(min(pause_s, last_at - self.clock()))
            pause_s = min(MAX_RESOLVE_PAUSE_S, 2 * pause_s)

    async def try_entries(
        self,
        carry_out: Callable[[float], Awaitable[Answer]],
        make_call: Callable[[float], messages.Message],
        ends_at: float,
    ) -> Answer:
        """Make a call once: at the owner if the store is slow, else here or elsewhere.

        :param ends_at: when the caller stops waiting.
        """
        collector = self.find_collector(self.clock())
        unanswered = False
        if collector is not None:
            left_s = max(0.0, ends_at - self.clock())
            collected = await self.relay(make_call(left_s), left_s, [collector])
            match collected and collected.answer:
                case Answer.ACCEPTED | Answer.NO_SUCH_JOB | Answer.REFUSED:
                    return collected.answer
                case Answer.UNKNOWN_OUTCOME:
                    unanswered = True
        answer = await self.try_here_or_elsewhere(carry_out, make_call, ends_at)
        if unanswered and answer not in DEFINITE_ANSWERS:
            return Answer.UNKNOWN_OUTCOME
        return answer

    async def try_here_or_elsewhere(
        self,
        carry_out: Callable[[float], Awaitable[Answer]],
        make_call: Callable[[float], messages.Message],
        ends_at: float,
    ) -> Answer:
        """Make a call here and, if that gives no definite answer, at other entries."""
        answer = await self.try_here(carry_out, ends_at)
        if answer in DEFINITE_ANSWERS:
            return answer
        if answer is Answer.UNKNOWN_OUTCOME and self.find_collector(self.clock()):
            return answer
        left_s = max(0.0, ends_at - self.clock())
        relayed = await self.relay(make_call(left_s), left_s, self.choose_peers())
        if relayed is not None and relayed.answer in DEFINITE_ANSWERS:
            return relayed.answer
        if answer is Answer.UNKNOWN_OUTCOME or relayed is None:
            return answer
        return relayed.answer

    async def try_here(
        self, carry_out: Callable[[float], Awaitable[Answer]], ends_at: float
    ) -> Answer:
        """Make a call at this entry, unless the store is unreachable from here."""
        now = self.clock()
        if self.local.is_store_unreachable(now):
            return Answer.NOT_READY
        wait_s = max(0.0, ends_at - now)
        if not (self.local.store_speed.is_slow(now) and self.is_owner()):
            wait_s = min(wait_s, RELAY_AFTER_S)
        return await carry_out(wait_s)

    def is_owner(self) -> bool:
        """Return whether this entry schedules, as far as it knows."""
        owner = self.local.replica.owner
        return owner is not None and not owner.resigned and owner.node == self.node

    def find_collector(self, now: float) -> records.EntryAddress | None:
        """Return the entry that makes the calls of all entries while the store is slow.

        The store processes appends one at a time, and each entry groups the calls that
        wait for its own append. So one entry gets more calls stored than all entries
        side by side.

        :returns: the owner; ``None`` if the store is not slow or this is the owner.
        """
        owner = self.local.replica.owner
        if owner is None or owner.resigned or owner.node == self.node:
            return None
        if not self.local.store_speed.is_slow(now):
            return None
        return self.directory.entries.get(owner.node)

    def choose_peers(self) -> list[records.EntryAddress]:
        """Return a few other entries in random order."""
        addresses = [a for n, a in self.directory.entries.items() if n != self.node]
        self.random.shuffle(addresses)
        return addresses[:MAX_PEERS]

    async def find(self, job_id: str, queue: QueueIdentity) -> JobState | Answer:
        """Return a job's state, from another entry if the store is unreachable."""
        if not self.local.is_store_unreachable(self.clock()):
            return await self.local.find(job_id, queue)
        call = messages.RelayedFind(
            job_id, queue.name, queue.http_host, queue.path_prefix
        )
        relayed = await self.relay(call, RELAY_TIMEOUT_S, self.choose_peers())
        if relayed is None:
            return await self.local.find(job_id, queue)
        return relayed.answer if relayed.state is None else relayed.state

    def retry_after_s(self) -> int:
        """Return the seconds after which a refused caller should return."""
        if self.local.is_nearly_full():
            return MAX_RETRY_AFTER_S
        return retry_after_s(self.local.outage_s(self.clock()), self.random)

    def count_queued(self, queue: QueueIdentity) -> int:
        """Return how many accepted jobs of a queue have not started a task yet."""
        return self.local.count_queued(queue)

    async def relay(
        self,
        call: messages.Message,
        wait_s: float,
        addresses: list[records.EntryAddress],
    ) -> messages.RelayedAnswer | None:
        """Relay a call to other entries in turn.

        The next entry is called when the previous one fails or is slow.

        :param addresses: the entries, in the order in which they are called.

        :returns: a definite answer if there is one; else an unknown outcome if an
            entry may have received the call but did not answer; else any answer,
            preferably other than ``NOT_READY``; ``None`` if no entry was reached.
        """
        answers: list[messages.RelayedAnswer] = []
        unresolved: set[str] = set()
        with trio.move_on_after(max(0.0, min(wait_s, RELAY_TIMEOUT_S))):
            async with trio.open_nursery() as nursery:
                for address in addresses:
                    finished = trio.Event()
                    nursery.start_soon(
                        self.relay_to_peer,
                        address,
                        call,
                        answers,
                        unresolved,
                        finished,
                        nursery,
                    )
                    with trio.move_on_after(NEXT_PEER_AFTER_S):
                        await finished.wait()
        definite = [a for a in answers if a.answer in DEFINITE_ANSWERS]
        if definite:
            return definite[0]
        if unresolved:
            return messages.RelayedAnswer(Answer.UNKNOWN_OUTCOME)
        answer = next((a for a in answers if a.answer is not Answer.NOT_READY), None)
        return answer or next(iter(answers), None)

    async def relay_to_peer(
        self,
        address: records.EntryAddress,
        call: messages.Message,
        answers: list[messages.RelayedAnswer],
        unresolved: set[str],
        finished: trio.Event,
        nursery: trio.Nursery,
    ) -> None:
        """Relay a call to one entry, and add its answer to ``answers``.

        An answer other than ``NOT_READY`` cancels the calls to the other entries.

        :param unresolved: names of entries that may have received the call but have
            not answered.
        :param finished: set when this call has ended, with or without an answer.
        """
        received: list[messages.RelayedAnswer] = []

        async def exchange(stream: ByteMessageStream) -> None:
            unresolved.add(address.node)
            try:
                await stream.send(messages.encode(call))
                answer = messages.decode(await stream.receive())
            except (PeerLostError, ProtocolError) as error:
                events.write(events.PEER_LOST, peer=address.node, reason=str(error))
                return
            if isinstance(answer, messages.RelayedAnswer):
                received.append(answer)
                unresolved.discard(address.node)

        try:
            await self.dial(address.address, exchange)
        except PeerLostError as error:
            events.write(events.PEER_LOST, peer=address.node, reason=str(error))
        answers += received
        finished.set()
        if not received:
            return
        events.write(
            events.CALL_RELAYED,
            call=type(call).__name__,
            peer=address.node,
            answer=received[0].answer.value,
        )
        if received[0].answer is not Answer.NOT_READY:
            nursery.cancel_scope.cancel()

    async def accept(self, stream: ByteMessageStream) -> None:
        """Answer one call that another entry has relayed."""
        try:
            call = messages.decode(await stream.receive())
            answer = await self.answer(call)
            await stream.send(messages.encode(answer))
            # Keep the stream open until the other side closes it.
            await stream.receive()
        except ProtocolError as error:
            events.write(events.PEER_MESSAGE_REFUSED, error=error)
        except PeerLostError:
            return

    async def answer(self, call: messages.Message) -> messages.RelayedAnswer:
        """Answer a relayed call from this entry's own service only."""
        if self.local.is_store_unreachable(self.clock()):
            return messages.RelayedAnswer(self.answer_without_store(call))
        try:
            match call:
                case messages.RelayedSubmit():
                    found = await self.local.submit(call.spec, call.wait_s)
                case messages.RelayedCancel():
                    found = await self.local.cancel(
                        call.job_id, call.identity, call.wait_s
                    )
                case messages.RelayedFind():
                    found = await self.local.find(call.job_id, call.identity)
                case _:
                    raise ProtocolError(f"not a relayed call: {type(call).__name__}")
        except RejectedError:
            return messages.RelayedAnswer(Answer.REFUSED)
        if isinstance(found, Answer):
            return messages.RelayedAnswer(found)
        return messages.RelayedAnswer(Answer.ACCEPTED, found)

    def answer_without_store(self, call: messages.Message) -> Answer:
        """Return the answer to a relayed call while the store is unreachable here."""
        match call:
            case messages.RelayedSubmit() if self.local.may_be_stored(call.spec.job_id):
                return Answer.UNKNOWN_OUTCOME
        return Answer.NOT_READY
