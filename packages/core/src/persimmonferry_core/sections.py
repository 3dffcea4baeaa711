"""Cuts an INI text into its sections without reading them."""

from collections.abc import Iterator
from dataclasses import dataclass

__all__ = ["Section", "split_sections"]


@dataclass(frozen=True)
class Section:
    """
    The lines of one section.

    :param header: its first line, stripped; empty for the lines before the first one.
    """

    header: str
    text: str


def split_sections(text: str) -> Iterator[Section]:
    """
    Cut a text into sections; their texts joined give it back.

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
