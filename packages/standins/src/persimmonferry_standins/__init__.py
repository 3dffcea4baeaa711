"""Stand-ins for the outside systems of persimmonferry, for tests and the demo."""
