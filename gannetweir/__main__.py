"""`python -m gannetweir`."""

import sys

from gannetweir.cli import main

sys.exit(main())
