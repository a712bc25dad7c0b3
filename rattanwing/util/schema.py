"""Validates JSON values against typed classes and reports all problems at once."""

from __future__ import annotations

import types
import typing
from typing import Any

import msgspec


def convert(kind: Any, value: Any, path: str = "") -> tuple[Any, list[str]]:
    """Convert a JSON value to ``kind``.

    :param kind: a msgspec struct class or any type that msgspec converts.
    :param path: path of the value in the document, used in the messages.
    :returns: the converted value, or ``None`` if it is invalid, and one line per
        problem.
    """
    kind = strip_optional(kind, value)
    if is_struct(kind):
        return convert_struct(kind, value, path)
    origin = typing.get_origin(kind)
    if origin is list and isinstance(value, list):
        return convert_list(typing.get_args(kind)[0], value, path)
    if origin is dict and isinstance(value, dict):
        return convert_dict(typing.get_args(kind)[1], value, path)
    try:
        return msgspec.convert(value, kind), leaf_problems(kind, value, path)
    except msgspec.ValidationError as error:
        detail = str(error).partition(" - at ")[0]
        return None, [f"{path or '.'}: {detail}"]


def leaf_problems(kind: Any, value: Any, path: str) -> list[str]:
    """Return the problem that the type's additional check finds, if any.

    The check is the function under the key ``check`` of ``msgspec.Meta.extra``. It
    returns an error message or ``None``.
    """
    for meta in getattr(kind, "__metadata__", ()):
        problem = (meta.extra or {}).get("check", lambda _value: None)(value)
        if problem:
            return [f"{path or '.'}: {problem}"]
    return []


def is_struct(kind: Any) -> bool:
    """Return whether ``kind`` is a msgspec struct class."""
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def strip_optional(kind: Any, value: Any) -> Any:
    """Return ``X`` for ``X | None`` if ``value`` is not ``None``, else ``kind``."""
    if not isinstance(kind, types.UnionType) and typing.get_origin(kind) is not (
        typing.Union
    ):
        return kind
    members = [arg for arg in typing.get_args(kind) if arg is not type(None)]
    return members[0] if value is not None and len(members) == 1 else kind


def convert_struct(kind: Any, value: Any, path: str) -> tuple[Any, list[str]]:
    """Convert a JSON object to a struct."""
    if not isinstance(value, dict):
        return None, [f"{path or '.'}: Expected `object`, got `{type_name(value)}`"]
    fields = {f.encode_name: f for f in msgspec.structs.fields(kind)}
    problems = [f"{join(path, k)}: unknown key" for k in value if k not in fields]
    converted = {}
    for name, field in fields.items():
        if name not in value:
            if field.required:
                problems.append(f"{join(path, name)}: missing")
            continue
        item, item_problems = convert(field.type, value[name], join(path, name))
        problems.extend(item_problems)
        converted[field.name] = item
    if problems:
        return None, problems
    struct = kind(**converted)
    return struct, [f"{join(path, p)}" for p in semantic_problems(struct)]


def semantic_problems(struct: Any) -> list[str]:
    """Return what the struct's ``problems`` method finds, if it has one."""
    method = getattr(struct, "problems", None)
    return list(method()) if method else []


def convert_list(kind: Any, value: list[Any], path: str) -> tuple[Any, list[str]]:
    """Convert each item of a list."""
    results = [convert(kind, item, f"{path}[{i}]") for i, item in enumerate(value)]
    return [r[0] for r in results], [p for r in results for p in r[1]]


def convert_dict(kind: Any, value: dict[str, Any], path: str) -> tuple[Any, list[str]]:
    """Convert each value of a JSON object with arbitrary keys."""
    results = {k: convert(kind, v, join(path, k)) for k, v in value.items()}
    converted = {k: r[0] for k, r in results.items()}
    return converted, [p for r in results.values() for p in r[1]]


def join(path: str, name: str) -> str:
    """Return the path of a child value."""
    return f"{path}.{name}" if path else name


def type_name(value: Any) -> str:
    """Return the name that msgspec's messages use for a value's type."""
    names = {list: "array", dict: "object", str: "str", type(None): "null"}
    return names.get(type(value), type(value).__name__)
