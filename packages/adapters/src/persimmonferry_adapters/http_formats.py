"""HTTP formats shared by adapters and stand-ins: headers, paths and JSON bodies."""

import json
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import Any, TypeVar
from urllib.parse import quote

from persimmonferry_core.codes import ResultCode
from persimmonferry_core.exceptions import FerryError, make_error
from persimmonferry_core.runs import (
    EngineOrder,
    LoadAdapter,
    LoadVersion,
    RunEnd,
    RunOrder,
)

__all__ = [
    "BLOCK_NAME_HEADER",
    "COMMITTED_HEADER",
    "GENERATION_HEADER",
    "JSON_TYPE",
    "NOT_RUN_HEADER",
    "OCTETS_TYPE",
    "REVISION_HEADER",
    "RUN_ID_HEADER",
    "decode_engine_order",
    "decode_json",
    "decode_refusal",
    "decode_run_end",
    "decode_run_order",
    "encode_engine_order",
    "encode_json",
    "encode_run_order",
    "quote_segment",
]

Built = TypeVar("Built")

JSON_TYPE = "application/json"
OCTETS_TYPE = "application/octet-stream"
RUN_ID_HEADER = "X-Run-Id"
NOT_RUN_HEADER = "X-Not-Run"
REVISION_HEADER = "X-Revision"
GENERATION_HEADER = "X-Generation"
COMMITTED_HEADER = "X-Committed"
BLOCK_NAME_HEADER = "X-Block-Name"

_REFUSAL_CODES = {
    code.number: code
    for code in (
        ResultCode.UPSTREAM_REFUSED,
        ResultCode.WRONG_VERSION,
        ResultCode.FENCING_REFUSED,
        ResultCode.DUPLICATE_RUN,
        ResultCode.STOPPING,
    )
}


def quote_segment(text: str) -> str:
    """
    Return text as one segment of a URL's path.

    >>> quote_segment("team/notes")
    'team%2Fnotes'
    """
    return quote(text, safe="")


def encode_json(value: Any) -> bytes:
    """Return compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def decode_json(body: bytes, build: Callable[[Any], Built]) -> Built:
    """
    Build a typed value from a JSON body.

    :raises ValueError: when the body is not JSON or has an unexpected structure.

    >>> decode_json(b'{"generation": 3}', lambda fields: int(fields["generation"]))
    3
    """
    try:
        return build(json.loads(body))
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError("malformed JSON body") from error


def decode_refusal(fields: Any) -> FerryError:
    """
    Decode the refusal in a JSON value of an engine.

    An unknown code is read as UPSTREAM_REFUSED.

    >>> decode_refusal({"refused": {"code": 2019, "reason": "v1"}}).code.name
    'WRONG_VERSION'
    """
    refused = fields["refused"]
    code = _REFUSAL_CODES.get(refused["code"], ResultCode.UPSTREAM_REFUSED)
    retry_after_s = refused.get("retry_after_s")
    if retry_after_s is not None:
        retry_after_s = float(retry_after_s)
    return make_error(code, str(refused["reason"]), retry_after_s)


def encode_run_order(order: RunOrder) -> bytes:
    """Encode the request body that starts a run."""
    return encode_json(asdict(order))


def decode_run_order(body: bytes) -> RunOrder:
    """
    Decode the request body that starts a run.

    :raises ValueError: when it is malformed.
    """
    try:
        fields = json.loads(body)
        fields["delivered"] = tuple(fields["delivered"])
        fields["block_names"] = tuple(fields["block_names"])
        return RunOrder(**fields)
    except (KeyError, TypeError) as error:
        raise ValueError("not a run order") from error


def decode_run_end(run_id: str, fields: Mapping[str, Any]) -> RunEnd:
    """
    Decode the end mark of a run.

    :raises ValueError: when it is malformed.
    """
    try:
        return RunEnd(
            run_id=run_id,
            version=str(fields["version"]),
            total_tokens=int(fields["total_tokens"]),
            prompt_tokens=int(fields["prompt_tokens"]),
            cached_tokens=int(fields["cached_tokens"]),
            finish_reason=str(fields["finish_reason"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError("not an end mark") from error


def encode_engine_order(order: EngineOrder) -> bytes:
    """Encode the request body of an order to an engine."""
    match order.order:
        case LoadVersion(model, version):
            fields = {"kind": "version", "model": model, "name": version}
        case LoadAdapter(model, adapter):
            fields = {"kind": "adapter", "model": model, "name": adapter}
    return encode_json({"fencing": order.fencing, **fields})


def decode_engine_order(body: bytes) -> EngineOrder:
    """
    Decode the request body of an order to an engine.

    :raises ValueError: when it is malformed.
    """
    try:
        fields = json.loads(body)
        kinds = {"version": LoadVersion, "adapter": LoadAdapter}
        kind = kinds[fields["kind"]]
        return EngineOrder(fields["fencing"], kind(fields["model"], fields["name"]))
    except (KeyError, TypeError) as error:
        raise ValueError("not an order to an engine") from error
