"""Exceptions of all packages; each carries a result code and prints for the user."""

from persimmonferry_core.codes import Ran, ResultCode

__all__ = [
    "ConfigurationFaulty",
    "FerryError",
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
    Base of the tree.

    :param code: the numbered result code.
    :param detail: what happened, in words fit for the user; never a prompt or answer.
    :param retry_after_s: when to come back, in seconds, or None when never.

    >>> print(FerryError(ResultCode.NO_UPSTREAM, "service notes", 1.5))
    2010 no upstream takes new work: service notes; come back in 1.5 s
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
            parts.append(f"; come back in {self.retry_after_s:g} s")
        return "".join(parts)


class NotRun(FerryError):
    """The request provably did not run; it may be tried elsewhere."""

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_s: float | None = None
    ) -> None:
        if code.ran is not Ran.NO:
            raise ValueError(f"{code} does not say that the request did not run")
        super().__init__(code, detail, retry_after_s)


class OutcomeUnknown(FerryError):
    """Bytes went out to the upstream and no whole answer came back."""


class RanBefore(FerryError):
    """The request ran, or still runs, under an earlier attempt."""


def make_error(
    code: ResultCode, detail: str = "", retry_after_s: float | None = None
) -> FerryError:
    """
    Return the error that says of the run what its code says.

    >>> type(make_error(ResultCode.NO_UPSTREAM)).__name__
    'NotRun'
    >>> type(make_error(ResultCode.DUPLICATE_RUN)).__name__
    'OutcomeUnknown'
    """
    kinds = {Ran.NO: NotRun, Ran.UNKNOWN: OutcomeUnknown, Ran.YES: RanBefore}
    return kinds[code.ran](code, detail, retry_after_s)


class ConfigurationFaulty(FerryError):
    """
    A document or a settings file has faults.

    :param faults: one sentence for each fault, with section and key.
    """

    def __init__(self, code: ResultCode, faults: tuple[str, ...]) -> None:
        self.faults = faults
        super().__init__(code, "; ".join(faults))


class PlatformError(FerryError):
    """The platform's key-value service did not do what was asked."""


class PlatformUnavailable(PlatformError):
    """The call took no effect: the service refused it or could not be reached."""

    def __init__(self, detail: str = "", retry_after_s: float = 1.0) -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, detail, retry_after_s)


class PlatformAnswerLost(PlatformError):
    """The write may or may not have taken effect; reading back settles it."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ResultCode.WRITE_UNKNOWN, detail)


class SwapConflict(PlatformError):
    """
    Another writer was first.

    :param revision: the revision that the key has now.
    """

    def __init__(self, key: str, revision: int) -> None:
        self.revision = revision
        detail = f"{key} is at revision {revision}"
        super().__init__(ResultCode.REVISION_CONFLICT, detail)


class HistoryUnavailable(PlatformError):
    """The platform no longer knows the changes since a revision; list anew."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, detail)


class LeaseEnded(PlatformError):
    """The platform knows no such lease: it lapsed or was ended."""

    def __init__(self, lease: int) -> None:
        super().__init__(ResultCode.PLATFORM_DOWN, f"lease {lease} has ended")


class RevisionConflict(FerryError):
    """
    Another change of the document was accepted since the operator read it.

    :param revision: the revision that the document has now.
    :param difference: unified diff that shows what the operator has not seen.
    """

    def __init__(self, expected: int, revision: int, difference: str) -> None:
        self.revision = revision
        self.difference = difference
        detail = f"revision {expected} was read, {revision} is accepted"
        super().__init__(ResultCode.REVISION_CONFLICT, detail)


class StoreError(FerryError):
    """A store VM refused, is full, or holds no readable block of that name."""
