"""Parses a caller's JSON body and computes its digest."""

import hashlib
import json
import typing

import pydantic
import pydantic_core

from limpetroute.border import errors
from limpetroute.border import json_size

# Values in the body of a request.
MAX_VALUES = 50_000

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def read(model: type[_Model], data: bytes) -> tuple[_Model, str]:
    """Validate a body and compute the digest of its content.

    The digest is computed from the parsed body with sorted keys. A client
    library that uses another order of keys or other spaces when it repeats
    a request therefore still sends the same body.

    Parameters
    ----------
    model : type
        Model that the body is validated against.
    data : bytes
        The body as received.

    Returns
    -------
    tuple of model and str
        The body, and its SHA-256 in hexadecimal.

    Raises
    ------
    InvalidInputError
        If the body is not UTF-8 or JSON, is nested too deeply, has too many
        values, or does not match the model.
    """
    try:
        json_size.check(data, MAX_VALUES)
    except json_size.TooManyValuesError as exc:
        raise errors.InvalidInputError(lines=[f'body: {exc}']) from exc
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
    """Return the SHA-256 digest of parsed JSON."""
    text = json.dumps(
        content, sort_keys=True, separators=(',', ':'), ensure_ascii=True
    )
    return hashlib.sha256(text.encode()).hexdigest()
