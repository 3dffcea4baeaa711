"""Chooses the engine from which the KV cache of shared prompt parts is fetched."""

from collections.abc import Collection, Mapping

__all__ = ["choose_fetch_sources", "choose_fetch_timeout", "is_fetch_faster"]

# A transfer from another failure domain takes twice as long.
REMOTE_DOMAIN_FACTOR = 2.0
# Transfers of one engine run one after another, so even a fast transfer may have to
# wait for others.
MAX_FETCH_TIME_RATIO = 0.5
# Share of the time that remains after the computation; the rest is reserved for prompts
# ahead in the engine's queue and for the delivery of the answer.
FETCH_SLACK_RATIO = 0.5
# Limits the fetch of a prompt that will miss its objective to this multiple of the
# computation, as the fetch cannot save more than the computation.
LATE_FETCH_FACTOR = 2.0
# Transfers wait for earlier ones even on fast links.
MIN_FETCH_S = 0.05


def is_fetch_faster(
    token_bytes: float, link_bytes_per_s: float, prefill_tokens_per_s: float
) -> bool:
    """
    Whether to fetch KV cache from another engine is faster than to compute it.

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
    Return the seconds after which a fetch is abandoned and its tokens are computed.

    Load pattern: transfers from a store or an engine become slow at full load. A prompt
    whose few shared tokens take milliseconds to compute must not miss its objective
    waiting for them; a long one must leave enough time to compute them.

    :param left_s: time left until the objective is missed.
    :param compute_s: time to compute the fetched tokens.

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
    Return for each leading part of a prompt the engine to fetch it from, or None.

    Load pattern: many prompts share parts that were first computed only a moment ago,
    after a version change, after a store restarted empty, or while a store is full.
    Until a store reports the parts as complete, each engine would compute them again.

    :param depths: leading parts that are probably cached, by engine.
    :param upstream: the engine that is to run the prompt.
    :param count: number of parts of the prompt.
    :param usable: engines that respond and are not draining.
    :param same_domain: those in the failure domain of ``upstream``, preferred.

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
    # One source for all parts: a second one might have its own queue of transfers.
    best = holders[0]
    return tuple(best if own <= part < depths[best] else None for part in range(count))
