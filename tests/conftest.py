"""What all tests begin with, wherever they are started."""

from __future__ import annotations

import signal

# A shell has what it starts in the background ignore SIGINT, and so would each program that a test starts and
# interrupts: the verdict must not hang on who started the tests.
if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
    signal.signal(signal.SIGINT, signal.default_int_handler)
