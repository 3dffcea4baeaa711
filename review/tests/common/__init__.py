"""Stand-ins of cases 6 to 10: platform, store, workers and clients."""
