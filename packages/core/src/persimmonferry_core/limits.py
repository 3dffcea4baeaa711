"""Fleet-wide limits of client accounts, shared among entries by recent demand."""

import math
from dataclasses import dataclass

from persimmonferry_core.demand import DecayingRate
from persimmonferry_core.schema import Limits

__all__ = ["AccountLimiter", "LimitShare", "LoanGrant", "LoanRequest"]

LEASE_S = 5.0
LOAN_REQUEST_INTERVAL_S = 1.0
MAX_LOAN_REQUEST_INTERVAL_S = 2.0
DEMAND_WINDOW_S = 1.0
BURST_S = 0.5
CONCURRENCY_RETRY_S = 0.5
DEMAND_HEADROOM = 1.25
MIN_SHARE = 1e-4
IDLE_REQUESTS_PER_S = 0.01
MAX_ACCOUNTS_PER_LOAN_REQUEST = 16


@dataclass(frozen=True)
class LimitShare:
    """A share of an account's limit, 0 to 1."""

    account: str
    part: float


@dataclass(frozen=True)
class LoanRequest:
    """
    Request of one entry to borrow shares of limits from another.

    Once the request is made, the borrower uses no more of the peer's shares than it
    requests, so requesting 0 returns a share.

    :param sequence: increases with each request of the borrower, across restarts too.
    :param asked_s: time of the request by the borrower's clock; the grant repeats it.
    :param wanted: all shares that are wanted from the peer.
    """

    asker: str
    sequence: int
    asked_s: float
    wanted: tuple[LimitShare, ...]


@dataclass(frozen=True)
class LoanGrant:
    """
    The shares of limits that an entry lends until the lease expires.

    :param asked_s: copied from the request; the borrower's lease starts at this time.
    """

    lender: str
    sequence: int
    asked_s: float
    lent: tuple[LimitShare, ...]


@dataclass(frozen=True)
class _Lease:
    share: float
    until_s: float


class _Bucket:
    """A token bucket whose rate may change."""

    def __init__(self, now: float) -> None:
        self._level = math.inf
        self._rate = math.inf
        self._updated_s = now

    def refill(self, rate: float, now: float) -> float:
        """
        Refill the bucket and return its level, at most the burst size.

        The time since the last call counts at the lower of the former and the new rate,
        since the rate may have changed at any time in between.
        """
        elapsed = max(0.0, now - self._updated_s)
        if elapsed:
            self._level += min(rate, self._rate) * elapsed
        self._level = min(self._level, rate * BURST_S)
        self._rate = rate
        self._updated_s = max(self._updated_s, now)
        return self._level

    def take(self, amount: float) -> None:
        """Take an amount; the level may become negative."""
        self._level -= amount


class _AccountLimits:
    """One account at one entry: leases, buckets and recent demand."""

    def __init__(self, limits: Limits, now: float) -> None:
        self.limits = limits
        self.borrowed: dict[str, list[_Lease]] = {}
        self.lent: dict[str, list[_Lease]] = {}
        self.requests = _Bucket(now)
        self.tokens = _Bucket(now)
        self.request_demand = DecayingRate(DEMAND_WINDOW_S)
        self.token_demand = DecayingRate(DEMAND_WINDOW_S)
        self.running = 0

    def is_active(self, now: float) -> bool:
        """Whether the account has had requests at this entry recently."""
        return (
            self.running > 0 or self.request_demand.estimate(now) > IDLE_REQUESTS_PER_S
        )

    def compute_demand_share(self, now: float) -> float:
        """Return the demand as a share of the limit, the largest of the three."""
        limits = self.limits
        shares = [0.0]
        if limits.requests_per_s:
            shares.append(self.request_demand.estimate(now) / limits.requests_per_s)
        if limits.tokens_per_s:
            shares.append(self.token_demand.estimate(now) / limits.tokens_per_s)
        if limits.concurrency and self.is_active(now):
            # One more than running, so that the next request needs no round trip.
            shares.append((self.running + 1) / limits.concurrency)
        return max(shares)


