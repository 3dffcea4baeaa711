"""Percentiles and tables of measurements."""

from collections.abc import Sequence

__all__ = ["print_table", "take_percentile"]


def take_percentile(values: Sequence[float], percent: float) -> float:
    """
    Return the value below which a share of the values lies.

    >>> take_percentile([4.0, 1.0, 3.0, 2.0], 50)
    3.0
    """
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index]


def print_table(title: str, header: Sequence[str], rows: Sequence[Sequence]) -> None:
    """Print a Markdown table, the format of docs/MEASUREMENTS.md."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(header) + " |")
    print("|" + " --- |" * len(header))
    for row in rows:
        print("| " + " | ".join(_format(value) for value in row) + " |")


def _format(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"
    return str(value)
