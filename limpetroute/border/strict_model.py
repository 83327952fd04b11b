"""Base class of the models of limpetroute's own files and messages."""

import pydantic


class StrictModel(pydantic.BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)
