"""Text tables for a terminal."""

from collections.abc import Mapping, Sequence
from typing import Any

__all__ = ["format_table"]


def format_table(rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    """
    Return rows as lines of aligned columns, numbers right-aligned.

    >>> print(format_table([{"tier": "dawn", "count": 12}], ["tier", "count"]))
    tier  count
    dawn     12
    """
    cells = [[_format_cell(row.get(name, "")) for name in columns] for row in rows]
    widths = [
        max(len(name), *(len(line[index]) for line in cells), 0)
        for index, name in enumerate(columns)
    ]
    numeric = [_is_numeric(rows, name) for name in columns]
    lines = [list(columns), *cells]
    return "\n".join(_format_line(line, widths, numeric) for line in lines)


def _format_line(
    line: Sequence[str], widths: Sequence[int], numeric: Sequence[bool]
) -> str:
    padded = (
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(line, widths, numeric, strict=True)
    )
    return "  ".join(padded).rstrip()


def _format_cell(value: Any) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def _is_numeric(rows: Sequence[Mapping[str, Any]], name: str) -> bool:
    return bool(rows) and all(isinstance(row.get(name), int | float) for row in rows)
