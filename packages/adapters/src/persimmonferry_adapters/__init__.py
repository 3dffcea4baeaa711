"""Adapters of persimmonferry to engines, stores and the platform."""
