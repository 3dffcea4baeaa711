"""Runs the daemon as ``python -m persimmonferry_daemon``."""

from persimmonferry_daemon.main import main

if __name__ == "__main__":
    main()
