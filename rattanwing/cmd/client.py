"""HTTP client with which ``rattanwing`` calls the entries."""

from __future__ import annotations

import time
import uuid
from typing import Any

import httpcore
import msgspec

from rattanwing.errors import RattanwingError, RejectedError

CALL_TIMEOUT_S = 8.0
RESOLVE_TRIES = 10
RESOLVE_DELAY_S = 0.5


class UnreachableError(RattanwingError):
    """No entry gave a usable answer.

    After an answer without JSON, a change may have taken effect.
    """


class UnconfirmedError(RattanwingError):
    """A change may take effect, but no entry has confirmed it yet."""


class EntryClient:
    """Calls the entries in order until one answers.

    :param entries: addresses ``ip:port``.
    """

    __slots__ = ("entries",)

    def __init__(self, entries: list[str]) -> None:
        self.entries = entries

    def call(self, method: str, target: str, body: Any = None) -> tuple[int, Any]:
        """Return the status and decoded body of the first entry that answers.

        If a connection fails, the next entry is tried. If the answer is lost after
        the request was sent, the next entry is tried only for ``GET``, because any
        other request may already have taken effect.

        :raises UnreachableError: if no entry answered.
        :raises UnconfirmedError: if the answer to a change was lost.
        """
        problems = []
        for entry in self.entries:
            try:
                return self.call_entry(entry, method, target, body)
            except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                problems.append(f"{entry}: {error}")
            except (
                httpcore.NetworkError,
                httpcore.ProtocolError,
                httpcore.TimeoutException,
            ) as error:
                if method != "GET":
                    raise UnconfirmedError(
                        f"{entry}: the answer was lost; "
                        "the change may have taken effect"
                    ) from error
                problems.append(f"{entry}: no complete answer")
        raise UnreachableError("; ".join(problems) or "no entry was given")

    def call_entry(
        self, entry: str, method: str, target: str, body: Any
    ) -> tuple[int, Any]:
        """Return the status and decoded body of one entry's answer.

        :raises UnreachableError: if the body is not JSON.
        """
        phases = ("connect", "read", "write", "pool")
        with httpcore.ConnectionPool() as pool:
            answer = pool.request(
                method,
                f"http://{entry}{target}",
                headers={"content-type": "application/json"},
                content=b"" if body is None else msgspec.json.encode(body),
                extensions={"timeout": dict.fromkeys(phases, CALL_TIMEOUT_S)},
            )
        try:
            return answer.status, msgspec.json.decode(answer.content)
        except msgspec.DecodeError as error:
            detail = (
                f"{entry} answered {answer.status} without JSON; "
                "if this was a change, it may have taken effect"
            )
            raise UnreachableError(detail) from error

    def get(self, target: str) -> Any:
        """Return the body of a successful ``GET``.

        :raises RejectedError: if the entry answered with an error.
        """
        status, body = self.call("GET", target)
        return expect_ok(status, body)

    def change_config(
        self, author: str, edits: list[dict[str, Any]], settle: bool
    ) -> int:
        """Change the configuration; return its version after the change or a later one.

        If the answer is lost, the verdict on the change is read by its id.

        :raises RejectedError: if the change was refused.
        :raises UnconfirmedError: if no verdict appears within the retries.
        """
        change_id = f"change-{uuid.uuid4().hex}"
        body = {"id": change_id, "author": author, "edits": edits, "settle": settle}
        try:
            status, answer = self.call("POST", "/api/config", body)
        except UnconfirmedError:
            status, answer = 504, None
        if status != 504:
            return expect_ok(status, answer)["version"]
        return self.resolve_change(change_id)

    def resolve_change(self, change_id: str) -> int:
        """Poll the verdict on a change; if accepted, return the current version.

        Later changes may have raised the version further.

        :raises RejectedError: if the change was refused.
        :raises UnconfirmedError: if no verdict appears within ``RESOLVE_TRIES``.
        """
        for _try in range(RESOLVE_TRIES):
            status, body = self.call("GET", f"/api/changes/{change_id}")
            if status == 200 and body["verdict"] == "accepted":
                return self.get("/api/config")["version"]
            if status == 200:
                raise RejectedError(body["verdict"], f"change {change_id}")
            time.sleep(RESOLVE_DELAY_S)
        raise UnconfirmedError(
            f"no verdict on change {change_id} yet; it may still take effect"
        )

    def submit_job(self, spec: dict[str, Any]) -> None:
        """Submit a job; if the answer is lost, look the job up by its id.

        Any job with this id counts, also one that was submitted earlier with
        another specification.

        :raises RejectedError: if the job was refused.
        :raises UnconfirmedError: if the job does not appear within the retries.
        """
        try:
            status, body = self.call("POST", "/api/jobs", spec)
        except UnconfirmedError:
            status, body = 504, None
        if status != 504:
            expect_ok(status, body)
            return
        for _try in range(RESOLVE_TRIES):
            status, _body = self.call("GET", f"/api/jobs/{spec['id']}")
            if status == 200:
                return
            time.sleep(RESOLVE_DELAY_S)
        raise UnconfirmedError(
            f"job {spec['id']} is not listed yet; it may still be accepted"
        )


def expect_ok(status: int, body: Any) -> Any:
    """Return the body of a successful answer.

    :raises RejectedError: if the entry answered with an error.
    :raises UnconfirmedError: if the status is 504, which means that the outcome is
        unknown.
    """
    if status == 200:
        return body
    if not isinstance(body, dict):
        raise RejectedError(str(status), "the entry gave no reason")
    if status == 504:
        raise UnconfirmedError(body.get("detail", ""))
    raise RejectedError(body.get("error", str(status)), body.get("detail", ""))
