"""Lines of an engine's stream, with injected disorder."""

import json

from limpetroute.standins import engine_faults
from limpetroute.standins import engine_state


def lines(
    run: engine_state.Run,
    first: int,
    upto: int,
    faults: engine_faults.EngineFaults,
) -> list[str]:
    """Return the lines of a run's events ``first`` to ``upto - 1``.

    With ``disorder``, they are in reverse order, each one twice.
    """
    indexes = list(range(first, upto))
    if faults.disorder:
        indexes = sorted(indexes * 2, reverse=True)
    return [
        json.dumps({'i': index, 't': run.words[index]}) + '\n'
        for index in indexes
    ]
