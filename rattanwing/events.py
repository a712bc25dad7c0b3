"""Numbered log events and the function that writes them."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

logger = logbook.Logger("rattanwing")


class Event:
    """The number, level and text of one kind of log line.

    :param number: stable number; 1xx process, 2xx peers, 3xx requests,
        4xx log, store and configuration, 5xx jobs, runs and ownership, 6xx worker,
        executor and colocation.
    :param level: a logbook level.
    :param text: one sentence for operators.
    """

    __slots__ = ("number", "level", "text")

    def __init__(self, number: int, level: int, text: str) -> None:
        self.number = number
        self.level = level
        self.text = text


PROCESS_STARTED = Event(101, logbook.INFO, "The process has started.")
PROCESS_STOPPING = Event(102, logbook.INFO, "The process has begun a graceful stop.")
PROCESS_STOPPED = Event(103, logbook.INFO, "The process has stopped.")
SETTINGS_REFUSED = Event(
    104,
    logbook.ERROR,
    "The settings are invalid or can't be read; they were not applied.",
)
LISTENING = Event(105, logbook.INFO, "The process is starting to serve an address.")
SETTINGS_RELOADED = Event(
    107,
    logbook.INFO,
    "Settings were reloaded; all but grace period and retention still need a restart.",
)
LOG_LINES_DROPPED = Event(
    108,
    logbook.WARNING,
    "Log lines were dropped: too many at once, or output not read in time.",
)
BACKGROUND_TASK_FAILED = Event(
    106,
    logbook.ERROR,
    "A background task failed; it will be restarted unless the process ends.",
)

PEER_CONNECTED = Event(201, logbook.INFO, "The stream to a peer is open.")
PEER_LOST = Event(
    202, logbook.WARNING, "The stream to a peer ended, or could not be opened or used."
)
PEER_MESSAGE_REFUSED = Event(
    203,
    logbook.WARNING,
    "A peer sent an invalid message or no first message; its stream is closed.",
)
PEER_CLOSED = Event(
    205, logbook.INFO, "The stream to a peer ended during a graceful stop."
)
PEER_HANDLING_FAILED = Event(
    206,
    logbook.ERROR,
    "Handling a peer's message failed with an unexpected error; its stream is closed.",
)
AGENT_LEAVING = Event(204, logbook.INFO, "An agent announced that it is stopping.")

REQUEST_REFUSED = Event(301, logbook.INFO, "A request was refused; it did not run.")
REQUEST_OUTCOME_UNKNOWN = Event(
    302,
    logbook.WARNING,
    "No answer to a request arrived in time; the request may have run.",
)
REQUEST_MALFORMED = Event(303, logbook.INFO, "A malformed request was refused.")
REQUEST_WITHOUT_EXECUTOR = Event(
    306,
    logbook.WARNING,
    "No executor of the service was available until the deadline; it did not run.",
)
EXECUTOR_CALL_FAILED = Event(
    307, logbook.WARNING, "A call to the executor failed; see verdict and error."
)
EXECUTOR_UNREACHABLE = Event(
    308, logbook.WARNING, "The executor refuses connections; requests avoid it."
)
EXECUTOR_REACHABLE = Event(309, logbook.INFO, "The executor accepts connections.")
REQUEST_INTERRUPTED = Event(
    310,
    logbook.INFO,
    "A request was still in progress when the stopping process sent its last answers.",
)
REQUEST_FAILED = Event(305, logbook.ERROR, "A request failed with an unexpected error.")
CLIENTS_REFUSED = Event(
    311,
    logbook.WARNING,
    "Clients exceeded a limit: connections were closed, or requests were refused.",
)
EXECUTOR_EJECTED = Event(
    304, logbook.WARNING, "An executor is much slower than others; requests avoid it."
)

LOG_UNAVAILABLE = Event(
    401,
    logbook.WARNING,
    "A call to the platform's log or store failed or was not confirmed in time.",
)
LOG_AVAILABLE = Event(
    402, logbook.INFO, "The platform's log or store is available again."
)
RECORD_REFUSED = Event(
    403,
    logbook.WARNING,
    "A record for the platform's log was refused and has no effect.",
)
RECORD_MALFORMED = Event(
    404, logbook.ERROR, "A stored record can't be parsed and was ignored."
)
CONFIG_APPLIED = Event(405, logbook.INFO, "A configuration record was applied.")
SNAPSHOT_WRITTEN = Event(406, logbook.INFO, "A snapshot was appended to the log.")
LOG_GAP = Event(
    407,
    logbook.WARNING,
    "Records expired unread; the state is incomplete until newer records are read.",
)
CONFIG_ADOPTED = Event(
    408, logbook.INFO, "A newer configuration was adopted from another entry."
)

DOMAIN_CHANGED = Event(
    409, logbook.INFO, "A record that closes or reopens a failure domain was applied."
)
CONFIG_FINDING = Event(
    410,
    logbook.WARNING,
    "The check of an applied configuration has found a fault; see place and rule.",
)

SHARD_CLAIMED = Event(501, logbook.INFO, "This entry now owns a shard.")
SHARD_LOST = Event(502, logbook.WARNING, "This entry no longer owns a shard.")
JOB_ACCEPTED = Event(
    503, logbook.INFO, "The submission of a job, or a repeat of it, was accepted."
)
JOB_PLACED = Event(504, logbook.INFO, "An attempt of a job was placed on a worker.")
JOB_STOPPED = Event(
    505,
    logbook.INFO,
    "An attempt of a job was stopped or lost, or was never started; see reason.",
)
JOB_FINISHED = Event(
    506,
    logbook.INFO,
    "A task ended by itself (ok: whether it succeeded), or a job is final (see state).",
)
JOB_HELD = Event(507, logbook.WARNING, "A job is held until an operator resumes it.")
JOB_OVERDUE = Event(508, logbook.WARNING, "A job has not finished by its due time.")
WORKER_QUARANTINED = Event(
    509,
    logbook.WARNING,
    "A worker was quarantined after failures; it gets no new tasks for a while.",
)

RECORD_TOO_LARGE = Event(
    520, logbook.ERROR, "A record exceeds the size limit and was not stored."
)
OWNERSHIP_ACQUIRED = Event(
    521, logbook.INFO, "This entry is now the owner and schedules jobs."
)
OWNERSHIP_LOST = Event(
    522,
    logbook.WARNING,
    "This entry is no longer the owner and has stopped scheduling.",
)
TAKEOVER_COMPLETE = Event(
    523,
    logbook.INFO,
    "The takeover is complete: all agents reported, or all earlier leases lapsed.",
)
WRITER_FENCED = Event(
    524,
    logbook.WARNING,
    "The store refused an append because a newer writer has taken over.",
)
TOPIC_LOADED = Event(525, logbook.INFO, "The newest records of a topic were loaded.")
AGENT_REMOVED = Event(
    526,
    logbook.WARNING,
    "An agent's lease expired; its host was removed and its runs are lost.",
)
OWNER_STEPPING_DOWN = Event(
    527,
    logbook.WARNING,
    "Fewer than half of the agents were connected for too long; ownership is given up.",
)
OWNER_SUPERSEDED = Event(
    528,
    logbook.WARNING,
    "An agent has accepted a newer owner; this entry stops scheduling.",
)
JOB_STORED = Event(530, logbook.INFO, "A job was stored and accepted.")
JOB_REFUSED = Event(
    531,
    logbook.INFO,
    "A submission was refused and not stored; the job may be submitted again.",
)
JOB_OUTCOME_UNKNOWN = Event(
    532,
    logbook.WARNING,
    "No confirmation from the store in time; the job may have been stored.",
)
JOB_CANCELLED = Event(533, logbook.INFO, "The cancellation of a job was stored.")
CALL_RELAYED = Event(
    534, logbook.INFO, "A call was relayed to another entry, which answered it."
)
STORE_SLOW = Event(
    535,
    logbook.WARNING,
    "Calls to the store take long; the owner stores the calls of all entries.",
)
RUN_PLACED = Event(540, logbook.INFO, "The owner placed a run on a host.")
RUN_ENDED = Event(541, logbook.INFO, "An executor reported the end of a run.")
RUN_LOST = Event(
    542,
    logbook.WARNING,
    "A run is lost: it can't be running any more, and no end was reported.",
)
RUN_STOPPED = Event(543, logbook.INFO, "The owner decided to stop a run.")
RUN_REFUSED = Event(
    544, logbook.INFO, "A start order for a run was refused or given up; see reason."
)
RUN_UNKNOWN = Event(
    545,
    logbook.WARNING,
    "A host reported a run of an unknown task or with a malformed task id.",
)
TASK_UNPLACED = Event(
    547,
    logbook.INFO,
    "No host can run a task at present; hosts are counted by reason.",
)
RUN_PACE_CHANGED = Event(
    546, logbook.INFO, "The pace of a best-effort run was changed."
)
JOB_PLACEMENT_FAILED = Event(
    548,
    logbook.ERROR,
    "Placing a job failed with an unexpected error; other jobs are placed.",
)
NEAR_WAIT_BEGUN = Event(
    570,
    logbook.INFO,
    "Tasks wait for a place near their data or group, at most for the time that is"
    " named.",
)
NEAR_WAIT_ENDED = Event(
    571,
    logbook.INFO,
    "A wait for near places has ended; the field outcome says what came of it.",
)
TASK_SUSPECTED = Event(
    550,
    logbook.WARNING,
    "An executor crashed soon after it had started a task, which is now suspected.",
)
TASK_CLEARED = Event(
    551, logbook.INFO, "A suspected task ran long enough and is no longer suspected."
)
JOB_GIVEN_UP = Event(
    552,
    logbook.WARNING,
    "A job fails because the executors that start one of its tasks crash.",
)
CANCELLED_EARLY = Event(
    553,
    logbook.INFO,
    "The cancellation of a job that is not known was stored; it is cancelled if its"
    " submission is stored later.",
)
STARTS_SUSPENDED = Event(
    555,
    logbook.WARNING,
    "No task starts, as the owner has not read for too long which failure domains are"
    " closed and which jobs are cancelled.",
)
STARTS_RESUMED = Event(556, logbook.NOTICE, "Tasks start again.")
CHECKPOINT_TOO_LARGE = Event(
    557,
    logbook.WARNING,
    "A checkpoint fits no record and is not stored; after a change of owner its task"
    " starts from the beginning.",
)
PROGRESS_NOT_STORED = Event(
    558, logbook.ERROR, "Records of the owner were not stored; this is tried again."
)
TASKS_LIMITED = Event(
    554,
    logbook.WARNING,
    "Tasks without a run wait, as the owner holds as many tasks as its memory allows.",
)

EXECUTOR_ANNOUNCED = Event(
    610,
    logbook.INFO,
    "An executor announced itself for the first time since it or this agent started.",
)
EXECUTOR_DRAINING = Event(611, logbook.INFO, "An executor started or stopped draining.")
EXECUTOR_LEFT = Event(
    612, logbook.INFO, "An executor has announced its end; its runs have ended."
)
EXECUTOR_SILENT = Event(613, logbook.WARNING, "A call to the executor failed.")
ORDER_REFUSED = Event(614, logbook.WARNING, "The executor refused an order.")
OWNER_ACCEPTED = Event(
    615, logbook.INFO, "This agent accepted an owner and now follows its orders."
)
OWNER_REFUSED = Event(
    616,
    logbook.WARNING,
    "An owner's stream was refused; one at least as new was accepted before.",
)
ANNOUNCEMENT_MALFORMED = Event(
    617, logbook.WARNING, "An executor's announcement was malformed and was refused."
)
EXECUTOR_STARTED_RUN = Event(618, logbook.INFO, "An executor has started a run.")
EXECUTOR_CRASHED = Event(
    619,
    logbook.WARNING,
    "An executor ended without an announcement; it had just started the named tasks.",
)
EXECUTOR_CAPACITY_CHANGED = Event(
    620, logbook.INFO, "The capacity of an executor has changed while it runs."
)
CRASH_DROPPED = Event(
    621,
    logbook.WARNING,
    "The crash of an executor was dropped before an owner stored it; too many wait.",
)
EXIT_IGNORED = Event(
    622,
    logbook.WARNING,
    "An exit was announced under the id of an executor that does not drain.",
)
ANNOUNCEMENT_CHECKED = Event(
    624,
    logbook.INFO,
    "An announced executor was polled, and that in use; the field outcome says which is"
    " there.",
)
ANNOUNCEMENT_DIFFERS = Event(
    625,
    logbook.WARNING,
    "An announcement names another service, address or failure domain than before; it"
    " is used if the next one confirms it.",
)
ANSWER_OF_SUCCESSOR = Event(
    626,
    logbook.WARNING,
    "A start was answered by a later incarnation of the executor, as its clock shows.",
)

TASK_STARTED = Event(601, logbook.INFO, "A task has started on this worker.")
TASK_REFUSED = Event(602, logbook.INFO, "The start of a task was refused.")
TASK_ENDED = Event(
    603,
    logbook.INFO,
    "A task ended on this worker, or was never started; the field state says how.",
)
TASK_LEASE_LAPSED = Event(
    604, logbook.WARNING, "A task's lease expired; the task is being stopped."
)
TASK_EVICTED = Event(
    605, logbook.INFO, "A task is being stopped to protect the latency of a service."
)
TASK_THROTTLED = Event(
    606,
    logbook.INFO,
    "The share of CPU that batch tasks may use on this worker is being changed.",
)
WORKER_UNREACHABLE = Event(607, logbook.WARNING, "A call to the worker failed.")
WORKER_SESSION_OPENED = Event(
    608, logbook.INFO, "A session is open at the worker; tasks it lists are adopted."
)
WORKER_SESSION_LOST = Event(
    609,
    logbook.WARNING,
    "The worker has another session or none, as after its restart; see found.",
)


def catalogue() -> list[tuple[str, Event]]:
    """Return the name and event of every event, sorted by number."""
    pairs = [(k, v) for k, v in globals().items() if isinstance(v, Event)]
    return sorted(pairs, key=lambda pair: pair[1].number)


class EventCounts:
    """Counts events, including those whose log lines were dropped.

    :param outcomes: count by event number and outcome; the outcome is the value of
        the first of ``OUTCOME_FIELDS`` that the event has, or ``""``.
    """

    __slots__ = ("outcomes",)

    def __init__(self) -> None:
        self.outcomes: dict[tuple[int, str], int] = {}

    def add(self, event: Event, fields: dict[str, Any]) -> None:
        """Count one event."""
        outcome = ""
        for name in OUTCOME_FIELDS:
            if name in fields:
                outcome = str(fields[name])
                break
        key = (event.number, outcome)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1


OUTCOME_FIELDS = ("ending", "outcome", "answer", "state", "order")
counts = EventCounts()


def write(event: Event, **fields: Any) -> None:
    """Count ``event`` and write its log line."""
    counts.add(event, fields)
    logger.log(event.level, event.text, extra={"number": event.number, **fields})


def format_text(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    """Return a log line as text."""
    extra = dict(record.extra)
    number = extra.pop("number", 0)
    values = " ".join(f"{key}={value}" for key, value in extra.items())
    stamp = record.time.isoformat(timespec="milliseconds")
    return f"{stamp} {record.level_name} [{number}] {record.message} {values}".rstrip()


def format_json(record: logbook.LogRecord, _handler: logbook.Handler | None) -> str:
    """Return a log line as one JSON object."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "event": record.extra.get("number", 0),
        "text": record.message,
    }
    fields |= {k: v for k, v in record.extra.items() if k != "number"}
    return msgspec.json.encode(fields, enc_hook=str).decode()


def configure(as_json: bool, level: str) -> None:
    """Write the log lines of this process to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_json if as_json else format_text
    handler.push_application()
