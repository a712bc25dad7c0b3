#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 are Python of the standard library: nothing is compiled.
# This checks that they can be imported by the Python that runs the programs.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "import stage_2"
