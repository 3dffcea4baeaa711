"""Command line of operators and callers of persimmonferry."""
