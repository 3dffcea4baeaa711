"""Runs all benchmarks and their baselines, one after the other."""

import asyncio
import importlib
import inspect

MODULES = (
    "path",
    "recovery",
    "load",
    "claims",
    "configuration",
    "cache",
    "rollout",
    "policy",
    "capacity",
    "limits",
    "quarantine",
)


def main() -> None:
    """Run the modules that have a ``main``."""
    for name in MODULES:
        print(f"\n## {name}")
        result = importlib.import_module(f"bench.{name}").main()
        if inspect.iscoroutine(result):
            asyncio.run(result)


if __name__ == "__main__":
    main()
