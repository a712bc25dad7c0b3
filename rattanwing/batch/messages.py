"""Messages between entries and agents and among entries, and their codec.

Messages are MessagePack arrays with a numeric tag. A monotonic time in a message is
interpreted only by the process whose clock produced it, or compared with other times
of that process. All other times are durations, except the Unix times in a ``JobSpec``,
which the owner compares with its own clock.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from rattanwing.batch.model import (  # noqa: TC001
    Epoch,
    Finite,
    JobSpec,
    JobState,
    NonNegative,
    Number,
    QueueIdentity,
)
from rattanwing.batch.ports import EndedRow, ExecutorView, RunningRow  # noqa: TC001
from rattanwing.util.codec import MessageCodec


class Answer(Enum):
    """An entry's answer to a caller's request."""

    ACCEPTED = "accepted"
    # Nothing was stored, and the request will not take effect later.
    REFUSED = "refused"
    # The request may or may not have been stored.
    UNKNOWN_OUTCOME = "unknown-outcome"
    NO_SUCH_JOB = "no-such-job"
    # This entry cannot answer now, for example because it does not reach the store;
    # it has stored nothing.
    NOT_READY = "not-ready"


class Message(msgspec.Struct, array_like=True, tag_field="kind"):
    """Base class of all messages."""


class TaskProperties(msgspec.Struct, array_like=True, frozen=True):
    """Properties of a task that an agent needs to decide about its run.

    :param cpu: thousandths of a core.
    :param best_effort: whether the task's CPU does not count against the declared
        capacity.
    :param target_ms: target tail latency of a serving task; 0 for none.
    """

    cpu: Number
    memory_mb: Number
    accelerators: Number
    best_effort: bool
    target_ms: int
    image: str


class OwnerHello(Message, tag=1):
    """The owner's first message on a stream.

    :param fence: number that increases with every stream that any owner opens to
        this agent; executors refuse orders under a lower one.
    :param owner: name of the owning entry.
    """

    epoch: Epoch
    fence: Number
    owner: str


class LeaseRenewal(Message, tag=2):
    """Extends the lease of all runs of the agent, in answer to a report.

    :param report_stamp: ``stamp`` of the report that is answered.
    :param lease_s: how long runs may continue, counted from that stamp.
    """

    report_stamp: Finite
    lease_s: Finite


class StartRun(Message, tag=3):
    """Order to start a run.

    :param number: sequence number of the order on this stream.
    :param incarnation: incarnation of the executor that the run was placed on; no other
        one may start it.
    :param text: the job's payload, which is passed unchanged to each of its tasks.
    :param checkpoint: checkpoint to resume from; empty for none.
    :param start_before: time on the agent's clock from which it must not start the
        run; the owner counts it from the newest report, so that an order which waited
        while either process was paused has run out.
    :param ticket: token that allows a step's tasks to start; empty for none. The
        owner sends none.
    """

    number: Number
    task: str
    attempt: Number
    incarnation: str
    text: str
    checkpoint: str
    properties: TaskProperties
    start_before: Finite
    ticket: str = ""


class StopRun(Message, tag=4):
    """Order to stop a run, or to prevent its start if it has not started."""

    number: Number
    task: str
    attempt: Number


class EndsStored(Message, tag=5):
    """Acknowledges the ends of runs that the store holds.

    The executor may then drop them from its list.

    :param incarnation: incarnation of the executor that numbered the ends.
    :param number: highest number of an end that is stored.
    """

    incarnation: str
    number: Number


class HostReport(Message, tag=6):
    """The state of an agent's executor and its runs.

    :param stamp: the agent's clock when it sent the report.
    :param last_order: number of the newest order that the report reflects.
    :param runs: runs that are running or may still start.
    :param complete: whether ``runs`` lists every run of the host: the executor has
        answered under this stream's fence, or every lease on it has lapsed.
    :param executor_unreachable: whether there is no executor, or it does not answer the
        agent, or may hide how runs end.
    :param failed_s: time since the first call that the executor did not answer;
        ``None`` if it answers or there is none.
    :param survival_times_s: for each run, how long the executor is known to run it.
    :param may_start_late: for each run, whether a start call for it had no answer yet,
        so that it may take effect late; also if a repeat of the call was answered.
    """

    stamp: Finite
    last_order: Number
    executor: ExecutorView | None
    runs: list[RunningRow]
    complete: bool
    executor_unreachable: bool = False
    failed_s: Finite | None = None
    survival_times_s: list[Finite] = []
    may_start_late: list[bool] = []


class RunsEnded(Message, tag=7):
    """The ends of runs that the executor has listed, in ascending order of number."""

    incarnation: str
    ends: list[EndedRow]


class RunRefused(Message, tag=8):
    """The agent did not start a run and never will."""

    task: str
    attempt: Number
    reason: str


class RunProperties(Message, tag=9):
    """Properties of a run that started before the agent restarted.

    The executor lists such a run but does not know the properties of its task.
    """

    task: str
    attempt: Number
    properties: TaskProperties


class InterferenceEstimates(Message, tag=10):
    """Estimated interference of best-effort images with serving images.

    :param rows: serving image, best-effort image, and the headroom (target latency
        over tail latency) lost per core of the best-effort image. There is no
        estimate yet for pairs that are not listed.
    """

    rows: list[tuple[str, str, NonNegative]]


class CrashedRun(msgspec.Struct, array_like=True, frozen=True):
    """A run that was or may have been running when its executor crashed.

    :param survived_s: time for which the executor is known to have run it.
    :param ended: whether it has surely ended; otherwise the executor's next incarnation
        may have started it.
    :param begun: whether the executor has answered its start or listed it; otherwise
        the start may have been on its way.
    :param noticed_s: time from then until a connection to the executor broke; 0 if none
        did. The break may have been noticed late, so it proves no survival.
    """

    task: str
    attempt: Number
    survived_s: Finite
    ended: bool = True
    begun: bool = True
    noticed_s: Finite = 0.0


class ExecutorCrashed(Message, tag=16):
    """An incarnation of an executor has ended without an announcement.

    The agent sends it on each stream until it is acknowledged by ``CrashStored``.

    :param stamp: the agent's clock when it sent this message.
    :param failed_s: time since the first call that it did not answer.
    :param broken: whether that call lost its connection, as in a crash.
    :param runs: the runs that ended with it.
    """

    incarnation: str
    stamp: Finite
    failed_s: Finite
    broken: bool
    runs: list[CrashedRun]


class CrashStored(Message, tag=17):
    """Acknowledges a crash once the store holds what the owner concluded from it."""

    incarnation: str


class Superseded(Message, tag=15):
    """Tells an owner that the agent has seen a later epoch.

    :param epoch: highest epoch that the agent has seen.
    """

    epoch: Epoch


# The class names of relayed calls appear in log lines, as values of the field "call".


class RelayedSubmit(Message, tag=11):
    """A job submission relayed by an entry that cannot reach the store.

    :param wait_s: how long the caller still waits.
    """

    spec: JobSpec
    wait_s: Finite


class RelayedCancel(Message, tag=12):
    """A job cancellation relayed by an entry that cannot reach the store.

    :param queue: name of the queue that its caller addressed.
    :param http_host: see :class:`QueueIdentity`, like ``path_prefix``.
    :param wait_s: how long the caller still waits.
    """

    job_id: str
    queue: str
    wait_s: Finite
    http_host: str = ""
    path_prefix: str = ""

    @property
    def identity(self) -> QueueIdentity:
        """Return the name and the address of the queue."""
        return QueueIdentity(self.queue, self.http_host, self.path_prefix)


class RelayedFind(Message, tag=13):
    """A query for a job's state, relayed by an entry that cannot reach the store.

    :param queue: name of the queue that its caller addressed.
    :param http_host: see :class:`QueueIdentity`, like ``path_prefix``.
    """

    job_id: str
    queue: str
    http_host: str = ""
    path_prefix: str = ""

    @property
    def identity(self) -> QueueIdentity:
        """Return the name and the address of the queue."""
        return QueueIdentity(self.queue, self.http_host, self.path_prefix)


class RelayedAnswer(Message, tag=14):
    """The answer to a relayed call.

    :param state: state of the job, if one was found.
    """

    answer: Answer
    state: JobState | None = None


AnyMessage = (
    OwnerHello
    | LeaseRenewal
    | StartRun
    | StopRun
    | EndsStored
    | HostReport
    | RunsEnded
    | RunRefused
    | RunProperties
    | InterferenceEstimates
    | ExecutorCrashed
    | CrashStored
    | Superseded
    | RelayedSubmit
    | RelayedCancel
    | RelayedFind
    | RelayedAnswer
)

_codec = MessageCodec(AnyMessage)
encode = _codec.encode
decode = _codec.decode
