"""Fleet-wide limits of client accounts, divided among the entries by recent demand."""

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
    """A part of an account's limit, 0 to 1."""

    account: str
    part: float


@dataclass(frozen=True)
class LoanRequest:
    """
    One entry asks another one for parts of limits.

    From the ask on, the asker uses no more of the peer's parts than it asks for, so
    an ask for 0 gives a part back.

    :param sequence: grows with each ask of the asker, over its restarts too.
    :param asked_s: the asker's clock; the answer carries it back.
    :param wanted: the whole of what is wanted from the peer.
    """

    asker: str
    sequence: int
    asked_s: float
    wanted: tuple[LimitShare, ...]


@dataclass(frozen=True)
class LoanGrant:
    """
    The parts of limits that an entry lends, until the lease lapses.

    :param asked_s: from the ask; the lease is counted from it.
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
        Return the level; never above what a burst may be.

        The time since the last call counts at the lower of the former rate and this
        one, since the rate may have changed anywhere in between.
        """
        elapsed = max(0.0, now - self._updated_s)
        if elapsed:
            self._level += min(rate, self._rate) * elapsed
        self._level = min(self._level, rate * BURST_S)
        self._rate = rate
        self._updated_s = max(self._updated_s, now)
        return self._level

    def take(self, amount: float) -> None:
        """Use up a part of the level, which may go below zero."""
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
        """Whether the account has had requests here lately."""
        return (
            self.running > 0 or self.request_demand.estimate(now) > IDLE_REQUESTS_PER_S
        )

    def compute_demand_share(self, now: float) -> float:
        """Return the demand as a part of the limit, by the scarcest of the three."""
        limits = self.limits
        shares = [0.0]
        if limits.requests_per_s:
            shares.append(self.request_demand.estimate(now) / limits.requests_per_s)
        if limits.tokens_per_s:
            shares.append(self.token_demand.estimate(now) / limits.tokens_per_s)
        if limits.concurrency and self.is_active(now):
            # One more than now, so that the next request needs no round trip.
            shares.append((self.running + 1) / limits.concurrency)
        return max(shares)


class AccountLimiter:
    """
    The limits of all accounts at one entry.

    Each entry owns the same safe share, limit / entries. An entry that needs more asks
    the others one by one; what they can spare they lend, and stop to use it before
    they answer. A lease is counted from the ask at the borrower and from the answer
    at the lender, so it lapses at the borrower first, whatever the messages do. An
    entry that is cut off falls back to its safe share when the leases lapse.

    Fleet-wide, an account gets at most limit x (time + BURST_S) and one request for
    each entry above that, while the entries agree on their number.

    :param entry: name of this entry.
    :param first_sequence: above all that earlier incarnations of the entry have used.
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
        """Take over the names of all entries."""
        self._peers = tuple(sorted(set(entries) - {self.entry}))

    def set_limits(self, account: str, limits: Limits, now: float) -> None:
        """Take over the limits of an account."""
        known = self._accounts.get(account)
        if known is None:
            self._accounts[account] = _AccountLimits(limits, now)
        else:
            known.limits = limits

    def remove(self, account: str) -> None:
        """Forget an account."""
        self._accounts.pop(account, None)

    def find_share(self, account: str, now: float) -> float:
        """Return the part of the limit that this entry may use now."""
        known = self._accounts[account]
        share = self._base_share
        for leases in known.borrowed.values():
            share += _find_largest_share(leases, now)
        for leases in known.lent.values():
            share -= _find_largest_share(leases, now)
        return max(0.0, share)

    def admit(self, account: str, tokens: int, now: float) -> float | None:
        """
        Take a request from the limits.

        :param tokens: that the request may use, prompt and answer.
        :returns: None when it was taken, else the seconds after which to come back.
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
        """Note the end of an admitted request and give back tokens it didn't use."""
        known = self._accounts.get(account)
        if known is not None:
            known.running = max(0, known.running - 1)
            known.tokens.take(-unused_tokens)

    def refund_request(self, account: str, tokens: int) -> None:
        """Undo ``admit`` for a request that was not run after all."""
        known = self._accounts.get(account)
        if known is not None:
            known.requests.take(-1.0)
            self.complete_request(account, tokens)

    def make_loan_requests(self, now: float) -> tuple[tuple[str, LoanRequest], ...]:
        """Return the asks to send now, each with the peer that it goes to."""
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
        # Asks that bring nothing become rarer; an answer that lends resets it.
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
        """Lend what can be spared; None for an ask that is out of date."""
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
        """Use what a peer lends."""
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
        """Bring the buckets up to date before the share changes."""
        share = self.find_share(account, now)
        known.requests.refill(share * known.limits.requests_per_s, now)
        known.tokens.refill(share * known.limits.tokens_per_s, now)

    def _needs_loan(self, known: _AccountLimits, now: float) -> bool:
        """Whether more than the safe share is wanted or borrowed."""
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
        """Use no more of a peer's part from now on than is asked for."""
        known = self._accounts[account]
        self._refill(account, known, now)
        wanted = self._compute_wanted_share(peer, known, now)
        known.borrowed[peer] = _cap_leases(known.borrowed.get(peer, []), wanted, now)
        return LimitShare(account, wanted)

    def _compute_wanted_share(
        self, peer: str, known: _AccountLimits, now: float
    ) -> float:
        """Return a peer's part of what is missing: what it lent and more or less."""
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
        """Return the part that this entry neither needs nor has lent to others."""
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
    """Return the seconds until the bucket has enough, 0 when it has."""
    level = bucket.refill(rate, now)
    # A request that is larger than a burst needs a full bucket, then runs a debt.
    needed = min(amount, rate * BURST_S)
    if rate <= 0:
        return LEASE_S
    return max(0.0, (needed - level) / rate) if level < needed - 1e-9 else 0.0


def _find_largest_share(leases: list[_Lease], now: float) -> float:
    return max((lease.share for lease in leases if now < lease.until_s), default=0.0)


def _cap_leases(leases: list[_Lease], share: float, now: float) -> list[_Lease]:
    """Return the leases that have not lapsed, each with at most a share."""
    return [
        _Lease(min(lease.share, share), lease.until_s)
        for lease in leases
        if now < lease.until_s
    ]
