"""Reads a caller's JSON body once: its model and its digest."""

import hashlib
import json
import typing

import pydantic
import pydantic_core

from limpetroute.border import errors

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def read(model: type[_Model], data: bytes) -> tuple[_Model, str]:
    """Validate a body and name its content.

    The digest is taken of the parsed body with its keys sorted, so that
    a library which orders keys or spaces otherwise when it repeats a
    request still sends the same body.

    Parameters
    ----------
    model : type
        Model at the border.
    data : bytes
        The body as received.

    Returns
    -------
    tuple of model and str
        The body, and its SHA-256 in hexadecimal.

    Raises
    ------
    InvalidInputError
        If it is not UTF-8 or JSON, is nested too deeply, or does not
        fit the model.
    """
    try:
        content = pydantic_core.from_json(data, allow_inf_nan=False)
    except ValueError as exc:
        line = f'body is not JSON: {exc}'
        raise errors.InvalidInputError(lines=[line]) from exc
    try:
        body = model.model_validate(content)
    except pydantic.ValidationError as exc:
        raise errors.InvalidInputError(lines=errors.describe(exc)) from exc
    return body, digest(content)


def digest(content: typing.Any) -> str:
    """Return the digest of parsed JSON."""
    text = json.dumps(
        content, sort_keys=True, separators=(',', ':'), ensure_ascii=True
    )
    return hashlib.sha256(text.encode()).hexdigest()
