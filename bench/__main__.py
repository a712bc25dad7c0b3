"""Runs every benchmark, or those named: ``python -m bench [module ...]``."""

from __future__ import annotations

import importlib
import sys

MODULES = ("path", "recovery", "schedule", "policy")


def main() -> int:
    """Print one JSON object a line; fail when a bound is not kept."""
    names = sys.argv[1:] or MODULES
    missed = 0
    for name in names:
        for row in importlib.import_module(f"bench.{name}").run():
            print(row.to_json(), flush=True)
            missed += not row.ok
    print(f"bounds not met: {missed}", file=sys.stderr)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
