"""Entry point of ``python -m gooseberrydale``."""

from gooseberrydale.process.cli import main

if __name__ == "__main__":
    main()
