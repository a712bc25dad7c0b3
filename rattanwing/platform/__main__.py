"""Command line of the platform's roles: ``python3 -m rattanwing.platform ROLE``."""

import sys

from rattanwing.platform.main import main

sys.exit(main())
