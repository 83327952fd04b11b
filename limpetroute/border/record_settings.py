"""Settings of the trace that an entry host records."""

import pydantic

from limpetroute.border import paths
from limpetroute.border import strict_model


class RecordSettings(strict_model.StrictModel):
    """Trace of an entry host's decisions, without prompts and answers.

    Recording ends at ``max_bytes``. An existing file is never overwritten.
    """

    file: paths.FilePath
    max_bytes: int = pydantic.Field(default=16 << 20, ge=4096, le=1 << 30)
