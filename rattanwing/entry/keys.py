"""Idempotency keys: requests with the same key run at most once across entries.

Before dispatch, an entry appends a begin record for the key to the log. The entry
whose record has the lowest offset dispatches the request and appends its result;
the other entries wait for that result and return it.
"""

from __future__ import annotations

import hashlib
import uuid
import zlib
from typing import TYPE_CHECKING

import msgspec
import trio

from rattanwing.entry.dispatch import may_have_run_answer, not_run_answer
from rattanwing.errors import LogUnavailableError, MalformedError, RecordError
from rattanwing.log.stream import LogStream, Outcome
from rattanwing.messages import ServiceAnswer
from rattanwing.util.codec import decode
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.entry.dispatch import CallerRequest

KEY_STREAMS = 2
"""Number of log streams that the keys are spread over."""

MAX_KEPT_KEYS = 20_000
"""Keys kept for each stream; a further key drops the oldest one and its result."""

MAX_KEPT_RELEASES = 2_000
"""Begin records of released keys whose ids are kept for each stream. They are kept for
the late or second append of a begin record, which follows within seconds."""

MAX_KEPT_BODY_BYTES = 64 * 1024
"""Largest response body that is kept for resends; the result of a larger one is kept
as "may have run"."""

RESULT_TIMEOUT_S = 600.0
"""Seconds; not used. A resend waits for the first dispatch's result until its own
deadline."""


class KeyBegin(msgspec.Struct, tag_field="kind", tag="begin"):
    """An entry is about to dispatch the request with this key.

    :param digest: digest of the request; a resend must have the same one.
    """

    id: str
    key: str
    digest: str


class KeyResult(msgspec.Struct, tag_field="kind", tag="result"):
    """The answer to the request with this key.

    :param begin: id of the :class:`KeyBegin` record that it completes.
    """

    id: str
    key: str
    begin: str
    verdict: str
    reason: str
    status: int
    headers: list[tuple[str, str]]
    body: bytes


class KeySnapshot(msgspec.Struct, tag_field="kind", tag="snapshot"):
    """All kept keys at one offset of the stream.

    :param upto: offset of the first record that the snapshot does not include.
    :param begun: the begin records in :attr:`KeyTable.begins`.
    :param released: the ids in :attr:`KeyTable.released`.
    """

    id: str
    upto: int
    begun: list[KeyBegin]
    results: list[KeyResult]
    released: list[str] = []


_decoder = msgspec.json.Decoder(KeyBegin | KeyResult | KeySnapshot)


class KeyTable:
    """Fold of one stream of key records.

    :param begins: the accepted begin record of each key, oldest first.
    :param results: answers by key, once they are recorded.
    :param released: ids of begin records whose request did not run, oldest first. One
        may be appended after its result, or a second time.
    """

    __slots__ = ("begins", "results", "released")

    def __init__(self) -> None:
        self.begins: dict[str, KeyBegin] = {}
        self.results: dict[str, KeyResult] = {}
        self.released: dict[str, None] = {}

    def apply(self, offset: int, _time: float, record: bytes) -> Outcome:
        """Apply one record; see :class:`rattanwing.log.stream.Fold`."""
        decoded = decode_record(record)
        rule = None
        match decoded:
            case KeyBegin(key=key):
                rule = self.apply_begin(key, decoded)
            case KeyResult(key=key):
                rule = self.apply_result(key, decoded)
        return Outcome(decoded.id, offset, rule)

    def apply_begin(self, key: str, begin: KeyBegin) -> str | None:
        """Accept the first begin record of a key; refuse later ones.

        :returns: the rule that refuses the record, or ``None``.
        """
        known = self.begins.get(key)
        if known is not None and known.id != begin.id:
            return "key-begun"
        if begin.id in self.released:
            return "key-released"
        self.begins[key] = begin
        if len(self.begins) > MAX_KEPT_KEYS:
            oldest = next(iter(self.begins))
            del self.begins[oldest]
            self.results.pop(oldest, None)
        return None

    def apply_result(self, key: str, result: KeyResult) -> str | None:
        """Keep the answer, or release a key whose request did not run.

        :returns: the rule that refuses the record, or ``None``.
        """
        begin = self.begins.get(key)
        if result.verdict == Verdict.NOT_RUN.value:
            self.record_release(result.begin)
        if begin is None or begin.id != result.begin:
            return "stale-result"
        if result.verdict == Verdict.NOT_RUN.value:
            del self.begins[key]
            return None
        self.results[key] = result
        return None

    def record_release(self, begin_id: str) -> None:
        """Record that the request of a begin record is never dispatched again."""
        self.released[begin_id] = None
        if len(self.released) > MAX_KEPT_RELEASES:
            del self.released[next(iter(self.released))]

    def snapshot_offset(self, record: bytes) -> int | None:
        """Return a snapshot's ``upto``, or ``None`` for a record of another kind."""
        if b'"snapshot"' not in record[:64]:
            return None
        decoded = decode_record(record)
        return decoded.upto if isinstance(decoded, KeySnapshot) else None

    def load_snapshot(self, record: bytes) -> None:
        """Replace the table with a snapshot."""
        snapshot = decode_record(record)
        self.begins = {begin.key: begin for begin in snapshot.begun}
        self.results = {result.key: result for result in snapshot.results}
        self.released = dict.fromkeys(snapshot.released)

    def make_snapshot(self, record_id: str, end_offset: int) -> bytes:
        """Return a snapshot record of the table.

        :param end_offset: offset of the first record that the table does not include.
        """
        begun, results = list(self.begins.values()), list(self.results.values())
        released = list(self.released)
        snapshot = KeySnapshot(record_id, end_offset, begun, results, released)
        return msgspec.json.encode(snapshot)


