"""Compares a directory of declarations with the configuration tree."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from rattanwing.config.declarations import parse_declaration
from rattanwing.errors import RejectedError, SettingsError

if TYPE_CHECKING:
    from pathlib import Path

SUFFIX = ".json"


class PlannedEdit(msgspec.Struct):
    """One edit that makes the tree match the directory.

    :param action: ``create``, ``update`` or ``remove``.
    :param base: version of the node in the tree, 0 if the tree has no such node.
    """

    action: str
    path: str
    base: int
    old: Any
    value: Any


def read_directory(folder: Path) -> dict[str, Any]:
    """Return the declared values by path.

    :raises SettingsError: with all problems in all files.
    """
    if not folder.is_dir():
        raise SettingsError([f"{folder}: not a directory"])
    values = {}
    problems = []
    for file in sorted(folder.rglob(f"*{SUFFIX}")):
        path = file.relative_to(folder).as_posix().removesuffix(SUFFIX)
        try:
            values[path] = msgspec.json.decode(file.read_bytes())
            parse_declaration(path, values[path])
        except RejectedError as error:
            problems.append(f"{file}: {error.detail}")
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            problems.append(f"{file}: not JSON: {error}")
    if problems:
        raise SettingsError(problems)
    return values


def plan_edits(
    wanted: dict[str, Any], nodes: dict[str, Any], prune: bool
) -> list[PlannedEdit]:
    """Return the edits that make the tree match the directory.

    :param wanted: the declared values by path.
    :param nodes: the nodes of the tree by path, as returned by ``/api/config``.
    :param prune: also remove nodes that no file declares.
    """
    edits = []
    for path, value in wanted.items():
        node = nodes.get(path)
        if node is None:
            edits.append(PlannedEdit("create", path, 0, None, value))
        elif node["value"] != value:
            edits.append(
                PlannedEdit("update", path, node["version"], node["value"], value)
            )
    if not prune:
        return edits
    return edits + [
        PlannedEdit("remove", path, node["version"], node["value"], None)
        for path, node in nodes.items()
        if path not in wanted
    ]


def to_changes(
    edits: list[PlannedEdit], has_organisation: bool
) -> list[list[dict[str, Any]]]:
    """Group the edits into changes, each of which is applied atomically.

    If the tree has no organisation, it is declared in a change of its own first,
    because all other nodes require it.
    """
    rows = [{"path": e.path, "base": e.base, "value": e.value} for e in edits]
    if has_organisation:
        return [rows] if rows else []
    first = [row for row in rows if row["path"] == "organisation"]
    rest = [row for row in rows if row["path"] != "organisation"]
    return [group for group in (first, rest) if group]
