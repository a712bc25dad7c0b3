"""The operators' tool as a client of the entries."""

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
    """No entry answered."""


class UnconfirmedError(RattanwingError):
    """A change may take effect, but no entry has confirmed it."""


class EntryClient:
    """Calls the first entry that answers.

    :param entries: addresses ``ip:port``, tried in order.
    """

    __slots__ = ("entries",)

    def __init__(self, entries: list[str]) -> None:
        self.entries = entries

    def call(self, method: str, target: str, body: Any = None) -> tuple[int, Any]:
        """Return the status and decoded body of the first entry that answers.

        Only calls that change nothing go on to the next entry after a lost
        answer.

        :raises UnreachableError: when no connection could be made.
        :raises UnconfirmedError: when the answer to a change was lost.
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
                    raise UnconfirmedError(f"{entry}: answer lost") from error
                problems.append(f"{entry}: answer lost")
        raise UnreachableError("; ".join(problems) or "no entry named")

    def call_entry(
        self, entry: str, method: str, target: str, body: Any
    ) -> tuple[int, Any]:
        """Return the status and decoded body of one entry's answer."""
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
            detail = f"{entry} answered {answer.status} without JSON"
            raise UnreachableError(detail) from error

    def get(self, target: str) -> Any:
        """Return the body of a successful reading call.

        :raises RejectedError: when the entry answered with an error.
        """
        status, body = self.call("GET", target)
        return expect_ok(status, body)

    def change_config(
        self, author: str, edits: list[dict[str, Any]], settle: bool
    ) -> int:
        """Change the configuration and return its new version.

        A lost answer is resolved by reading the verdict on the change's id.

        :raises RejectedError: when the change was refused.
        :raises UnconfirmedError: when its verdict can't be read.
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
        """Return the tree's version once the change is seen to be accepted."""
        for _try in range(RESOLVE_TRIES):
            status, body = self.call("GET", f"/api/changes/{change_id}")
            if status == 200 and body["verdict"] == "accepted":
                return self.get("/api/config")["version"]
            if status == 200:
                raise RejectedError(body["verdict"], f"change {change_id}")
            time.sleep(RESOLVE_DELAY_S)
        raise UnconfirmedError(f"change {change_id} stands in no entry's view yet")

    def submit_job(self, spec: dict[str, Any]) -> None:
        """Submit a job; a lost answer is resolved by reading for its name.

        :raises RejectedError: when the job was refused.
        :raises UnconfirmedError: when it can't be read.
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
        raise UnconfirmedError(f"job {spec['id']} stands in no entry's view yet")


def expect_ok(status: int, body: Any) -> Any:
    """Return the body of a successful answer.

    :raises RejectedError: when the entry refused.
    :raises UnconfirmedError: when it could not confirm.
    """
    if status == 200:
        return body
    if not isinstance(body, dict):
        raise RejectedError(str(status), "the entry gave no reason")
    if status == 504:
        raise UnconfirmedError(body.get("detail", ""))
    raise RejectedError(body.get("error", str(status)), body.get("detail", ""))
