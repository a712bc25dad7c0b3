"""HTTP/1.1 client whose errors say whether the request may have run."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore
import msgspec
import trio

from rattanwing.errors import RattanwingError
from rattanwing.verdict import Verdict

if TYPE_CHECKING:
    from typing import Any

CONNECT_TIMEOUT_S = 1.0


class HttpCallError(RattanwingError):
    """A call did not return a complete response.

    :param verdict: whether the server may have acted on the request.
    """

    def __init__(self, verdict: Verdict, detail: str) -> None:
        super().__init__(detail)
        self.verdict = verdict


class HttpResponse(msgspec.Struct):
    """A complete HTTP response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class HttpClient:
    """A pool of connections to one server.

    :param address: ``ip:port`` of the server.
    :param connections: maximum number of open connections.
    """

    __slots__ = ("address", "pool")

    def __init__(self, address: str, connections: int) -> None:
        self.address = address
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            max_keepalive_connections=connections,
            keepalive_expiry=30.0,
        )

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout_s: float,
    ) -> HttpResponse:
        """Send one request and read the complete response.

        :raises HttpCallError: with ``NOT_RUN`` if the request was not sent, because
            no connection was available or the request is malformed, otherwise with
            ``MAY_HAVE_RUN``.
        """
        url = f"http://{self.address}{target}"
        timeouts = {"connect": CONNECT_TIMEOUT_S, "pool": timeout_s}
        try:
            with trio.fail_after(max(0.0, timeout_s)):
                response = await self.pool.request(
                    method,
                    url,
                    headers=[(b"host", self.address.encode()), *headers],
                    content=body,
                    extensions={"timeout": timeouts},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            raise HttpCallError(Verdict.NOT_RUN, f"no connection: {error}") from error
        except httpcore.PoolTimeout as error:
            raise HttpCallError(Verdict.NOT_RUN, "no free connection") from error
        except httpcore.LocalProtocolError as error:
            raise HttpCallError(Verdict.NOT_RUN, f"bad request: {error}") from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            detail = f"answer lost: {type(error).__name__}"
            raise HttpCallError(Verdict.MAY_HAVE_RUN, detail) from error
        except trio.TooSlowError as error:
            raise HttpCallError(Verdict.MAY_HAVE_RUN, "no answer in time") from error
        return HttpResponse(response.status, list(response.headers), response.content)

    async def call_json(
        self, method: str, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any]:
        """Send a JSON body, if any, and return the status and the decoded body.

        :raises HttpCallError: if the response is incomplete or its body is not JSON.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        headers = [(b"content-type", b"application/json")]
        response = await self.call(method, target, headers, content, timeout_s)
        if not response.body:
            return response.status, None
        try:
            return response.status, msgspec.json.decode(response.body)
        except msgspec.DecodeError as error:
            detail = f"answer is not JSON: {error}"
            raise HttpCallError(Verdict.MAY_HAVE_RUN, detail) from error
