"""The messages between the system's own processes, and their codec.

Encoded as MessagePack arrays with a numeric tag. Times in messages are only
ever echoes of the receiver's own monotonic clock, or durations.
"""

from __future__ import annotations

import msgspec

from rattanwing.util.codec import MessageCodec


class Message(msgspec.Struct, array_like=True, tag_field="kind"):
    """Base of all messages."""


class ExecutorInfo(msgspec.Struct, array_like=True):
    """What an agent says of the executor beside it."""

    service: str
    slots: int
    connections: int


class WorkerInfo(msgspec.Struct, array_like=True):
    """What a worker can grant to tasks, the executor's reservation taken off.

    :param cpu: processors.
    :param memory_mb: memory in MiB.
    """

    cpu: float
    memory_mb: int
    accelerators: int
    rack: str


class Hello(Message, tag=1):
    """First message of an agent on each stream.

    :param incarnation: unique to this run of the process.
    """

    name: str
    incarnation: str
    failure_domain: str
    executor: ExecutorInfo | None
    worker: WorkerInfo | None


class Heartbeat(Message, tag=2):
    """Sent at a fixed interval by the dialling side.

    :param sent_at: the sender's monotonic clock, echoed by the answer.
    :param busy: executor slots in use.
    :param queued: requests that wait for a slot.
    :param free_cpu: processors not granted to any task.
    :param free_memory_mb: memory not granted to any task, in MiB.
    :param used_cpu: processors that the tasks were seen to use.
    :param accepts_tasks: whether a task might start now; only a hint.
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


class ShardLease(msgspec.Struct, array_like=True):
    """A shard that the answering entry owns."""

    shard: int
    epoch: int


class HeartbeatAck(Message, tag=3):
    """Answer to a heartbeat.

    :param echo: ``sent_at`` of the heartbeat.
    :param config_age_s: seconds since the entry last knew that it had read
        the configuration to its end.
    :param owned_shards: shards for which the entry may extend task leases.
    """

    echo: float
    config_offset: int
    config_age_s: float
    owned_shards: list[ShardLease]


class ConfigView(Message, tag=4):
    """The part of the configuration that agents obey.

    :param offset: version of the newest change in it.
    :param domains_out: failure domains that are taken out.
    :param latency_targets_ms: p99 to protect, by service.
    """

    offset: int
    domains_out: list[str]
    latency_targets_ms: dict[str, float]


class EntryHello(Message, tag=5):
    """First message of an entry that dials another entry."""

    name: str


class ConfigRequest(Message, tag=6):
    """An entry asks another for its configuration, because it is behind."""


class ConfigState(Message, tag=7):
    """A folded configuration.

    :param upto: offset up to which it was folded.
    :param snapshot: the record that a snapshot of it would be.
    """

    upto: int
    snapshot: bytes


class ServiceRequest(Message, tag=10):
    """A caller's whole request.

    :param timeout_s: seconds left until the caller's deadline.
    :param priority: lower numbers go first.
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
    """The outcome of a request.

    :param verdict: value of :class:`rattanwing.verdict.Verdict`.
    :param reason: short reason of a refusal or loss.
    :param service_s: seconds that the executor took.
    """

    request_id: str
    verdict: str
    reason: str = ""
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    service_s: float = 0.0


class OutcomeQuery(Message, tag=12):
    """Asks for requests that were open on a lost stream.

    An agent that never saw an id answers not-run and refuses it from then on.
    """

    request_ids: list[str]


class StartTask(Message, tag=20):
    """Order to start one attempt of a job.

    :param echo: the agent's own clock in its last heartbeat that was
        answered; the order is void when it is too old.
    :param checkpoint: what an earlier attempt left, or ``None``.
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
    """Order to stop an attempt with a checkpoint."""

    shard: int
    epoch: int
    job: str
    attempt: int
    reason: str


class TaskReport(Message, tag=22):
    """News of an attempt, repeated until a :class:`ReportAck`.

    :param state: ``running``, ``refused``, ``stopped``, ``finished``,
        ``failed`` or ``unknown``.
    :param checkpoint: where a stopped attempt may be resumed.
    :param peak_cpu: most processors that the attempt was seen to use; 0 if none.
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
    """The report's record stands in the log; the agent may forget it."""

    job: str
    attempt: int


class AttemptRef(msgspec.Struct, array_like=True, frozen=True):
    """Names one attempt of a job."""

    job: str
    attempt: int


class TaskListQuery(Message, tag=24):
    """An owner asks an agent for the attempts of a shard.

    :param expected: attempts that the log places on this agent. One that the
        agent does not know is refused from then on and listed as ``unknown``.
    """

    shard: int
    epoch: int
    expected: list[AttemptRef]


class TaskList(Message, tag=25):
    """Answer to a :class:`TaskListQuery`.

    :param tasks: each expected attempt and each other one of the shard.
    """

    shard: int
    epoch: int
    incarnation: str
    tasks: list[TaskReport]


class DeferQuery(Message, tag=30):
    """An owner that can't reach the log asks an entry not to claim a shard."""

    shard: int
    epoch: int
    sent_at: float


class DeferReply(Message, tag=31):
    """Whether the entry promises not to claim for the lease's duration."""

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
