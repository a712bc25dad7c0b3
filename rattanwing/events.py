"""Numbered log events and the function that writes them."""

from __future__ import annotations

import sys
from typing import Any

import logbook
import msgspec

logger = logbook.Logger("rattanwing")


class Event:
    """One kind of log line.

    :param number: stable number; 1xx process, 2xx peers, 3xx requests,
        4xx log and configuration, 5xx jobs, 6xx worker and colocation.
    :param level: a logbook level.
    :param text: what happened, in one sentence.
    """

    __slots__ = ("number", "level", "text")

    def __init__(self, number: int, level: int, text: str) -> None:
        self.number = number
        self.level = level
        self.text = text


PROCESS_STARTED = Event(101, logbook.INFO, "The process has started.")
PROCESS_STOPPING = Event(102, logbook.INFO, "A graceful stop has begun.")
PROCESS_STOPPED = Event(103, logbook.INFO, "The process has stopped.")
SETTINGS_REFUSED = Event(104, logbook.ERROR, "The settings can't be used.")
LISTENING = Event(105, logbook.INFO, "A listener is open.")
SETTINGS_RELOADED = Event(107, logbook.INFO, "The settings file was read again.")
LOG_LINES_DROPPED = Event(108, logbook.WARNING, "Log lines were left out.")
BACKGROUND_TASK_FAILED = Event(
    106, logbook.ERROR, "A background task failed; it restarts."
)

PEER_CONNECTED = Event(201, logbook.INFO, "A peer's stream is open.")
PEER_LOST = Event(202, logbook.WARNING, "A peer's stream ended or fell silent.")
PEER_MESSAGE_REFUSED = Event(203, logbook.WARNING, "A peer's message was refused.")
PEER_CLOSED = Event(205, logbook.INFO, "A peer's stream was closed by plan.")
AGENT_LEAVING = Event(204, logbook.INFO, "An agent announced that it leaves.")

REQUEST_REFUSED = Event(301, logbook.INFO, "A request was refused; it did not run.")
REQUEST_OUTCOME_UNKNOWN = Event(302, logbook.WARNING, "A request's answer was lost.")
REQUEST_MALFORMED = Event(303, logbook.INFO, "A malformed request was refused.")
REQUEST_FAILED = Event(305, logbook.ERROR, "A request met an unforeseen error.")
EXECUTOR_EJECTED = Event(304, logbook.WARNING, "A slow executor gets no new work.")

LOG_UNAVAILABLE = Event(401, logbook.WARNING, "The platform's log does not answer.")
LOG_AVAILABLE = Event(402, logbook.INFO, "The platform's log answers again.")
RECORD_REFUSED = Event(403, logbook.WARNING, "A log record was refused by the fold.")
RECORD_MALFORMED = Event(404, logbook.ERROR, "A log record does not parse.")
CONFIG_APPLIED = Event(405, logbook.INFO, "A configuration change is in force.")
SNAPSHOT_WRITTEN = Event(406, logbook.INFO, "A snapshot was appended.")
LOG_GAP = Event(407, logbook.WARNING, "Old records expired; a snapshot is needed.")
CONFIG_ADOPTED = Event(408, logbook.INFO, "Another entry's configuration was adopted.")

DOMAIN_CHANGED = Event(409, logbook.INFO, "A failure domain was closed or opened.")

SHARD_CLAIMED = Event(501, logbook.INFO, "This entry owns a shard.")
SHARD_LOST = Event(502, logbook.WARNING, "This entry no longer owns a shard.")
JOB_ACCEPTED = Event(503, logbook.INFO, "A job was accepted.")
JOB_PLACED = Event(504, logbook.INFO, "A job's attempt was placed.")
JOB_STOPPED = Event(505, logbook.INFO, "A job's attempt stopped.")
JOB_FINISHED = Event(506, logbook.INFO, "A job has finished.")
JOB_HELD = Event(507, logbook.WARNING, "A job is held for its operator.")
JOB_OVERDUE = Event(508, logbook.WARNING, "A job is overdue.")
WORKER_QUARANTINED = Event(509, logbook.WARNING, "A failing worker gets no tasks.")

