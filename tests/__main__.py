"""Run the unit tests and judge the failures against KNOWN-RED.txt.

``--proofs`` runs the proofs alone and prints one line a guarantee.
"""

from __future__ import annotations

import re
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
GUARANTEES = {
    1: "a host is never overcommitted",
    2: "a task never runs in two places at once",
    3: "evicted work resumes exactly once",
    4: "no task starts in a failure domain that was taken out",
    5: "each caller gets the whole answer to its own request",
    6: "a refusal that says not-run is true",
    7: "a non-idempotent request runs at most once",
    8: "a leaving target gets no new work",
    9: "a planned stop cuts no request in progress",
    10: "accepted configuration is in force everywhere and never reverts",
}


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


def cases(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the single tests of a suite."""
    found = []
    for item in suite:
        nested = isinstance(item, unittest.TestSuite)
        found += cases(item) if nested else [item]
    return found


def guarantees_of(test: unittest.TestCase) -> set[int]:
    """Return the guarantees that the docstring of a test's class names."""
    text = type(test).__doc__ or ""
    if "All ten" in text:
        return set(GUARANTEES)
    return {int(number) for number in re.findall(r"Guarantee (\d+)", text)}


def print_guarantees(tests: list[unittest.TestCase], bad: set[str]) -> None:
    """Print one line for each guarantee of the brief."""
    for number, guarantee in GUARANTEES.items():
        proofs = [test.id() for test in tests if number in guarantees_of(test)]
        failed = [name for name in proofs if name in bad]
        state = "BROKEN" if failed else "holds"
        print(f"guarantee {number}: {state} in {len(proofs)} proofs: {guarantee}")


def main() -> int:
    """Run the tests; known red ones are printed and do not fail the run."""
    known = read_known_red()
    proofs_only = "--proofs" in sys.argv
    suite = load(proofs_only)
    tests = cases(suite)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = {test_id(test) for test, _ in result.failures + result.errors}
    bad |= {test.id() for test in result.unexpectedSuccesses}
    if proofs_only:
        print_guarantees(tests, bad)
    for name in sorted(known):
        state = "failed as recorded" if name in bad else "passed this time"
        print(f"KNOWN RED {name}: {state}")
    new = bad - known
    print(f"{result.testsRun - len(bad)} passed, {len(new)} failed")
    if result.testsRun == 0:
        return 1
    return 1 if new else 0


def test_id(test: unittest.TestCase) -> str:
    """Return a test's id; that of the whole test for a subtest."""
    return getattr(test, "test_case", test).id()


if __name__ == "__main__":
    sys.exit(main())
