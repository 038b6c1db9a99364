"""Entry point of ``python -m gooseberrydale``."""

import signal

# SIGHUP would end the process by default, and it may arrive before a handler is set.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gooseberrydale.process.cli import main  # noqa: E402

if __name__ == "__main__":
    main()
