"""The messages among entries and between entries and agents, and their codec.

Messages are encoded as MessagePack arrays with a numeric tag, so the order of
the fields is part of the wire format. Clocks of different hosts are never
compared: a time in a message is a duration, a time of the sender's monotonic clock
that the receiver only sends back unchanged, or such a time that is sent back. Times
are in seconds unless the name has another unit.
"""

from __future__ import annotations

import msgspec

from rattanwing.util.codec import MessageCodec


class Message(msgspec.Struct, array_like=True, tag_field="kind"):
    """Base class of all messages."""


class ExecutorInfo(msgspec.Struct, array_like=True):
    """The executor on an agent's host.

    :param service: the service that the executor runs.
    :param slots: number of requests that the executor handles at once.
    :param connections: maximum number of connections from the agent to it.
    """

    service: str
    slots: int
    connections: int


class WorkerInfo(msgspec.Struct, array_like=True):
    """Resources that a worker can grant to tasks, less the executor's reservation.

    :param cpu: number of processors.
    :param memory_mb: memory in MiB.
    :param accelerators: number of accelerators.
    """

    cpu: float
    memory_mb: int
    accelerators: int
    rack: str


class Hello(Message, tag=1):
    """First message of an agent on each stream.

    :param incarnation: unique id of the agent's process; a restart changes it.
    :param executor: ``None`` if the host runs no executor.
    :param worker: ``None`` if the host runs no worker, or if the agent has not yet
        adopted the tasks of its previous incarnation.
    """

    name: str
    incarnation: str
    failure_domain: str
    executor: ExecutorInfo | None
    worker: WorkerInfo | None


class Heartbeat(Message, tag=2):
    """Liveness signal and load, sent at a fixed interval by the dialling side.

    :param sent_at: the sender's monotonic clock, echoed in the
        :class:`HeartbeatAck`.
    :param busy: executor slots in use.
    :param queued: requests waiting for a slot.
    :param free_cpu: processors that are not granted to any task.
    :param free_memory_mb: memory that is not granted to any task, in MiB.
    :param used_cpu: processors in use by all tasks, as last measured.
    :param latency_ratio: tail latency of the executor's requests divided by the
        service's target; 0 when unknown.
    :param leaving: whether the agent is shutting down and accepts no new work.
    :param accepts_tasks: whether the agent would accept a task now. This is a hint;
        the agent checks again when it receives the start order.
    :param executor_reachable: whether the executor accepted the latest connection.
    """

    sent_at: float
    busy: int = 0
    queued: int = 0
    free_cpu: float = 0.0
    free_memory_mb: int = 0
    free_accelerators: int = 0
    used_cpu: float = 0.0
    latency_ratio: float = 0.0
    leaving: bool = False
    accepts_tasks: bool = False
    executor_reachable: bool = True


class OwnedShard(msgspec.Struct, array_like=True):
    """A shard that the sending entry owns, and the epoch of that ownership."""

    shard: int
    epoch: int


class HeartbeatAck(Message, tag=3):
    """Answer to a heartbeat.

    :param echo: ``sent_at`` of the heartbeat that is answered.
    :param config_version: version of the newest change that the entry has applied.
    :param config_age_s: seconds since the entry last confirmed that it had read
        the whole configuration log.
    :param owned_shards: shards for which the entry may extend task leases.
    """

    echo: float
    config_version: int
    config_age_s: float
    owned_shards: list[OwnedShard]


class ConfigView(Message, tag=4):
    """The part of the configuration that agents apply.

    :param version: version of the newest change that the view contains.
    :param domains_out: failure domains that are taken out of service.
    :param latency_targets_ms: target for the p99 latency in ms, by service.
    """

    version: int
    domains_out: list[str]
    latency_targets_ms: dict[str, float]


class EntryHello(Message, tag=5):
    """First message of an entry that dials another entry."""

    name: str


class ConfigRequest(Message, tag=6):
    """Sent by an entry whose configuration is behind, to get another entry's."""


class ConfigState(Message, tag=7):
    """The configuration as folded by the sending entry.

    :param upto: offset of the first record that is not folded in.
    :param snapshot: the folded configuration, encoded as a snapshot record.
    """

    upto: int
    snapshot: bytes


class ServiceRequest(Message, tag=10):
    """A caller's request with its whole body.

    :param priority: requests with lower numbers are served first.
    :param timeout_s: seconds left until the caller's deadline.
    :param target: path and query of the request line.
    """

    request_id: str
    service: str
    priority: int
    timeout_s: float
    method: str
    target: str
    headers: list[tuple[bytes, bytes]]
    body: bytes


