"""Run the random fault schedules with many seeds.

``python -m tests.soak FIRST END [STEPS]`` runs the seeds from FIRST to END - 1.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor

from tests.test_proof_schedules import STEPS, ScheduleProofs


def run_seed(seed, steps):
    """Return the seed and its failure, or an empty text."""
    case = ScheduleProofs("test_guarantees_hold_under_random_faults")
    try:
        case.run_seed(seed, steps)
    except Exception as error:
        return seed, f"{type(error).__name__}: {error}"
    return seed, ""


def main():
    first, last = int(sys.argv[1]), int(sys.argv[2])
    steps = int(sys.argv[3]) if len(sys.argv) > 3 else STEPS
    failed = 0
    seeds = range(first, last)
    with ProcessPoolExecutor(6) as pool:
        for seed, problem in pool.map(run_seed, seeds, [steps] * len(seeds)):
            if problem:
                failed += 1
                print(f"seed {seed}: {problem}", flush=True)
    print(f"{len(seeds) - failed} passed, {failed} failed")


if __name__ == "__main__":
    main()
