"""Measurements, each beside its baseline from the same run."""
