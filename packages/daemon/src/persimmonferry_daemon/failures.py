"""Conversion of errors to and from Thrift structs."""

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, make_error
from persimmonferry_wire.generated.runs.ttypes import Failure

__all__ = ["from_failure", "to_failure"]


def to_failure(error: FerryError) -> Failure:
    """Return the struct of an error."""
    return Failure(error.code.number, error.detail, error.retry_after_s)


def from_failure(failure: Failure) -> FerryError:
    """
    Return the error of a struct.

    >>> error = from_failure(Failure(2011, "agent-1", 0.5))
    >>> type(error).__name__, str(error)
    ('NotRun', '2011 this process is stopping: agent-1; retry after 0.5 s')
    """
    code = ResultCode.from_number(failure.code)
    return make_error(code, failure.detail, failure.retry_after_s)
