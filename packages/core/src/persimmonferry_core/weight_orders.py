"""Decides which engines get orders for new weights, and in which order."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

__all__ = [
    "EngineState",
    "WeightOrder",
    "choose_loads",
    "estimate_change_time",
    "find_outdated",
    "is_loading",
    "is_order_lost",
    "may_read_stored",
]

# An engine that has not shown the wanted weights this long after an order is ordered
# again: the order may be lost, or be carried out seconds late.
ORDER_TIMEOUT_S = 6.0
# Reports of engines lag by some hundred milliseconds; an order that an engine has not
# counted after this time was lost on the way, or is held up there.
ORDER_ACCEPT_TIMEOUT_S = 1.0
# A watch of the registry that is open hears of a change at once, and is renewed within
# this time; a longer gap means that this process was frozen or cut off.
MAX_WATCH_GAP_S = 2.5
# While engines are brought to newer weights, prompts on replaced ones go on using the
# parts that are kept for these, this long after the newer ones were named.
REPLACED_READ_GRACE_S = 3.5
# Engines that load at the same time; the others carry the load meanwhile, and engines
# that load together slow each other down.
MAX_LOADING_RATIO = 1 / 3


@dataclass(frozen=True)
class WeightOrder:
    """
    An order to an engine to take other weights.

    :param holder: the process that gives it.
    :param fence: grows with each new holder of the duty.
    :param expected_orders: orders that the engine has accepted before; it refuses this
        one when there were others, None to give it anyhow.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int | None = None


@dataclass(frozen=True)
class EngineState:
    """
    An engine as the one that gives orders knows it.

    :param version: of its weights, as last seen.
    :param ordered_version: of the last order, 0 for none.
    :param ordered_s: when that order went out.
    :param held_tokens: in its cache, which an order throws away.
    :param asked_s: when the last order for the wanted version went out, also one that
        is taken for lost; minus infinity for none.
    """

    name: str
    version: int
    ordered_version: int
    ordered_s: float
    cached_tokens: int
    asked_s: float = float("-inf")


def choose_loads(
    engines: Sequence[EngineState], wanted: int, now: float
) -> tuple[str, ...]:
    """
    Return the engines that are to get an order now.

    Load pattern: new weights at full load. Some load at a time, those first that are
    furthest behind, and of these the ones that lose the least cache. Where orders get
    no answer and are carried out seconds late, the engines that were not asked yet go
    before those that were, so that these orders are pending side by side.

    >>> engines = [EngineState(name, 1, 0, 0.0, 10 - index)
    ...            for index, name in enumerate("abcdef")]
    >>> choose_loads(engines, 2, 100.0)
    ('f', 'e')
    """
    behind = [engine for engine in engines if engine.version < wanted]
    loading = [engine for engine in behind if is_loading(engine, now)]
    room = max(1, round(MAX_LOADING_RATIO * len(engines))) - len(loading)
    idle = [engine for engine in behind if engine not in loading]
    idle.sort(key=_load_order)
    return tuple(engine.name for engine in idle[: max(0, room)])


def _load_order(engine: EngineState) -> tuple[int, float, int, str]:
    return engine.version, engine.asked_s, engine.cached_tokens, engine.name


def is_loading(engine: EngineState, now: float) -> bool:
    """Whether an engine is expected to have an order in hand."""
    is_ordered = engine.version < engine.ordered_version
    return is_ordered and now < engine.ordered_s + ORDER_TIMEOUT_S


def may_read_stored(version: int, named: Mapping[int, float], now: float) -> bool:
    """
    Whether a prompt on some weights may read parts that were kept under them.

    Load pattern: new weights at full load. For seconds most engines still hold the
    weights before, and compute all shared parts again unless these may be read. Parts
    are freed some time after their weights were replaced, so the use ends before.

    :param named: when each version was named, as far as known.

    >>> may_read_stored(1, {2: 10.0}, 13.0), may_read_stored(1, {2: 10.0}, 13.5)
    (True, False)
    >>> may_read_stored(2, {2: 10.0}, 99.0)
    True
    """
    replaced_s = min(
        (named_s for newer, named_s in named.items() if newer > version),
        default=float("inf"),
    )
    return now < replaced_s + REPLACED_READ_GRACE_S


def estimate_change_time(
    gap_s: float, unknown_age_s: float, started_s: float, now: float
) -> float:
    """
    Return since when news of the registry may have been true.

    Load pattern: a gateway that was frozen or cut off while new weights were named, and
    one that has just started, hear of them late, but must not send to engines with the
    weights before for as long as the others. One that starts while the registry is slow
    counts from its start: it is held to bounds of time from then on.

    :param gap_s: since the answer before, infinite for the first one.
    :param unknown_age_s: age that is taken where it is not known at all.
    :param started_s: when the process started.

    >>> estimate_change_time(1.6, 5.0, 0.0, 100.0)
    100.0
    >>> estimate_change_time(4.2, 5.0, 0.0, 100.0)
    95.8
    >>> estimate_change_time(float("inf"), 5.0, 98.5, 100.0)
    93.5
    """
    if gap_s <= MAX_WATCH_GAP_S:
        return now
    if gap_s == float("inf"):
        return started_s - unknown_age_s
    return now - min(gap_s, unknown_age_s)


def is_order_lost(
    order_age_s: float, accepted_before: int | None, accepted_orders: int, *, busy: bool
) -> bool:
    """
    Whether an order has to be given again, by the engine's report.

    Load pattern: engines that leave orders unanswered and carry them out seconds late.
    The next order expects the same count, so the engine carries out only one of both.

    :param accepted_before: orders that the engine had accepted before this one, None
        when it was not known.
    :param accepted_orders: the same count now.

    >>> is_order_lost(1.2, 3, 3, busy=False), is_order_lost(1.2, 3, 4, busy=False)
    (True, False)
    """
    if busy or accepted_before is None or order_age_s < ORDER_ACCEPT_TIMEOUT_S:
        return False
    return accepted_orders == accepted_before


def find_outdated(
    versions: Mapping[str, int],
    named: Mapping[int, float],
    limit_s: float,
    now: float,
) -> frozenset[str]:
    """
    Return the engines that may begin nothing new, as newer weights were named long ago.

    All may be left out: callers are told at once when to come back, by when orders have
    brought the engines forward.

    :param versions: of the weights of each engine.
    :param named: when each version was first heard of.

    >>> sorted(find_outdated({"a": 1, "b": 2}, {2: 0.0, 3: 8.0}, 9.0, 9.5))
    ['a']
    >>> sorted(find_outdated({"a": 1}, {2: 0.0}, 9.0, 9.5))
    ['a']
    """
    due = [version for version, heard_s in named.items() if now >= heard_s + limit_s]
    newest = max(due, default=0)
    return frozenset(name for name, held in versions.items() if held < newest)
