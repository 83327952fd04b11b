"""How many idle connections a host keeps, and for how long."""

# Share of a runner's connections that all hosts' idle ones may take. The
# rest is for requests in progress and for hosts that restart.
IDLE_SHARE = 0.75
# A host's requests to one runner rarely overlap more than this.
MAX_IDLE_PER_SERVER = 4
# Servers that name no timeout may close an idle connection after 1 s.
DEFAULT_TIMEOUT_S = 1
# A request that crosses the server's close may have run or not, so that a
# connection is given up well before.
MARGIN_S = 0.5
MARGIN_SHARE = 1 / 3
# Longer numbers are no plausible timeouts.
MAX_DIGITS = 9


def max_idle(max_connections: int, entry_hosts: int) -> int:
    """Return how many idle connections one host may keep to one runner.

    Parameters
    ----------
    max_connections : int
        Connections that the runner accepts from all hosts together.
    entry_hosts : int
        Known number of entry hosts.
    """
    share = max_connections * IDLE_SHARE / max(1, entry_hosts)
    return max(0, min(int(share), MAX_IDLE_PER_SERVER))


def keep_s(keep_alive: str | None, max_idle_s: float) -> float:
    """Return for how long an idle connection may be used, or 0.

    Parameters
    ----------
    keep_alive : str or None
        The ``Keep-Alive`` header of the last response.
    max_idle_s : float
        Longest time, whatever the server allows.
    """
    timeouts_s = []
    for parameter in (keep_alive or '').split(','):
        name, _, text = parameter.partition('=')
        name = name.strip().lower()
        if name not in ('timeout', 'max'):
            continue
        value = _whole_number(text.strip())
        if not value:
            return 0.0
        if name == 'timeout':
            timeouts_s.append(value)
    timeout_s = min(timeouts_s, default=DEFAULT_TIMEOUT_S)
    margin_s = min(MARGIN_S, timeout_s * MARGIN_SHARE)
    return max(0.0, min(max_idle_s, timeout_s - margin_s))


def _whole_number(text: str) -> int | None:
    """Return a number in decimal digits, or None if it is none."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
