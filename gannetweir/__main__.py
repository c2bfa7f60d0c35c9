"""`python -m gannetweir`: the command line, with signals that wait until the relay handles them."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # A signal that comes before its handler would end the process: it waits until the relay unblocks it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1})

from gannetweir.cli import main

sys.exit(main())
