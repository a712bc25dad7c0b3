"""Formats the text and JSON output of ``rattanwing``."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import msgspec


def to_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(value), indent=2).decode()


def to_table(rows: list[dict[str, Any]], columns: list[str]) -> str:
    """Return rows as a table with aligned columns and a header."""
    if not rows:
        return "(none)"
    cells = [columns, *[[to_text(row.get(c)) for c in columns] for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def to_text(value: Any) -> str:
    """Return the text of one table cell."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, dict | list):
        return msgspec.json.encode(value).decode()
    return str(value)


def to_time(seconds: float) -> str:
    """Return a Unix time as ISO 8601 in UTC."""
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")
