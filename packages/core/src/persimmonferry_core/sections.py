"""Splits an INI text into sections without parsing them."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Section", "split_sections"]


@dataclass(frozen=True)
class Section:
    """
    The lines of one section.

    :param header: first line, stripped; empty for the lines before the first section.
    """

    header: str
    text: str


def split_sections(text: str) -> Iterator[Section]:
    """
    Split a text into sections; joining their texts restores it.

    >>> [section.header for section in split_sections("# note\\n[a]\\nx = 1\\n[b]\\n")]
    ['', '[a]', '[b]']
    """
    header = ""
    lines: list[str] = []
    for line in text.splitlines(keepends=True):
        if line.startswith("["):
            if lines:
                yield Section(header, "".join(lines))
            header = line.strip()
            lines = []
        lines.append(line)
    if lines:
        yield Section(header, "".join(lines))
