"""A budget that keeps retries a small share of the requests."""

__all__ = ["RetryBudget"]


class RetryBudget:
    """
    Grants retries as a share of the requests seen.

    :param share: retries for each request.
    :param reserve: retries granted at first, and the most that can be saved up.

    >>> budget = RetryBudget(share=0.5, reserve=1.0)
    >>> budget.withdraw(), budget.withdraw()
    (True, False)
    >>> budget.deposit(), budget.deposit()
    (None, None)
    >>> budget.withdraw()
    True
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    def deposit(self) -> None:
        """Count one request."""
        self._balance = min(self._reserve, self._balance + self._share)

    def withdraw(self) -> bool:
        """Take one retry if there is one left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
