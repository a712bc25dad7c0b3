"""Run all benchmarks, or the given ones: ``python -m bench [MODULE ...]``."""

from __future__ import annotations

import importlib
import sys

MODULES = ("path", "recovery", "schedule", "policy", "jobs")


def main() -> int:
    """Print each result as a line of JSON.

    :returns: exit status, 1 when a value misses its bound.
    """
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
