"""The binary ``persimmonferry``: commands of operators and callers."""

import sys

import defopt

from persimmonferry_cli.checks import check
from persimmonferry_cli.client import CommandFailed
from persimmonferry_cli.documents import apply, history, rollback, show
from persimmonferry_cli.processes import drain, histograms, status, undrain, usage
from persimmonferry_cli.requests import ask, order

__all__ = ["main"]

COMMANDS = (
    check,
    show,
    apply,
    history,
    rollback,
    status,
    drain,
    undrain,
    histograms,
    usage,
    ask,
    order,
)


def main(arguments: list[str] | None = None) -> None:
    """
    Run one command and exit: 0 done, 1 refused, 2 wrong usage, 3 outcome unknown.

    :param arguments: command-line arguments; those of the process when None.
    """
    try:
        defopt.run(list(COMMANDS), argv=arguments)
    except CommandFailed as error:
        if error.lines:
            print(error, file=sys.stderr)
        sys.exit(error.exit_status)
