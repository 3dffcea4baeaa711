"""The entry and agent processes of persimmonferry."""
