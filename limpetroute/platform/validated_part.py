"""Validates a part of a routing configuration."""

import typing

import pydantic

from limpetroute.platform import routes_codec

_Model = typing.TypeVar('_Model', bound=pydantic.BaseModel)


def validated(model: type[_Model], text: str) -> _Model:
    """Return the validated part.

    Raises
    ------
    InvalidRoutesError
        If the part is malformed; its text does not quote the input.
    """
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as exc:
        raise routes_codec.InvalidRoutesError(str(exc)) from None
