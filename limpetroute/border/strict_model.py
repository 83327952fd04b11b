"""Base class of the models of limpetroute's own files and messages."""

import pydantic


class StrictModel(pydantic.BaseModel):
    """Immutable model that rejects unknown fields."""

    # An error that quotes its input would show keys of callers.
    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, hide_input_in_errors=True
    )
