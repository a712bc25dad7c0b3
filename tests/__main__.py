"""Run the tests; fail only on failures that KNOWN-RED.txt does not list.

``--proofs`` runs only the modules ``test_proof_*`` and prints a line for each
guarantee, with the number of tests that check it.
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


def discover_tests(proofs_only: bool) -> unittest.TestSuite:
    """Return all tests, or only those of the modules ``test_proof_*``."""
    pattern = "test_proof_*.py" if proofs_only else "test_*.py"
    return unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern, top_level_dir=str(ROOT)
    )


def list_tests(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Return the tests of a suite and its nested suites."""
    found = []
    for item in suite:
        nested = isinstance(item, unittest.TestSuite)
        found += list_tests(item) if nested else [item]
    return found


def guarantees_of(test: unittest.TestCase) -> set[int]:
    """Return the numbers of the guarantees that the docstring of a test's class names.

    A docstring names one as ``Guarantee N``, or all of them as ``All ten``.
    """
    text = type(test).__doc__ or ""
    if "All ten" in text:
        return set(GUARANTEES)
    return {int(number) for number in re.findall(r"Guarantee (\d+)", text)}


def print_guarantees(tests: list[unittest.TestCase], failed_ids: set[str]) -> None:
    """Print one line for each guarantee.

    :param failed_ids: ids of the tests that failed.
    """
    for number, guarantee in GUARANTEES.items():
        proofs = [test.id() for test in tests if number in guarantees_of(test)]
        failed = [name for name in proofs if name in failed_ids]
        state = "BROKEN" if failed else "holds"
        print(f"guarantee {number}: {state} in {len(proofs)} proofs: {guarantee}")


def main() -> int:
    """Run the tests and print the known failures, which do not fail the run."""
    known = read_known_red()
    proofs_only = "--proofs" in sys.argv
    suite = discover_tests(proofs_only)
    tests = list_tests(suite)
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed_ids = {test_id(test) for test, _ in result.failures + result.errors}
    failed_ids |= {test.id() for test in result.unexpectedSuccesses}
    if proofs_only:
        print_guarantees(tests, failed_ids)
    for name in sorted(known):
        state = "failed as recorded" if name in failed_ids else "passed this time"
        print(f"KNOWN RED {name}: {state}")
    unexpected = failed_ids - known
    print(f"{result.testsRun - len(failed_ids)} passed, {len(unexpected)} failed")
    if result.testsRun == 0:
        return 1
    return 1 if unexpected else 0


def test_id(test: unittest.TestCase) -> str:
    """Return a test's id; for a subtest, the id of the test that contains it."""
    return getattr(test, "test_case", test).id()


if __name__ == "__main__":
    sys.exit(main())
