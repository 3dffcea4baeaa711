"""From which other engine a prompt's shared parts are fetched."""

from collections.abc import Collection, Mapping

__all__ = ["choose_fetch_sources", "choose_fetch_timeout", "is_fetch_faster"]

# A transfer from another failure domain takes twice as long.
REMOTE_DOMAIN_FACTOR = 2.0
# Transfers of one engine run one after another, so one that takes a part of the time
# that computing takes may still wait for others.
MAX_FETCH_TIME_RATIO = 0.5
# Of the time that is left besides computing; the rest is for prompts ahead in the
# engine's queue and for the way of the answer.
FETCH_SLACK_RATIO = 0.5
# A prompt that can't be in time gets no more for its fetch than this many times what
# computing takes, as the fetch saves no more than that.
LATE_FETCH_FACTOR = 2.0
# Transfers wait for those before them, also on fast links.
MIN_FETCH_S = 0.05


def is_fetch_faster(
    token_bytes: float, link_bytes_per_s: float, prefill_tokens_per_s: float
) -> bool:
    """
    Whether cache comes faster from another engine than it is computed.

    >>> is_fetch_faster(18_432.0, 46e9, 112_000.0)
    True
    >>> is_fetch_faster(163_840.0, 1e9, 66_000.0)
    False
    """
    if link_bytes_per_s <= 0.0:
        return False
    fetch_s = REMOTE_DOMAIN_FACTOR * token_bytes / link_bytes_per_s
    return fetch_s <= MAX_FETCH_TIME_RATIO / max(1.0, prefill_tokens_per_s)


def choose_fetch_timeout(left_s: float, compute_s: float) -> float:
    """
    Return the seconds after which a fetch is given up for computing.

    Load pattern: transfers of a store or an engine turn slow at full load. A prompt
    whose few shared tokens are computed in milliseconds must not wait for them until
    its objective is missed; a long one may still be computed in time.

    :param left_s: until the end of the objective.
    :param compute_s: that computing the fetched tokens would take.

    >>> round(choose_fetch_timeout(0.48, 0.02), 3)
    0.23
    >>> round(choose_fetch_timeout(0.1, 0.14), 3)
    0.28
    """
    in_time_s = FETCH_SLACK_RATIO * (left_s - compute_s)
    return max(in_time_s, LATE_FETCH_FACTOR * compute_s, MIN_FETCH_S)


def choose_fetch_sources(
    depths: Mapping[str, int],
    upstream: str,
    count: int,
    usable: Collection[str],
    same_domain: Collection[str],
) -> tuple[str | None, ...]:
    """
    Return an engine for each leading part of a prompt from which it may be fetched.

    Load pattern: parts that many prompts share, just after the first of them was
    computed: new weights, a store that came back empty, a store that has no room. Until
    a store tells that it holds them whole, each engine would compute them again.

    :param depths: leading parts that each engine seems to hold.
    :param upstream: the engine that is to run the prompt.
    :param count: parts of the prompt.
    :param usable: engines that answer and stay.
    :param near: those in the failure domain of ``upstream``, which go first.

    >>> choose_fetch_sources({"e1": 1, "e2": 2}, "e1", 3, ("e1", "e2"), ())
    (None, 'e2', None)
    """
    own = depths.get(upstream, 0)
    holders = sorted(
        (name for name in depths if name != upstream and name in usable),
        key=lambda name: (-depths[name], name not in same_domain, name),
    )
    if not holders:
        return (None,) * count
    # One source for all parts: each other one may wait behind other transfers.
    best = holders[0]
    return tuple(best if own <= part < depths[best] else None for part in range(count))
