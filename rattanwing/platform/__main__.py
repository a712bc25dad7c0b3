"""``python3 -m rattanwing.platform ROLE``."""

import sys

from rattanwing.platform.main import main

sys.exit(main())
