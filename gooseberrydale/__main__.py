"""Entry point of ``python -m gooseberrydale``."""

import signal

# By default it ends the process, and it may come before the process is ready for it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gooseberrydale.process.cli import main  # noqa: E402

if __name__ == "__main__":
    main()
