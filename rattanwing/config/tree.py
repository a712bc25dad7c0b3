"""The configuration tree: a fold of the log, the same in every process."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import msgspec

from rattanwing.config.declarations import (
    FailureDomain,
    Organisation,
    ServiceDeclaration,
    Team,
    parse_declaration,
)
from rattanwing.errors import RecordError, RejectedError
from rattanwing.log.stream import Outcome

MAX_AUDIT_ROWS = 500
MAX_KEPT_VERDICTS = 5000
ABSENT_VERSION = 0
ACCEPTED = "accepted"


class Edit(msgspec.Struct):
    """One change to one node.

    :param base: the node's version that the author saw; 0 for absent.
    :param value: the new value, or ``None`` to remove the node.
    """

    path: str
    base: int
    value: Any


class ChangeRecord(msgspec.Struct, tag_field="kind", tag="change"):
    """Edits that take effect together or not at all.

    :param settle: the month's owner overrides the version check.
    """

    id: str
    author: str
    edits: list[Edit]
    settle: bool = False


class Node(msgspec.Struct):
    """One node of the tree.

    :param version: one more than the offset of the change that set it.
    """

    value: Any
    version: int
    author: str


class AuditRow(msgspec.Struct):
    """Who changed what, from, to, with which verdict.

    :param rule: the rule that refused the change, or ``None``.
    """

    offset: int
    time: float
    author: str
    path: str
    old: Any
    new: Any
    rule: str | None
    detail: str = ""


class SnapshotRecord(msgspec.Struct, tag_field="kind", tag="snapshot"):
    """The whole tree as folded before offset ``upto``."""

    id: str
    upto: int
    nodes: dict[str, Node]
    audit: list[AuditRow]
    seen: dict[str, str]


_decoder = msgspec.json.Decoder(ChangeRecord | SnapshotRecord)


class ConfigTree:
    """Folds configuration records; every process reaches the same verdicts."""

    __slots__ = (
        "nodes",
        "declarations",
        "audit",
        "verdicts",
        "next_offset",
        "last_change_version",
    )

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.declarations: dict[str, Any] = {}
        self.audit: list[AuditRow] = []
        self.verdicts: dict[str, str] = {}
        self.next_offset = 0
        self.last_change_version = 0

    def apply(self, offset: int, time: float, record: bytes) -> Outcome:
        """Apply one record; see :class:`rattanwing.log.stream.Fold`."""
        match decode_record(record):
            case SnapshotRecord(id=record_id):
                return Outcome(record_id, offset, None)
            case ChangeRecord() as change:
                return self.apply_change(offset, time, change)

    def apply_change(self, offset: int, time: float, change: ChangeRecord) -> Outcome:
        """Accept or refuse one change as a whole."""
        self.next_offset = offset + 1
        if change.id in self.verdicts:
            return Outcome(change.id, offset, "duplicate", "seen at a lower offset")
        try:
            typed = self.check_change(time, change)
        except RejectedError as error:
            for edit in change.edits:
                self.add_audit_row(
                    offset, time, change.author, edit, error.rule, error.detail
                )
            self.record_verdict(change.id, error.rule)
            return Outcome(change.id, offset, error.rule, error.detail)
        for edit, value in zip(change.edits, typed, strict=True):
            self.add_audit_row(offset, time, change.author, edit, None, "")
            self.set_node(offset + 1, change.author, edit, value)
        self.last_change_version = offset + 1
        self.record_verdict(change.id, ACCEPTED)
        return Outcome(change.id, offset, None)

    def record_verdict(self, change_id: str, verdict: str) -> None:
        """Keep a change's verdict, so that a second append has no effect."""
        self.verdicts[change_id] = verdict
        if len(self.verdicts) > MAX_KEPT_VERDICTS:
            del self.verdicts[next(iter(self.verdicts))]

    def check_change(self, time: float, change: ChangeRecord) -> list[Any]:
        """Return the typed values of a change's edits.

        :raises RejectedError: naming the rule that is broken.
        """
        if not change.edits:
            raise RejectedError("empty-change", "the change has no edits")
        paths = [edit.path for edit in change.edits]
        if len(set(paths)) != len(paths):
            raise RejectedError("doubled-path", "a path stands twice in the change")
        month = datetime.fromtimestamp(time, UTC).strftime("%Y-%m")
        return [self.check_edit(month, change, edit) for edit in change.edits]

    def check_edit(self, month: str, change: ChangeRecord, edit: Edit) -> Any:
        """Return the typed value of one edit."""
        organisation = self.organisation()
        if organisation is None and edit.path != "organisation":
            raise RejectedError("no-organisation", "declare the organisation first")
        settles = (
            change.settle
            and organisation is not None
            and organisation.owner_of(month) == change.author
        )
        if change.settle and not settles:
            raise RejectedError("not-owner", f"{change.author} is not {month}'s owner")
        if not self.may_change(month, change.author, edit.path):
            detail = f"{change.author} may not change {edit.path}"
            raise RejectedError("not-permitted", detail)
        current = self.version(edit.path)
        if edit.base != current and not settles:
            detail = f"{edit.path} is at version {current}, not {edit.base}"
            raise RejectedError("version-conflict", detail)
        if edit.value is None:
            return None
        return parse_declaration(edit.path, edit.value)

    def may_change(self, month: str, author: str, path: str) -> bool:
        """Return whether ``author`` may change ``path`` in ``month``."""
        organisation = self.organisation()
        if organisation is None or organisation.owner_of(month) == author:
            return True
        parts = path.split("/")
        if parts[0] == "failure-domains":
            return author in organisation.owners
        if parts[0] != "teams" or len(parts) < 3:
            return False
        team = self.declarations.get(f"teams/{parts[1]}")
        return team is not None and author in team.members

    def add_audit_row(
        self,
        offset: int,
        time: float,
        author: str,
        edit: Edit,
        rule: str | None,
        detail: str,
    ) -> None:
        """Add a row to the audit trail."""
        node = self.nodes.get(edit.path)
        old = node.value if node else None
        row = AuditRow(offset, time, author, edit.path, old, edit.value, rule, detail)
        self.audit.append(row)
        del self.audit[:-MAX_AUDIT_ROWS]

    def set_node(self, version: int, author: str, edit: Edit, typed: Any) -> None:
        """Put one accepted edit into the tree."""
        if edit.value is None:
            self.nodes.pop(edit.path, None)
            self.declarations.pop(edit.path, None)
            return
        self.nodes[edit.path] = Node(edit.value, version, author)
        self.declarations[edit.path] = typed

    def snapshot_offset(self, record: bytes) -> int | None:
        """Return the offset a snapshot reaches, or ``None`` for a change."""
        decoded = decode_record(record)
        return decoded.upto if isinstance(decoded, SnapshotRecord) else None

    def load_snapshot(self, record: bytes) -> None:
        """Replace the tree by a snapshot."""
        snapshot = decode_record(record)
        self.nodes = snapshot.nodes
        self.audit = snapshot.audit
        self.verdicts = snapshot.seen
        self.next_offset = snapshot.upto
        versions = [node.version for node in snapshot.nodes.values()]
        self.last_change_version = max(versions, default=0)
        self.declarations = {
            path: parse_declaration(path, node.value)
            for path, node in snapshot.nodes.items()
        }

    def make_snapshot(self, record_id: str, end_offset: int) -> bytes:
        """Return a snapshot record of the tree as folded before ``end_offset``."""
        record = SnapshotRecord(
            record_id, end_offset, self.nodes, self.audit, self.verdicts
        )
        return msgspec.json.encode(record)

    def version(self, path: str) -> int:
        """Return a node's version, 0 when it is absent."""
        node = self.nodes.get(path)
        return node.version if node else ABSENT_VERSION

    def organisation(self) -> Organisation | None:
        """Return who holds the final say, once declared."""
        return self.declarations.get("organisation")

    def domains_out(self) -> list[str]:
        """Return the failure domains that are taken out."""
        prefix = "failure-domains/"
        return sorted(
            path.removeprefix(prefix)
            for path, value in self.declarations.items()
            if isinstance(value, FailureDomain) and value.state == "out"
        )

    def services(self) -> dict[str, ServiceDeclaration]:
        """Return every declared service by name."""
        return {
            path.rpartition("/")[2]: value
            for path, value in self.declarations.items()
            if isinstance(value, ServiceDeclaration)
        }

    def teams(self) -> dict[str, Team]:
        """Return every declared team by name."""
        return {
            path.removeprefix("teams/"): value
            for path, value in self.declarations.items()
            if isinstance(value, Team)
        }


def decode_record(record: bytes) -> ChangeRecord | SnapshotRecord:
    """Return the typed form of a configuration record.

    :raises RecordError: when it does not parse.
    """
    try:
        return _decoder.decode(record)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RecordError(str(error)) from error
