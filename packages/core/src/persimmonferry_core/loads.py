"""Decides which engines get orders for new weights, and in which order."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

__all__ = [
    "EngineState",
    "WeightOrder",
    "choose_loads",
    "find_outdated",
    "is_loading",
]

# An engine that has not shown the wanted weights this long after an order is ordered
# again: the order may be lost, or be carried out seconds late.
ORDER_TIMEOUT_S = 6.0
# Engines that load at the same time; the others carry the load meanwhile, and engines
# that load together slow each other down.
LOADING_SHARE = 1 / 3


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
    """

    name: str
    version: int
    ordered_version: int
    ordered_s: float
    held_tokens: int


def choose_loads(
    engines: Sequence[EngineState], wanted: int, now: float
) -> tuple[str, ...]:
    """
    Return the engines that are to get an order now.

    Load pattern: new weights at full load. Some load at a time, those first that are
    furthest behind, and of these the ones that lose the least cache.

    >>> engines = [EngineState(name, 1, 0, 0.0, 10 - index)
    ...            for index, name in enumerate("abcdef")]
    >>> choose_loads(engines, 2, 100.0)
    ('f', 'e')
    """
    behind = [engine for engine in engines if engine.version < wanted]
    loading = [engine for engine in behind if is_loading(engine, now)]
    room = max(1, round(LOADING_SHARE * len(engines))) - len(loading)
    idle = [engine for engine in behind if engine not in loading]
    idle.sort(key=lambda engine: (engine.version, engine.held_tokens, engine.name))
    return tuple(engine.name for engine in idle[: max(0, room)])


def is_loading(engine: EngineState, now: float) -> bool:
    """Whether an engine is expected to have an order in hand."""
    is_ordered = engine.version < engine.ordered_version
    return is_ordered and now < engine.ordered_s + ORDER_TIMEOUT_S


def find_outdated(
    versions: Mapping[str, int],
    named: Mapping[int, float],
    limit_s: float,
    now: float,
) -> frozenset[str]:
    """
    Return the engines that may begin nothing new, as newer weights were named long ago.

    Where all are outdated, none is left out: late answers on old weights are better
    than none.

    :param versions: of the weights of each engine.
    :param named: when each version was first heard of.

    >>> sorted(find_outdated({"a": 1, "b": 2}, {2: 0.0, 3: 8.0}, 9.0, 9.5))
    ['a']
    >>> sorted(find_outdated({"a": 1}, {2: 0.0}, 9.0, 9.5))
    []
    """
    due = [version for version, heard_s in named.items() if now >= heard_s + limit_s]
    newest = max(due, default=0)
    outdated = frozenset(name for name, held in versions.items() if held < newest)
    return frozenset() if len(outdated) == len(versions) else outdated