class ServiceAnswer(Message, tag=11):
    """The answer to a :class:`ServiceRequest`, or the reason why there is none.

    :param verdict: value of :class:`rattanwing.verdict.Verdict`.
    :param reason: reason code when the request was refused or its answer lost;
        empty otherwise.
    :param status: HTTP status of the executor's answer; 0 without an answer.
    :param service_s: seconds that the executor took to answer.
    """

    request_id: str
    verdict: str
    reason: str = ""
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    service_s: float = 0.0


class OutcomeQuery(Message, tag=12):
    """Asks for the outcome of requests that were in flight on a lost stream.

    For an id that it has not received, the agent answers ``not-run``. It does not
    run a request with that id if one arrives later.
    """

    request_ids: list[str]


class StartTask(Message, tag=20):
    """Order to start one attempt of a job.

    The worker runs the attempt as a task.

    :param incarnation: the agent's incarnation that the order is for.
    :param echo: ``sent_at`` of the agent's last heartbeat that the entry answered.
        The agent refuses the order when this time is too old.
    :param cpu: processors to grant.
    :param memory_mb: memory to grant, in MiB.
    :param work: what the worker runs, passed on unchanged.
    :param checkpoint: checkpoint of an earlier attempt to resume from, or ``None``.
    """

    shard: int
    epoch: int
    incarnation: str
    echo: float
    job: str
    attempt: int
    task_class: str
    team: str
    cpu: float
    memory_mb: int
    accelerators: int
    work: str
    checkpoint: str | None


class StopTask(Message, tag=21):
    """Order to checkpoint and stop an attempt."""

    shard: int
    epoch: int
    job: str
    attempt: int
    reason: str


class TaskReport(Message, tag=22):
    """State of an attempt. The agent resends a final state until a :class:`ReportAck`.

    :param state: ``running``, ``refused``, ``stopped``, ``finished``,
        ``failed`` or ``unknown``.
    :param checkpoint: checkpoint from which a stopped attempt can be resumed.
    :param progress_s: progress of the attempt, in seconds of work.
    :param peak_cpu: largest number of processors measured in use; 0 if never measured.
    """

    shard: int
    job: str
    attempt: int
    state: str
    reason: str = ""
    checkpoint: str | None = None
    progress_s: float = 0.0
    peak_cpu: float = 0.0


class ReportAck(Message, tag=23):
    """Confirms that a report is recorded in the log, so the agent can drop it."""

    job: str
    attempt: int


class AttemptRef(msgspec.Struct, array_like=True, frozen=True):
    """Identifies one attempt of a job."""

    job: str
    attempt: int


class TaskListQuery(Message, tag=24):
    """Request of a shard's owner for the attempts of the shard on an agent.

    :param expected: attempts that are placed on this agent according to the log. The
        agent lists those it does not know as ``unknown`` and will not start them.
    """

    shard: int
    epoch: int
    expected: list[AttemptRef]


class TaskList(Message, tag=25):
    """Answer to a :class:`TaskListQuery`.

    :param tasks: one report for each expected attempt and for each other attempt of
        the shard on this agent.
    """

    shard: int
    epoch: int
    incarnation: str
    tasks: list[TaskReport]


class DeferQuery(Message, tag=30):
    """Asks another entry not to claim the sender's shard.

    Sent by the shard's owner when it can't reach the log.

    :param sent_at: the owner's monotonic clock, echoed in the :class:`DeferReply`.
    """

    shard: int
    epoch: int
    sent_at: float


class DeferReply(Message, tag=31):
    """Answer to a :class:`DeferQuery`.

    :param echo: ``sent_at`` of the query.
    :param granted: whether the entry promises not to claim the shard for the duration
        of an owner's lease.
    """

    shard: int
    epoch: int
    echo: float
    granted: bool


AnyMessage = (
    Hello
    | Heartbeat
    | HeartbeatAck
    | ConfigView
    | EntryHello
    | ConfigRequest
    | ConfigState
    | ServiceRequest
    | ServiceAnswer
    | OutcomeQuery
    | StartTask
    | StopTask
    | TaskReport
    | ReportAck
    | TaskListQuery
    | TaskList
    | DeferQuery
    | DeferReply
)

_codec = MessageCodec(AnyMessage)
encode = _codec.encode
decode = _codec.decode
