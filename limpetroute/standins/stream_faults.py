"""Lines of an engine's stream, disordered on command."""

import json

from limpetroute.standins import engine_faults
from limpetroute.standins import engine_state


def lines(
    run: engine_state.Run,
    first: int,
    upto: int,
    faults: engine_faults.EngineFaults,
) -> list[str]:
    """Return the lines of a run's events ``first`` to ``upto``.

    With ``disorder`` the batch comes backwards, and each event twice.
    """
    places = list(range(first, upto))
    if faults.disorder:
        places = sorted(places * 2, reverse=True)
    return [
        json.dumps({'i': place, 't': run.words[place]}) + '\n'
        for place in places
    ]
