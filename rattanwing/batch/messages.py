"""Messages between entries and agents, and among entries, and their codec.

MessagePack arrays with a numeric tag. Times are echoes of the receiver's own
clock or durations; one process's clock is never read by another.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from rattanwing.batch.model import JobSpec, JobState  # noqa: TC001
from rattanwing.batch.ports import EndedRow, ExecutorView, RunningRow  # noqa: TC001
from rattanwing.util.codec import MessageCodec


class Answer(Enum):
    """What an entry says to a caller."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN_OUTCOME = "unknown-outcome"
    NO_SUCH_JOB = "no-such-job"
    NOT_READY = "not-ready"


class Message(msgspec.Struct, array_like=True, tag_field="kind"):
    """Base of the messages."""


class TaskProperties(msgspec.Struct, array_like=True, frozen=True):
    """What an agent has to know of a task beside its text.

    :param cpu: thousandths of a core.
    :param target_ms: bound on the tail latency of a serving task; 0 for none.
    """

    cpu: int
    memory_mb: int
    accelerators: int
    best_effort: bool
    target_ms: int
    image: str


class OwnerHello(Message, tag=1):
    """First message of the owner on a stream.

    :param fence: rises with every stream that any owner opens to this agent.
    """

    epoch: int
    fence: int
    owner: str


class LeaseRenewal(Message, tag=2):
    """The owner lives.

    :param report_stamp: the stamp of the agent's newest report.
    :param lease_s: runs may go on for so long after that stamp.
    """

    report_stamp: float
    lease_s: float


class StartRun(Message, tag=3):
    """Order to start a run.

    :param number: counts the orders of this stream.
    :param start_within_s: the order is void after this time.
    """

    number: int
    task: str
    attempt: int
    text: str
    checkpoint: str
    properties: TaskProperties
    start_within_s: float
    ticket: str = ""


class StopRun(Message, tag=4):
    """Order to stop a run, and to see to it that it never starts."""

    number: int
    task: str
    attempt: int


class EndsStored(Message, tag=5):
    """All ends up to a number are stored; the executor may forget them."""

    incarnation: str
    number: int


class HostReport(Message, tag=6):
    """Everything that an agent knows of its executor.

    :param stamp: the agent's clock when it sent the report.
    :param last_order: number of the last order that the report covers.
    :param runs: everything that runs or may yet be started.
    :param complete: nothing else runs there: the executor has answered under this
        stream's fence, or every lease on it has lapsed.
    :param executor_unreachable: whether the executor no longer answers the agent.
    """

    stamp: float
    last_order: int
    executor: ExecutorView | None
    runs: list[RunningRow]
    complete: bool
    executor_unreachable: bool = False


class RunsEnded(Message, tag=7):
    """Ends that the executor lists, in the order of their numbers."""

    incarnation: str
    ends: list[EndedRow]


class RunRefused(Message, tag=8):
    """A run was not started and never will be."""

    task: str
    attempt: int
    reason: str


class RunProperties(Message, tag=9):
    """What an agent that has restarted can't know of a run."""

    task: str
    attempt: int
    properties: TaskProperties


class InterferenceEstimates(Message, tag=10):
    """Which filling images press on which serving images.

    :param rows: serving image, filling image, and the headroom (the target over the
        tail) that one core of the filler takes. Pairs that are not listed are not
        known yet.
    """

    rows: list[tuple[str, str, float]]


class Superseded(Message, tag=15):
    """An agent's answer to an owner whose epoch is not the highest it has seen."""

    epoch: int


class RelayedSubmit(Message, tag=11):
    """A job that an entry hands in for another one that is cut off."""

    spec: JobSpec
    wait_s: float


class RelayedCancel(Message, tag=12):
    """A cancellation for another entry."""

    job_id: str
    queue: str
    wait_s: float


class RelayedLookup(Message, tag=13):
    """A question for a job's state for another entry."""

    job_id: str
    queue: str


class RelayedAnswer(Message, tag=14):
    """The answer to a relayed call; ``state`` where a job was found."""

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
    | Superseded
    | RelayedSubmit
    | RelayedCancel
    | RelayedLookup
    | RelayedAnswer
)

_codec = MessageCodec(AnyMessage)
encode = _codec.encode
decode = _codec.decode