class KeyService:
    """Dispatches requests with a key, at most once per key across all entries."""

    __slots__ = ("app", "streams")

    def __init__(self, app: Application) -> None:
        self.app = app
        self.streams = [self.make_stream(n) for n in range(KEY_STREAMS)]

    def make_stream(self, number: int) -> LogStream:
        """Return one stream of key records."""
        interval = self.app.settings.entry.snapshot_interval_s
        log = self.app.get("log")
        return LogStream(log, f"keys-{number}", KeyTable(), self.app.now, interval)

    def stream_for(self, key: str) -> LogStream:
        """Return the stream that holds a key's records."""
        return self.streams[zlib.crc32(key.encode()) % len(self.streams)]

    async def dispatch(self, request: CallerRequest, key: str) -> ServiceAnswer:
        """Dispatch a request, or return the answer of its key's first dispatch."""
        full_key = f"{request.service}/{key}"
        stream = self.stream_for(full_key)
        begin = KeyBegin(f"begin-{uuid.uuid4().hex}", full_key, request_digest(request))
        payload = msgspec.json.encode(begin)
        left_s = request.deadline - self.app.now()
        try:
            outcome = await stream.commit(begin.id, payload, left_s)
        except LogUnavailableError:
            self.release_key(stream, begin)
            return not_run_answer("", "log-unavailable")
        if not outcome.accepted:
            return await self.wait_for_first_result(request, stream, begin)
        answer = await self.app.get("dispatch").dispatch(request)
        self.record_result(stream, begin, answer)
        return answer

    def release_key(self, stream: LogStream, begin: KeyBegin) -> None:
        """Record that a key's request did not run, which releases the key.

        Used when the begin record was not confirmed in time: it may still take
        effect, but its request is not dispatched.
        """
        self.record_result(stream, begin, not_run_answer("", "log-unavailable"))

    def record_result(
        self, stream: LogStream, begin: KeyBegin, answer: ServiceAnswer
    ) -> None:
        """Queue the answer for the log, without waiting until it is stored."""
        too_large = len(answer.body) > MAX_KEPT_BODY_BYTES
        kept = may_have_run_answer("", "result-not-kept") if too_large else answer
        result = KeyResult(
            f"result-{begin.id}",
            begin.key,
            begin.id,
            kept.verdict,
            kept.reason,
            kept.status,
            [(k.decode("latin-1"), v.decode("latin-1")) for k, v in kept.headers],
            kept.body,
        )
        stream.enqueue(result.id, msgspec.json.encode(result))

    async def wait_for_first_result(
        self, request: CallerRequest, stream: LogStream, begin: KeyBegin
    ) -> ServiceAnswer:
        """Return the answer of the key's first dispatch; wait until the deadline."""
        table = stream.fold
        first = table.begins.get(begin.key)
        if first is not None and first.digest != begin.digest:
            return not_run_answer("", "key-reused")
        while begin.key in table.begins:
            result = table.results.get(begin.key)
            if result is not None:
                return replayed_answer(result)
            left_s = request.deadline - self.app.now()
            if left_s <= 0:
                return may_have_run_answer("", "timeout")
            with trio.move_on_after(left_s):
                await stream.read_done.wait()
        return not_run_answer("", "first-attempt-refused")


def replayed_answer(result: KeyResult) -> ServiceAnswer:
    """Return the kept answer of an earlier dispatch, with a header that says so."""
    headers = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in result.headers]
    headers.append((b"rattanwing-replayed", b"true"))
    return ServiceAnswer(
        "", result.verdict, result.reason, result.status, headers, result.body
    )


def request_digest(request: CallerRequest) -> str:
    """Return a digest of the parts of a request that a resend must repeat."""
    parts = [request.method.encode(), request.target.encode(), request.body]
    return hashlib.blake2b(b"\0".join(parts), digest_size=12).hexdigest()


def decode_record(record: bytes) -> KeyBegin | KeyResult | KeySnapshot:
    """Return the typed form of a key record.

    :raises RecordError: when it does not parse.
    """
    try:
        return decode(_decoder, record)
    except MalformedError as error:
        raise RecordError(str(error)) from error


def setup(app: Application) -> None:
    """Register the service ``keys`` and its background tasks."""
    service = KeyService(app)
    app.add_service("keys", service)
    for stream in service.streams:
        app.add_task(stream.run)
