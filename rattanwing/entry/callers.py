"""HTTP interface for callers: ``/services/<service>/<path>``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanwing import events
from rattanwing.config.declarations import RequestClass
from rattanwing.entry.dispatch import CallerRequest
from rattanwing.util.http_server import Response, error_response
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from rattanwing.application import Application
    from rattanwing.messages import ServiceAnswer
    from rattanwing.util.http_server import HttpServer, Request

VERDICT_HEADER = b"rattanwing-verdict"
REASON_HEADER = b"rattanwing-reason"
TIMEOUT_HEADER = b"rattanwing-timeout-ms"
KEY_HEADER = b"idempotency-key"

RETRY_AFTER_S = b"1"
"""Seconds after which a caller may retry a request that did not run."""

MAX_TIMEOUT_MS = 60_000
"""Longest timeout that a caller may ask for, in milliseconds."""

MAX_KEY_BYTES = 200
"""Longest idempotency key that a caller may send."""

IDEMPOTENT_METHODS = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE"}
"""Methods whose requests are retried even if an earlier attempt may have run."""

DEFAULT_CLASS = RequestClass("/", "default")
"""Class of requests that match no declared class."""

HOP_BY_HOP_HEADERS = {
    b"connection",
    b"keep-alive",
    b"proxy-authenticate",
    b"proxy-authorization",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"host",
    b"content-length",
    TIMEOUT_HEADER,
}
"""Headers that apply to one connection or to this entry, and are not forwarded."""


class CallerInterface:
    """Dispatches callers' HTTP requests and turns answers into HTTP responses."""

    __slots__ = ("app",)

    def __init__(self, app: Application) -> None:
        self.app = app

    async def handle(self, request: Request) -> Response:
        """Check and dispatch one caller's request, and return the response."""
        service = request.match["service"]
        declaration = self.app.get("config").tree.services().get(service)
        if declaration is None and not self.is_announced(service):
            return refusal_response(404, "unknown-service", f"no service {service!r}")
        path = request.match["path"]
        request_class = match_request_class(
            path, declaration.classes if declaration else []
        )
        timeout_ms = parse_timeout(request, request_class.timeout_ms)
        if timeout_ms is None:
            events.write(events.REQUEST_MALFORMED, service=service, path=path)
            detail = f"{TIMEOUT_HEADER.decode()} must be 1 to {MAX_TIMEOUT_MS}"
            return refusal_response(400, "malformed-timeout", detail)
        key = request.header(KEY_HEADER)
        if key is not None and not 0 < len(key) <= MAX_KEY_BYTES:
            events.write(events.REQUEST_MALFORMED, service=service, path=path)
            return refusal_response(400, "malformed-key", f"1 to {MAX_KEY_BYTES} bytes")
        started_at = self.app.now()
        caller_request = CallerRequest(
            service,
            request_class.name,
            request_class.priority,
            started_at + timeout_ms / 1000,
            request.method in IDEMPOTENT_METHODS,
            request.method,
            strip_service_prefix(request, service),
            end_to_end_headers(request.headers),
            request.body,
        )
        answer = await self.run(caller_request, key)
        metrics = self.app.get("metrics")
        elapsed_s = self.app.now() - started_at
        metrics.add_latency(service, request_class.name, elapsed_s)
        metrics.count("requests", answer.verdict)
        return to_response(answer)

    async def run(self, request: CallerRequest, key: str | None) -> ServiceAnswer:
        """Dispatch a request, at most once per key unless it is idempotent."""
        if key is None or request.idempotent:
            return await self.app.get("dispatch").dispatch(request)
        return await self.app.get("keys").dispatch(request, key)

    def is_announced(self, service: str) -> bool:
        """Return whether any agent has announced an executor of the service."""
        return any(
            handle.hello.executor is not None
            and handle.hello.executor.service == service
            for handle in self.app.get("agents").agents.values()
        )


def match_request_class(path: str, classes: list[RequestClass]) -> RequestClass:
    """Return the class with the longest prefix that matches the path."""
    matching = [item for item in classes if path.startswith(item.prefix)]
    return max(matching, key=lambda item: len(item.prefix), default=DEFAULT_CLASS)


def parse_timeout(request: Request, default_ms: int) -> int | None:
    """Return the caller's timeout in milliseconds, or ``None`` if malformed."""
    text = request.header(TIMEOUT_HEADER)
    if text is None:
        return default_ms
    if not text.isascii() or not text.isdigit() or len(text) > 6:
        return None
    value = int(text)
    return value if 1 <= value <= MAX_TIMEOUT_MS else None


def strip_service_prefix(request: Request, service: str) -> str:
    """Return the request target as the executor receives it."""
    rest = request.raw_target.removeprefix(f"/services/{service}")
    return rest if rest.startswith("/") else "/" + rest


def end_to_end_headers(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward, without hop-by-hop headers.

    Headers that the ``Connection`` header names are hop-by-hop, too.
    """
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [(k, v) for k, v in headers if k.lower() not in dropped]


def refusal_response(status: int, rule: str, detail: str) -> Response:
    """Return the response to a request that is refused before any attempt.

    :param rule: error kind of the check that refused the request.
    """
    response = error_response(status, rule, detail)
    response.headers.append((VERDICT_HEADER, Verdict.NOT_RUN.value.encode()))
    return response


def to_response(answer: ServiceAnswer) -> Response:
    """Return the HTTP response for an answer."""
    verdict = (VERDICT_HEADER, answer.verdict.encode())
    match Verdict(answer.verdict):
        case Verdict.RAN:
            headers = [*end_to_end_headers(answer.headers), verdict]
            return Response(answer.status, headers, answer.body)
        case Verdict.NOT_RUN if answer.reason == "key-reused":
            response = error_response(
                422, "key-reused", "the key names another request"
            )
        case Verdict.NOT_RUN:
            response = error_response(503, "not-run", answer.reason)
            response.headers.append((b"retry-after", RETRY_AFTER_S))
        case Verdict.MAY_HAVE_RUN:
            status = 504 if answer.reason == "timeout" else 502
            response = error_response(status, "may-have-run", answer.reason)
    response.headers.append(verdict)
    response.headers.append((REASON_HEADER, answer.reason.encode()))
    return response


def setup(app: Application) -> None:
    """Register the service ``callers``."""
    app.add_service("callers", CallerInterface(app))


def add_routes(app: Application, server: HttpServer) -> None:
    """Add the callers' routes to the entry's HTTP server."""
    pattern = r"/services/(?P<service>[a-z0-9-]+)(?P<path>/.*|)"
    server.route("*", pattern, app.get("callers").handle)