class AccountLimiter:
    """
    Enforces the limits of all accounts at one entry.

    Each entry owns an equal base share, limit / entries. An entry that needs more sends
    a request to each of the others; they lend what they can spare and stop using it
    before they reply. A lease starts at the request for the borrower and at the grant
    for the lender, so it always expires at the borrower first, however long messages
    are delayed. A partitioned entry falls back to its base share when its leases have
    expired.

    Fleet-wide, an account gets at most limit x (time + BURST_S) plus one request for
    each entry, provided that the entries agree on their number.

    :param entry: name of this entry.
    :param first_sequence: above all sequence numbers used by earlier incarnations.
    """

    def __init__(self, entry: str, first_sequence: int = 0) -> None:
        self.entry = entry
        self._peers: tuple[str, ...] = ()
        self._accounts: dict[str, _AccountLimits] = {}
        self._sequence = first_sequence
        self._loan_requested_s = -math.inf
        self._loan_request_interval_s = LOAN_REQUEST_INTERVAL_S
        self._sent_sequences: dict[str, int] = {}
        self._next_account = 0
        self._received_sequences: dict[str, int] = {}

    def set_entries(self, entries: tuple[str, ...]) -> None:
        """Set the names of all entries."""
        self._peers = tuple(sorted(set(entries) - {self.entry}))

    def set_limits(self, account: str, limits: Limits, now: float) -> None:
        """Set the limits of an account."""
        known = self._accounts.get(account)
        if known is None:
            self._accounts[account] = _AccountLimits(limits, now)
        else:
            known.limits = limits

    def remove(self, account: str) -> None:
        """Remove an account."""
        self._accounts.pop(account, None)

    def find_share(self, account: str, now: float) -> float:
        """Return the share of the limit that this entry may use now."""
        known = self._accounts[account]
        share = self._base_share
        for leases in known.borrowed.values():
            share += _find_largest_share(leases, now)
        for leases in known.lent.values():
            share -= _find_largest_share(leases, now)
        return max(0.0, share)

    def admit(self, account: str, tokens: int, now: float) -> float | None:
        """
        Admit a request if the limits allow it.

        :param tokens: that the request may use, prompt and answer.
        :returns: None if it was admitted, otherwise the seconds to wait before a retry.
        """
        known = self._accounts.get(account)
        if known is None:
            return None
        known.request_demand.add(1.0, now)
        known.token_demand.add(tokens, now)
        share = self.find_share(account, now)
        limits = known.limits
        wait_s = 0.0
        if limits.requests_per_s:
            rate = share * limits.requests_per_s
            wait_s = max(wait_s, _compute_wait(known.requests, 1.0, rate, now))
        if limits.tokens_per_s:
            rate = share * limits.tokens_per_s
            wait_s = max(wait_s, _compute_wait(known.tokens, tokens, rate, now))
        if limits.concurrency:
            allowed = share * limits.concurrency + 1e-9
            if known.running + 1 > allowed:
                wait_s = max(wait_s, CONCURRENCY_RETRY_S)
        if wait_s > 0:
            return wait_s
        known.requests.take(1.0)
        known.tokens.take(tokens)
        known.running += 1
        return None

    def complete_request(self, account: str, unused_tokens: int) -> None:
        """Record the end of an admitted request and refund its unused tokens."""
        known = self._accounts.get(account)
        if known is not None:
            known.running = max(0, known.running - 1)
            known.tokens.take(-unused_tokens)

    def refund_request(self, account: str, tokens: int) -> None:
        """Undo ``admit`` for a request that was not run."""
        known = self._accounts.get(account)
        if known is not None:
            known.requests.take(-1.0)
            self.complete_request(account, tokens)

    def make_loan_requests(self, now: float) -> tuple[tuple[str, LoanRequest], ...]:
        """Return the loan requests to send now, each with its peer."""
        if (
            not self._peers
            or now < self._loan_requested_s + self._loan_request_interval_s
        ):
            return ()
        accounts = [
            account
            for account, known in self._accounts.items()
            if self._needs_loan(known, now)
        ]
        if not accounts:
            return ()
        self._loan_requested_s = now
        # Back off while requests are not granted; a grant resets the interval.
        self._loan_request_interval_s = min(
            MAX_LOAN_REQUEST_INTERVAL_S, 2 * self._loan_request_interval_s
        )
        start = self._next_account % len(accounts)
        chosen = (accounts[start:] + accounts[:start])[:MAX_ACCOUNTS_PER_LOAN_REQUEST]
        self._next_account += len(chosen)
        return tuple(
            (peer, self._make_loan_request(peer, chosen, now)) for peer in self._peers
        )

    def lend(self, ask: LoanRequest, now: float) -> LoanGrant | None:
        """Lend the shares that can be spared; return None for an outdated request."""
        outdated = ask.sequence <= self._received_sequences.get(ask.asker, -1)
        if outdated or ask.asker not in self._peers:
            return None
        self._received_sequences[ask.asker] = ask.sequence
        lent = tuple(
            LimitShare(part.account, self._lend_share(ask.asker, part, now))
            for part in ask.wanted
            if part.account in self._accounts
        )
        return LoanGrant(self.entry, ask.sequence, ask.asked_s, lent)

    def apply_grant(self, grant: LoanGrant, now: float) -> None:
        """Use the shares that a peer lends."""
        until_s = grant.asked_s + LEASE_S
        is_latest = grant.sequence == self._sent_sequences.get(grant.lender)
        if now >= until_s or not is_latest:
            return
        for part in grant.lent:
            known = self._accounts.get(part.account)
            if known is None:
                continue
            self._refill(part.account, known, now)
            leases = _cap_leases(known.borrowed.get(grant.lender, []), 1.0, now)
            known.borrowed[grant.lender] = [*leases, _Lease(part.part, until_s)]
            if part.part > 0:
                self._loan_request_interval_s = LOAN_REQUEST_INTERVAL_S

    def _lend_share(self, asker: str, wanted: LimitShare, now: float) -> float:
        known = self._accounts[wanted.account]
        self._refill(wanted.account, known, now)
        leases = _cap_leases(known.lent.get(asker, []), wanted.part, now)
        spare = self._compute_spare_share(known, asker, now)
        lent = min(wanted.part, spare)
        if lent < MIN_SHARE:
            lent = 0.0
        known.lent[asker] = [*leases, _Lease(lent, now + LEASE_S)]
        return lent

    def _refill(self, account: str, known: _AccountLimits, now: float) -> None:
        """Refill the buckets at the current rate before the share changes."""
        share = self.find_share(account, now)
        known.requests.refill(share * known.limits.requests_per_s, now)
        known.tokens.refill(share * known.limits.tokens_per_s, now)

    def _needs_loan(self, known: _AccountLimits, now: float) -> bool:
        """Whether demand plus headroom exceeds the base share, or a loan is in use."""
        if known.compute_demand_share(now) * DEMAND_HEADROOM > self._base_share:
            return True
        return any(
            _find_largest_share(leases, now) for leases in known.borrowed.values()
        )

    def _make_loan_request(
        self, peer: str, accounts: list[str], now: float
    ) -> LoanRequest:
        self._sequence += 1
        self._sent_sequences[peer] = self._sequence
        wanted = tuple(self._reduce_loan(peer, account, now) for account in accounts)
        return LoanRequest(self.entry, self._sequence, now, wanted)

    def _reduce_loan(self, peer: str, account: str, now: float) -> LimitShare:
        """Reduce the loan in use from a peer to the share that is now requested."""
        known = self._accounts[account]
        self._refill(account, known, now)
        wanted = self._compute_wanted_share(peer, known, now)
        known.borrowed[peer] = _cap_leases(known.borrowed.get(peer, []), wanted, now)
        return LimitShare(account, wanted)

    def _compute_wanted_share(
        self, peer: str, known: _AccountLimits, now: float
    ) -> float:
        """Return the share to request from a peer, given its present loan."""
        missing = (
            min(1.0, known.compute_demand_share(now) * DEMAND_HEADROOM)
            - self._base_share
        )
        borrowed = {
            lender: _find_largest_share(leases, now)
            for lender, leases in known.borrowed.items()
        }
        total = sum(borrowed.values())
        lent = borrowed.get(peer, 0.0)
        if missing <= 0:
            return 0.0
        if total > missing:
            return missing * lent / total
        return lent + (missing - total) / len(self._peers)

    def _compute_spare_share(
        self, known: _AccountLimits, asker: str, now: float
    ) -> float:
        """Return the share that this entry neither needs nor has lent to others."""
        lent = sum(
            _find_largest_share(leases, now)
            for borrower, leases in known.lent.items()
            if borrower != asker
        )
        used = min(self._base_share, known.compute_demand_share(now) * DEMAND_HEADROOM)
        return max(0.0, self._base_share - used - lent)

    @property
    def _base_share(self) -> float:
        return 1.0 / (len(self._peers) + 1)


def _compute_wait(bucket: _Bucket, amount: float, rate: float, now: float) -> float:
    """Return the seconds until the bucket holds the amount, 0 if it does now."""
    level = bucket.refill(rate, now)
    # A request larger than the burst size needs a full bucket and leaves it negative.
    needed = min(amount, rate * BURST_S)
    if rate <= 0:
        return LEASE_S
    return max(0.0, (needed - level) / rate) if level < needed - 1e-9 else 0.0


def _find_largest_share(leases: list[_Lease], now: float) -> float:
    return max((lease.share for lease in leases if now < lease.until_s), default=0.0)


def _cap_leases(leases: list[_Lease], share: float, now: float) -> list[_Lease]:
    """Return the unexpired leases, each reduced to at most a share."""
    return [
        _Lease(min(lease.share, share), lease.until_s)
        for lease in leases
        if now < lease.until_s
    ]
