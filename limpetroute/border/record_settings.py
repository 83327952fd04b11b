"""Where an entry host records a trace of its decisions."""

import pydantic

from limpetroute.border import paths
from limpetroute.border import strict_model


class RecordSettings(strict_model.StrictModel):
    """A trace of the decisions, without callers' texts.

    Recording ends at ``max_bytes``; a file that is there already is
    never written over.
    """

    file: paths.FilePath
    max_bytes: int = pydantic.Field(default=16 << 20, ge=4096, le=1 << 30)
