"""HTTP requests and responses, as handlers receive and return them."""

from __future__ import annotations

import traceback
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl, unquote

import msgspec

from rattanwing import events
from rattanwing.errors import RejectedError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MAX_QUERY_FIELDS = 100
HEADERS_JSON = [(b"content-type", b"application/json")]


class Request(msgspec.Struct):
    """A complete HTTP request.

    :param raw_target: path and query as sent, not percent-decoded.
    :param match: values of the named groups in the route's pattern.
    """

    method: str
    path: str
    raw_target: str
    query: dict[str, str]
    headers: list[tuple[bytes, bytes]]
    body: bytes
    match: dict[str, str]

    def header(self, name: bytes) -> str | None:
        """Return the first value of a header, given its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value.decode("latin-1")
        return None


class Response(msgspec.Struct):
    """A complete HTTP response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def json_response(status: int, value: Any) -> Response:
    """Return a response with a JSON body."""
    return Response(status, list(HEADERS_JSON), msgspec.json.encode(value))


def metrics_response(text: str) -> Response:
    """Return a response with metrics in the Prometheus text format."""
    headers = [(b"content-type", b"text/plain; version=0.0.4")]
    return Response(200, headers, text.encode())


def error_response(status: int, rule: str, detail: str) -> Response:
    """Return an error response with the common JSON body for errors."""
    return json_response(status, {"error": rule, "detail": detail})


async def call_handler(
    handler: Callable[[Request], Awaitable[Response]], request: Request
) -> Response:
    """Return the handler's response, or status 500 after an unexpected error."""
    try:
        return await handler(request)
    except Exception as error:
        detail = "".join(traceback.format_exception(error))
        events.write(events.REQUEST_FAILED, path=request.path, trace=detail)
        return error_response(500, "internal-error", "see the log of this process")


def make_request(
    method: str, raw_target: bytes, headers: list[tuple[bytes, bytes]], body: bytes
) -> Request:
    """Return a request without the groups of a route.

    :param headers: with lower-case names.
    :raises RejectedError: when the target is not ASCII or its query has too many
        fields.
    """
    path, _, query = raw_target.partition(b"?")
    try:
        target = raw_target.decode("ascii")
        decoded = unquote(path.decode("ascii"))
        fields = (
            parse_qsl(query.decode("ascii"), max_num_fields=MAX_QUERY_FIELDS)
            if query
            else ()
        )
    except ValueError as error:
        raise RejectedError("malformed-target", str(error)) from error
    return Request(method, decoded, target, dict(fields), headers, body, {})
