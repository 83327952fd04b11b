"""One attempt to run a request on runners."""

from limpetroute.runners import engine_call
from limpetroute.runners import engine_client


class Attempt:
    """State of one attempt, which has a run id of its own.

    The run id is the request's run name, a dot and the attempt's
    number. If two attempts shared a run id, a late cancel of the first
    could end the second, or the second could receive the first one's
    tokens.

    Parameters
    ----------
    run_id : str
        Run id of this attempt at the runners.
    start_index : int
        Number of events that the answer had before this attempt. Their
        text is part of the attempt's prompt.

    Attributes
    ----------
    contacted : dict
        Clients, by runner id, of the runners that may hold memory of
        the attempt.
    fences : dict
        Fencing numbers of the attempt's grants, by runner id.
    source : EngineClient or None
        Client of the prefill runner that holds the prefill's result.
    source_id : str
        Id of that runner; empty before the prefill.
    result : PrefillResult or None
        Result of the prefill.
    """

    __slots__ = (
        'contacted',
        'fences',
        'result',
        'run_id',
        'source',
        'source_id',
        'start_index',
    )

    def __init__(self, *, run_id: str, start_index: int) -> None:
        self.run_id = run_id
        self.start_index = start_index
        self.contacted: dict[str, engine_client.EngineClient] = {}
        self.fences: dict[str, int] = {}
        self.source: engine_client.EngineClient | None = None
        self.source_id = ''
        self.result: engine_call.PrefillResult | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}'
            f'(run_id={self.run_id!r}, contacted={sorted(self.contacted)!r})'
        )


def run_id_of(run_name: str, number: int) -> str:
    """Return the run id of a request's ``number``-th attempt."""
    return f'{run_name}.{number}'


def run_name_of(run_id: str) -> str:
    """Return the request's run name from the run id of an attempt."""
    return run_id.partition('.')[0]
