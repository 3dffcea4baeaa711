"""Addresses and keys of the processes that commands are sent to."""

import os
from dataclasses import dataclass

from persimmonferry_cli.client import EXIT_REFUSED, CommandFailed

__all__ = ["Endpoint", "find_caller_endpoint", "find_endpoint"]


@dataclass(frozen=True)
class Endpoint:
    """The base URL of a process and the key for its requests."""

    url: str
    key: str

    def admin_url(self, name: str) -> str:
        """Return the URL of an action of the administration API."""
        return f"{self.url}/admin/v1/{name}"


def find_endpoint(admin: str, key: str) -> Endpoint:
    """Return the endpoint for operators' commands."""
    return Endpoint(
        _require_setting(admin, "PERSIMMONFERRY_ADMIN", "--admin").rstrip("/"),
        _require_setting(key, "PERSIMMONFERRY_KEY", "--key"),
    )


def find_caller_endpoint(entry: str, key: str) -> Endpoint:
    """Return the endpoint for callers' commands."""
    return Endpoint(
        _require_setting(entry, "PERSIMMONFERRY_ENTRY", "--entry").rstrip("/"),
        _require_setting(key, "PERSIMMONFERRY_ACCOUNT_KEY", "--key"),
    )


def _require_setting(given: str, variable: str, option: str) -> str:
    value = given or os.environ.get(variable, "")
    if not value:
        raise CommandFailed(EXIT_REFUSED, (f"error: pass {option} or set {variable}",))
    return value
