"""Commands on one process."""

from persimmonferry_cli.client import Request, ask
from persimmonferry_cli.endpoints import find_endpoint
from persimmonferry_cli.tables import format_table

__all__ = ["drain", "histograms", "status", "undrain", "usage"]


def status(*, admin: str = "", key: str = "") -> None:
    """
    Show the state of a process and the revision that it uses.

    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    endpoint = find_endpoint(admin, key)
    answer = ask(Request(endpoint.admin_url("status"), endpoint.key)).read()
    for name, value in answer.items():
        print(f"{name}: {value}")


def drain(*, admin: str = "", key: str = "") -> None:
    """
    Make a process refuse new work; work in progress continues.

    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    _post("drain", admin, key)
    print("draining")


def undrain(*, admin: str = "", key: str = "") -> None:
    """
    Make a process accept new work again.

    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    _post("undrain", admin, key)
    print("taking work")


def histograms(*, admin: str = "", key: str = "") -> None:
    """
    Show the latencies of each client account and tier in milliseconds.

    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    columns = ["account", "tier", "measure", "count"]
    columns += ["p50_ms", "p95_ms", "p99_ms", "max_ms"]
    _print_rows("histograms", columns, admin, key)


def usage(*, admin: str = "", key: str = "") -> None:
    """
    Show what each client account used of each tier.

    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    columns = ["account", "tier", "requests", "prompt_tokens"]
    columns += ["cached_tokens", "generated_tokens", "charge"]
    _print_rows("usage", columns, admin, key)


def _post(name: str, admin: str, key: str) -> None:
    endpoint = find_endpoint(admin, key)
    ask(Request(endpoint.admin_url(name), endpoint.key, method="POST", body=b""))


def _print_rows(name: str, columns: list[str], admin: str, key: str) -> None:
    endpoint = find_endpoint(admin, key)
    rows = ask(Request(endpoint.admin_url(name), endpoint.key)).read()
    print(format_table(rows, columns))
