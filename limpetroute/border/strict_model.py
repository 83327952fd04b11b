"""Base of all models at the border."""

import pydantic


class StrictModel(pydantic.BaseModel):
    """Refuses unknown fields and never changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)
