"""Properties of a request that the decisions use."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """One request as the router sees it.

    Parameters
    ----------
    work_id : str
        Name of the request inside this process.
    team : str
        Team whose share it counts against.
    model : str
        Requested model.
    prompt_tokens : int
        Length of the prompt in tokens.
    max_tokens : int
        Most tokens the answer may have.
    arrived_s : float
        Time of arrival, on the router's clock.
    first_token_by_s : float
        Time at which the first token is due, on the same clock.
    token_gap_s : float
        Longest mean time between tokens that still counts as goodput.
    prefix_blocks : tuple of int
        Hashes of the prompt's leading blocks, each over all before it.
    zone : str
        Availability zone of the entry host that serves the request.
    key : str
        Identifies the request when its caller retries it.
    returning : bool
        Whether the caller declares that this is a promised retry.
    """

    work_id: str
    team: str
    model: str
    prompt_tokens: int
    max_tokens: int
    arrived_s: float
    first_token_by_s: float
    token_gap_s: float
    prefix_blocks: tuple[int, ...] = ()
    zone: str = ''
    key: str = ''
    returning: bool = False
