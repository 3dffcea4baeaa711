"""Runs every benchmark, each beside its baseline, one after the other."""

import importlib

MODULES = (
    "path",
    "recovery",
    "claims",
    "configuration",
    "cache",
    "rollout",
    "policy",
    "capacity",
)


def main() -> None:
    """Run the modules that have a ``main``."""
    for name in MODULES:
        print(f"\n## {name}")
        importlib.import_module(f"bench.{name}").main()


if __name__ == "__main__":
    main()
