"""Processor time and memory of a process, read from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
"""Units of processor time in ``/proc`` that make one second."""


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0
