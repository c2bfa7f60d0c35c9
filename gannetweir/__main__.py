"""`python -m gannetweir`: the command line, with signals blocked until the relay handles them."""

import signal
import sys

if sys.argv[1:2] == ["serve"]:
    # A signal that arrives before its handler is set would end the process; the relay unblocks signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1})

from gannetweir.cli import main

sys.exit(main())