RECORD_TOO_LARGE = Event(520, logbook.ERROR, "A record is too large to be stored.")
OWNERSHIP_ACQUIRED = Event(521, logbook.INFO, "This entry schedules from now on.")
OWNERSHIP_LOST = Event(522, logbook.WARNING, "This entry no longer schedules.")
TAKEOVER_COMPLETE = Event(
    523, logbook.INFO, "All that earlier owners started is known."
)
WRITER_FENCED = Event(524, logbook.WARNING, "The store refused a superseded writer.")
TOPIC_LOADED = Event(525, logbook.INFO, "A topic's newest records were read.")
AGENT_REMOVED = Event(526, logbook.WARNING, "Nothing is left of a silent agent's host.")
OWNER_STEPPING_DOWN = Event(527, logbook.WARNING, "The owner reaches too few agents.")
OWNER_SUPERSEDED = Event(528, logbook.WARNING, "An agent obeys a later owner.")
JOB_STORED = Event(530, logbook.INFO, "A job was stored and accepted.")
JOB_REFUSED = Event(531, logbook.INFO, "A job was refused and will never run.")
JOB_OUTCOME_UNKNOWN = Event(
    532, logbook.WARNING, "Whether a job was stored is not known."
)
JOB_CANCELLED = Event(533, logbook.INFO, "A job's cancellation was stored.")
CALL_RELAYED = Event(534, logbook.INFO, "Another entry answered for this one.")
RUN_PLACED = Event(540, logbook.INFO, "A run was ordered on a host.")
RUN_ENDED = Event(541, logbook.INFO, "An executor listed the end of a run.")
RUN_LOST = Event(542, logbook.WARNING, "A run has surely ended, without a listed end.")
RUN_STOPPED = Event(543, logbook.INFO, "The stop of a run was ordered.")
RUN_REFUSED = Event(544, logbook.INFO, "An agent did not start a run.")
RUN_UNKNOWN = Event(545, logbook.WARNING, "A reported run belongs to no known job.")
TASK_UNPLACED = Event(547, logbook.INFO, "A task finds no host; counts by reason.")
RUN_PACE_CHANGED = Event(546, logbook.INFO, "A filling run was slowed or sped up.")

EXECUTOR_ANNOUNCED = Event(610, logbook.INFO, "An executor announced itself.")
EXECUTOR_DRAINING = Event(611, logbook.INFO, "An executor began or ended draining.")
EXECUTOR_LEFT = Event(612, logbook.INFO, "An executor has left.")
EXECUTOR_SILENT = Event(613, logbook.WARNING, "The executor does not answer.")
ORDER_REFUSED = Event(614, logbook.WARNING, "The executor refused an order.")
OWNER_ACCEPTED = Event(615, logbook.INFO, "This agent obeys an owner.")
OWNER_REFUSED = Event(616, logbook.WARNING, "A superseded owner was refused.")
ANNOUNCEMENT_MALFORMED = Event(617, logbook.WARNING, "An announcement was refused.")

TASK_STARTED = Event(601, logbook.INFO, "A task has started on this worker.")
TASK_REFUSED = Event(602, logbook.INFO, "A task start was refused.")
TASK_ENDED = Event(603, logbook.INFO, "A task has ended on this worker.")
TASK_LEASE_LAPSED = Event(604, logbook.WARNING, "A task's lease lapsed.")
TASK_EVICTED = Event(605, logbook.INFO, "A task was evicted for a service.")
TASK_THROTTLED = Event(606, logbook.INFO, "Batch tasks were throttled or released.")
WORKER_UNREACHABLE = Event(607, logbook.WARNING, "The worker does not answer.")


def catalogue() -> list[tuple[str, Event]]:
    """Return every event with its name, in the order of the numbers."""
    pairs = [(k, v) for k, v in globals().items() if isinstance(v, Event)]
    return sorted(pairs, key=lambda pair: pair[1].number)


class EventCounts:
    """How often each event was written, also where its line was left out.

    :param outcomes: by event number and the line's outcome, reason or answer.
    """

    __slots__ = ("outcomes",)

    def __init__(self) -> None:
        self.outcomes: dict[tuple[int, str], int] = {}

    def add(self, event: Event, fields: dict[str, Any]) -> None:
        """Count one event."""
        kind = ""
        for name in OUTCOME_FIELDS:
            if name in fields:
                kind = str(fields[name])
                break
        key = (event.number, kind)
        self.outcomes[key] = self.outcomes.get(key, 0) + 1


OUTCOME_FIELDS = ("ending", "outcome", "answer", "state", "order")
counts = EventCounts()


def write(event: Event, **fields: Any) -> None:
    """Write one log line for ``event``."""
    counts.add(event, fields)
    logger.log(event.level, event.text, extra={"number": event.number, **fields})


def format_text(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    """Return a log line for people."""
    extra = dict(record.extra)
    number = extra.pop("number", 0)
    tail = " ".join(f"{key}={value}" for key, value in extra.items())
    stamp = record.time.isoformat(timespec="milliseconds")
    return f"{stamp} {record.level_name} [{number}] {record.message} {tail}".rstrip()


def format_json(record: logbook.LogRecord, _handler: logbook.Handler | None) -> str:
    """Return a log line for programs: one JSON object."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "event": record.extra.get("number", 0),
        "text": record.message,
    }
    fields |= {k: v for k, v in record.extra.items() if k != "number"}
    return msgspec.json.encode(fields, enc_hook=str).decode()


def configure(as_json: bool, level: str) -> None:
    """Send the log lines of this process to standard error."""
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())
    handler.formatter = format_json if as_json else format_text
    handler.push_application()
