"""One try of a request at the runners."""

from limpetroute.runners import engine_call
from limpetroute.runners import engine_client


class Attempt:
    """What one try holds at the runners, under a run id of its own.

    A second try under the first one's run id could be ended by the
    first one's late cancel, or be handed the first one's words; so each
    try has its own: the request's run name, a dot and a number.

    Parameters
    ----------
    run_id : str
        Name of this try at the runners.
    base : int
        Events that the request had before this try, which are part of
        its prompt.
    """

    __slots__ = ('base', 'fences', 'result', 'run_id', 'source', 'touched')

    def __init__(self, *, run_id: str, base: int) -> None:
        self.run_id = run_id
        self.base = base
        self.touched: dict[str, engine_client.EngineClient] = {}
        self.fences: dict[str, int] = {}
        self.source: engine_client.EngineClient | None = None
        self.result: engine_call.PrefillResult | None = None

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}'
            f'(run_id={self.run_id!r}, touched={sorted(self.touched)!r})'
        )


def run_id_of(run_name: str, number: int) -> str:
    """Return the name of a request's ``number``-th try at the runners."""
    return f'{run_name}.{number}'


def run_name_of(run_id: str) -> str:
    """Return the request's run name from a run id at the runners."""
    return run_id.partition('.')[0]
