"""The configuration tree, folded from its log stream alike in every process."""

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
from rattanwing.errors import MalformedError, RecordError, RejectedError
from rattanwing.log.stream import Outcome
from rattanwing.util.codec import decode

MAX_AUDIT_ROWS = 500
"""Rows that the audit trail keeps; a further row drops the oldest one."""

MAX_KEPT_VERDICTS = 5000
"""Verdicts kept to detect duplicate changes; a further one drops the oldest."""

ABSENT_VERSION = 0
"""Version of a node that does not exist."""

ACCEPTED = "accepted"
"""Verdict on an accepted change; the verdict on a refused one is the rule's name."""


class Edit(msgspec.Struct):
    """A change of one node.

    :param base: version of the node that the author has seen; 0 if it did not exist.
    :param value: the new value, or ``None`` to remove the node.
    """

    path: str
    base: int
    value: Any


class ChangeRecord(msgspec.Struct, tag_field="kind", tag="change"):
    """Edits that are accepted or refused together.

    :param id: chosen by the author's client; a repeated id is refused as a duplicate.
    :param settle: apply the edits even if a node has changed since the version in
        ``base``. Only the owner of the month in which the log appends the change may
        do this, see :class:`~rattanwing.config.declarations.Organisation`.
    """

    id: str
    author: str
    edits: list[Edit]
    settle: bool = False


class Node(msgspec.Struct):
    """One node of the tree.

    :param value: the value as decoded from JSON.
    :param version: offset of the change that set the value, plus one.
    :param author: the operator who set the value.
    """

    value: Any
    version: int
    author: str


