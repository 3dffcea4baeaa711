"""Runs a stand-in: ``python -m persimmonferry_standins engine --port 0``."""

from persimmonferry_standins.main import main

if __name__ == "__main__":
    main()
