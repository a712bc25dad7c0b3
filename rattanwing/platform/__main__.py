"""Command line of the platform's roles: ``python3 -m rattanwing.platform ROLE``."""

import signal
import sys


def run() -> int:
    """Run the role that the first argument names; return the exit code.

    A signal that announces new settings must not end a process that is loading its
    modules; it reads the settings after that.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from rattanwing.platform.main import main

    return main()


sys.exit(run())
