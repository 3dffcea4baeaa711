"""Exceptions of all packages; each has a result code and a message for the user."""

from persimmonferry_core.codes import Ran, ResultCode

__all__ = [
    "ConfigurationFaulty",
    "FerryError",
    "HistoryReplaced",
    "HistoryUnavailable",
    "LeaseEnded",
    "NotRun",
    "OutcomeUnknown",
    "PlatformAnswerLost",
    "PlatformError",
    "PlatformUnavailable",
    "RanBefore",
    "RevisionConflict",
    "StoreError",
    "SwapConflict",
    "make_error",
]


class FerryError(Exception):
    """
    Base class of all errors.

    :param code: the numbered result code.
    :param detail: what happened, for the user; never contains a prompt or an answer.
    :param retry_after_s: seconds to wait before a retry, None if a retry won't help.

    >>> print(FerryError(ResultCode.NO_UPSTREAM, "service notes", 1.5))
    2010 no upstream accepts new work: service notes; retry after 1.5 s
    """

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_s: float | None = None
    ) -> None:
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s
        super().__init__(code, detail, retry_after_s)

    def __str__(self) -> str:
        parts = [f"{self.code.number} {self.code.text}"]
        if self.detail:
            parts.append(f": {self.detail}")
        if self.retry_after_s is not None:
            parts.append(f"; retry after {self.retry_after_s:g} s")
        return "".join(parts)


class NotRun(FerryError):
    """The request provably did not run; it may be tried elsewhere."""

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_s: float | None = None
    ) -> None:
        if code.ran is not Ran.NO:
            raise ValueError(f"{code} is not a code of a request that did not run")
        super().__init__(code, detail, retry_after_s)


class OutcomeUnknown(FerryError):
    """The upstream was sent the request, but no complete answer was received."""


class RanBefore(FerryError):
    """The request ran or is running under an earlier attempt."""


def make_error(
    code: ResultCode, detail: str = "", retry_after_s: float | None = None
) -> FerryError:
    """
    Return an error of the class that corresponds to the code's ``ran`` value.

    >>> type(make_error(ResultCode.NO_UPSTREAM)).__name__
    'NotRun'
    >>> type(make_error(ResultCode.DUPLICATE_RUN)).__name__
    'OutcomeUnknown'
    """
    kinds = {Ran.NO: NotRun, Ran.UNKNOWN: OutcomeUnknown, Ran.YES: RanBefore}
    return kinds[code.ran](code, detail, retry_after_s)


class ConfigurationFaulty(FerryError):
    """
    A configuration document or a settings file is invalid.

    :param faults: one message for each fault, with section and key.
    """

    def __init__(self, code: ResultCode, faults: tuple[str, ...]) -> None:
        self.faults = faults
        super().__init__(code, "; ".join(faults))


class PlatformError(FerryError):
    """A call to the platform's key-value service failed."""


class PlatformUnavailable(PlatformError):
    """The call had no effect: the service refused it or could not be reached."""

    def __init__(self, detail: str = "", retry_after_s: float = 1.0) -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, detail, retry_after_s)


class PlatformAnswerLost(PlatformError):
    """The write may have taken effect; reading the key back resolves this."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ResultCode.WRITE_UNKNOWN, detail)


class SwapConflict(PlatformError):
    """
    A compare-and-swap failed because another writer changed the key.

    :param revision: the key's current revision.
    """

    def __init__(self, key: str, revision: int) -> None:
        self.revision = revision
        detail = f"{key} is at revision {revision}"
        super().__init__(ResultCode.REVISION_CONFLICT, detail)


class HistoryUnavailable(PlatformError):
    """The changes since a revision are no longer available; list all values again."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, detail)


class HistoryReplaced(HistoryUnavailable):
    """
    The platform came back from an older copy, without changes it had acknowledged.

    Values may be older than before until their writers have written them again.
    """


class LeaseEnded(PlatformError):
    """The platform has no such lease: it expired or was released."""

    def __init__(self, lease: int) -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, f"lease {lease} has ended")


class RevisionConflict(FerryError):
    """
    The document was changed after the operator read it.

    :param revision: the document's current revision.
    :param difference: unified diff from the revision that the operator read.
    """

    def __init__(self, expected: int, revision: int, difference: str) -> None:
        self.revision = revision
        self.difference = difference
        detail = f"expected revision {expected}, current revision is {revision}"
        super().__init__(ResultCode.REVISION_CONFLICT, detail)


class StoreError(FerryError):
    """A store VM refused, is full, or has no valid block of that name."""
