"""Commands on a team's configuration document."""

import re
import sys
import time
import uuid
from pathlib import Path

from persimmonferry_cli.client import (
    EXIT_REFUSED,
    EXIT_UNKNOWN,
    CommandFailed,
    Request,
    ask,
)
from persimmonferry_cli.endpoints import find_endpoint
from persimmonferry_cli.tables import format_table

__all__ = ["apply", "history", "read_document", "rollback", "show"]

MAX_ATTEMPTS = 3
RETRY_DELAY_S = 1.0
DIGEST_CHARACTERS = 12

_REVISION_LINE = re.compile(r"# persimmonferry revision (\d+)\n")


def show(*, revision: int = 0, admin: str = "", key: str = "") -> None:
    """
    Print the accepted document; its first line holds the revision for apply.

    :param revision: an earlier revision; 0 for the accepted one.
    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    endpoint = find_endpoint(admin, key)
    query = f"?revision={revision}" if revision else ""
    answer = ask(Request(endpoint.admin_url(f"document{query}"), endpoint.key)).read()
    print(f"# persimmonferry revision {answer['revision']}")
    sys.stdout.write(answer["text"])


def apply(
    file: Path,
    *,
    revision: int | None = None,
    note: str = "",
    admin: str = "",
    key: str = "",
) -> None:
    """
    Apply a changed document.

    :param file: the INI document, as printed by show and changed by you.
    :param revision: revision that you read; by default the one in the first line.
    :param note: reason for the change, stored in the history.
    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    stamped, text = read_document(file)
    expected = stamped if revision is None else revision
    if expected is None:
        raise CommandFailed(
            EXIT_REFUSED,
            ("error: pass --revision, or keep the first line that show printed",),
        )
    endpoint = find_endpoint(admin, key)
    request = Request(
        endpoint.admin_url("document"),
        endpoint.key,
        method="PUT",
        body=text.encode(),
        headers=_make_headers(expected) | ({"Change-Note": note} if note else {}),
    )
    print(f"accepted as revision {_send_with_retries(request)}")


def history(*, admin: str = "", key: str = "") -> None:
    """
    List the accepted revisions, the newest first.

    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    endpoint = find_endpoint(admin, key)
    rows = ask(Request(endpoint.admin_url("history"), endpoint.key)).read()
    for row in rows:
        row["time"] = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(row["time_s"]))
        row["digest"] = row["digest"][:DIGEST_CHARACTERS]
    print(format_table(rows, ["revision", "time", "operator", "digest", "note"]))


def rollback(to: int, *, revision: int, admin: str = "", key: str = "") -> None:
    """
    Apply the text of an earlier revision as a new one.

    :param to: the earlier revision.
    :param revision: the accepted revision that you read.
    :param admin: base URL of a process's control port, or PERSIMMONFERRY_ADMIN.
    :param key: the operator's key, or PERSIMMONFERRY_KEY.
    """
    endpoint = find_endpoint(admin, key)
    request = Request(
        endpoint.admin_url(f"rollback?to={to}"),
        endpoint.key,
        method="POST",
        body=b"",
        headers=_make_headers(revision),
    )
    print(f"accepted as revision {_send_with_retries(request)}")


def _make_headers(expected: int) -> dict[str, str]:
    return {"If-Match": str(expected), "Change-Id": uuid.uuid4().hex}


def _send_with_retries(request: Request) -> int:
    # With the same change id, a repeated request is the same change and resolves an
    # unknown outcome.
    for left in reversed(range(MAX_ATTEMPTS)):
        try:
            return ask(request).read()["revision"]
        except CommandFailed as error:
            if error.exit_status != EXIT_UNKNOWN or not left:
                raise
        time.sleep(RETRY_DELAY_S)
    raise AssertionError("the last attempt returns or raises")


def read_document(file: Path) -> tuple[int | None, str]:
    """Return the revision in the first line, None without one, and the text."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise CommandFailed(EXIT_REFUSED, (f"error: {file}: {error}",)) from None
    stamp = _REVISION_LINE.match(text)
    if stamp is None:
        return None, text
    return int(stamp[1]), text[stamp.end() :]