class AuditRow(msgspec.Struct):
    """One edit in the audit trail, accepted or refused.

    :param time: when the log appended the change, in seconds since the Unix epoch.
    :param old: value of the node before the edit, or ``None`` if it did not exist.
    :param new: value that the edit sets, or ``None`` if it removes the node.
    :param rule: the rule that refused the change, or ``None`` if it was accepted.
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
    """The whole configuration tree.

    :param upto: offset of the first record that the tree does not include.
    :param seen: the verdicts on recent changes, by change id.
    """

    id: str
    upto: int
    nodes: dict[str, Node]
    audit: list[AuditRow]
    seen: dict[str, str]


_decoder = msgspec.json.Decoder(ChangeRecord | SnapshotRecord)


class ConfigTree:
    """Folds configuration records; every process reaches the same verdicts.

    :param nodes: the nodes by path.
    :param declarations: the typed values of the nodes, by path.
    :param audit: the latest edits, oldest first.
    :param verdicts: ``ACCEPTED`` or the rule that refused the change, by the id of each
        recent change.
    :param next_offset: offset of the latest change, plus one; the end offset of a
        loaded snapshot until the next change.
    :param last_change_version: offset of the latest accepted change, plus one. After
        a snapshot is loaded, the highest version of its nodes, which is lower if the
        latest change removed a node.
    """

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
        """Accept or refuse all edits of a change."""
        self.next_offset = offset + 1
        if change.id in self.verdicts:
            return Outcome(change.id, offset, "duplicate", "seen at a lower offset")
        try:
            values = self.check_change(time, change)
        except RejectedError as error:
            for edit in change.edits:
                self.add_audit_row(
                    offset, time, change.author, edit, error.rule, error.detail
                )
            self.record_verdict(change.id, error.rule)
            return Outcome(change.id, offset, error.rule, error.detail)
        for edit, value in zip(change.edits, values, strict=True):
            self.add_audit_row(offset, time, change.author, edit, None, "")
            self.set_node(offset + 1, change.author, edit, value)
        self.last_change_version = offset + 1
        self.record_verdict(change.id, ACCEPTED)
        return Outcome(change.id, offset, None)

    def record_verdict(self, change_id: str, verdict: str) -> None:
        """Keep the verdict on a change to detect that it is appended again."""
        self.verdicts[change_id] = verdict
        if len(self.verdicts) > MAX_KEPT_VERDICTS:
            del self.verdicts[next(iter(self.verdicts))]

    def check_change(self, time: float, change: ChangeRecord) -> list[Any]:
        """Return the typed values of a change's edits.

        :raises RejectedError: with the rule that refuses the change.
        """
        if not change.edits:
            raise RejectedError("empty-change", "the change has no edits")
        paths = [edit.path for edit in change.edits]
        if len(set(paths)) != len(paths):
            raise RejectedError("doubled-path", "a path stands twice in the change")
        month = datetime.fromtimestamp(time, UTC).strftime("%Y-%m")
        return [self.check_edit(month, change, edit) for edit in change.edits]

    def check_edit(self, month: str, change: ChangeRecord, edit: Edit) -> Any:
        """Return the typed value of one edit, ``None`` for a removal.

        :param month: month of the change, as ``YYYY-MM``.
        :raises RejectedError: with the rule that refuses the edit.
        """
        organisation = self.organisation()
        if organisation is None and edit.path != "organisation":
            raise RejectedError("no-organisation", "declare the organisation first")
        overrides_version = (
            change.settle
            and organisation is not None
            and organisation.owner_of(month) == change.author
        )
        if change.settle and not overrides_version:
            raise RejectedError("not-owner", f"{change.author} is not {month}'s owner")
        if not self.may_change(month, change.author, edit.path):
            detail = f"{change.author} may not change {edit.path}"
            raise RejectedError("not-permitted", detail)
        current = self.version(edit.path)
        if edit.base != current and not overrides_version:
            detail = f"{edit.path} is at version {current}, not {edit.base}"
            raise RejectedError("version-conflict", detail)
        if edit.value is None:
            return None
        return parse_declaration(edit.path, edit.value)

    def may_change(self, month: str, author: str, path: str) -> bool:
        """Return whether an operator may change a node in a month (``YYYY-MM``).

        The owner of the month may change every node, each owner the failure domains,
        and a member of a team the nodes below that team. Before the organisation is
        declared, every operator may change every node.
        """
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
        """Add an edit to the audit trail; call it before the edit is applied."""
        node = self.nodes.get(edit.path)
        old = node.value if node else None
        row = AuditRow(offset, time, author, edit.path, old, edit.value, rule, detail)
        self.audit.append(row)
        del self.audit[:-MAX_AUDIT_ROWS]

    def set_node(self, version: int, author: str, edit: Edit, typed: Any) -> None:
        """Set or remove the node of an accepted edit."""
        if edit.value is None:
            self.nodes.pop(edit.path, None)
            self.declarations.pop(edit.path, None)
            return
        self.nodes[edit.path] = Node(edit.value, version, author)
        self.declarations[edit.path] = typed

    def snapshot_offset(self, record: bytes) -> int | None:
        """Return a snapshot's ``upto``, or ``None`` for a change."""
        decoded = decode_record(record)
        return decoded.upto if isinstance(decoded, SnapshotRecord) else None

    def load_snapshot(self, record: bytes) -> None:
        """Replace the tree with the content of a snapshot record."""
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
        """Return a snapshot record of the tree.

        :param end_offset: offset of the first record that the tree does not include.
        """
        record = SnapshotRecord(
            record_id, end_offset, self.nodes, self.audit, self.verdicts
        )
        return msgspec.json.encode(record)

    def version(self, path: str) -> int:
        """Return the version of a node, or ``ABSENT_VERSION`` if it does not exist."""
        node = self.nodes.get(path)
        return node.version if node else ABSENT_VERSION

    def organisation(self) -> Organisation | None:
        """Return the declared organisation, or ``None`` before its declaration."""
        return self.declarations.get("organisation")

    def domains_out(self) -> list[str]:
        """Return the names of the failure domains with the state ``out``, sorted."""
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
    """Decode a record of the configuration stream.

    :raises RecordError: when the record does not parse.
    """
    try:
        return decode(_decoder, record)
    except MalformedError as error:
        raise RecordError(str(error)) from error
