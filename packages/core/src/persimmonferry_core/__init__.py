"""Decisions of persimmonferry without I/O and without a clock."""
