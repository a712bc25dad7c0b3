"""Run the unit tests and judge the failures against KNOWN-RED.txt."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red() -> set[str]:
    """Return the test ids that KNOWN-RED.txt lists in lines ``test: <id>``."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def load(proofs_only: bool) -> unittest.TestSuite:
    """Return the suite, restricted to ``test_proof_*`` modules on request."""
    pattern = "test_proof_*.py" if proofs_only else "test_*.py"
    return unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern, top_level_dir=str(ROOT)
    )


def main() -> int:
    """Run the tests; known red ones are printed and do not fail the run."""
    known = read_known_red()
    result = unittest.TextTestRunner(verbosity=1).run(load("--proofs" in sys.argv))
    bad = {test.id() for test, _ in result.failures + result.errors}
    bad |= {test.id() for test in result.unexpectedSuccesses}
    for name in sorted(known):
        state = "failed as recorded" if name in bad else "passed this time"
        print(f"KNOWN RED {name}: {state}")
    new = bad - known
    print(f"{result.testsRun - len(bad)} passed, {len(new)} failed")
    if result.testsRun == 0:
        return 1
    return 1 if new else 0


if __name__ == "__main__":
    sys.exit(main())
