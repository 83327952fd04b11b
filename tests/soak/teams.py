"""Teams of a soak: their keys, their quota, and what runners saw of both."""

# Of three teams, the first sends most and is over its quota at times.
NAMES = ('hot', 'calm', 'small')
HOT = NAMES[0]
WINDOW_S = 8.0
RATE_PER_S = 300.0
BURST = 600.0
PLAIN_TOKENS = 20
STREAM_TOKENS = 220
# Versions for which a key is valid, so that callers have time to change.
KEY_VERSIONS = 6


def name_of(caller):
    """Return a caller's team; four of six callers are the hot one's."""
    return NAMES[max(0, caller - 3)]


def key(name, version):
    return f'{name}-key-{version}'


def bodies(version):
    """Return the teams of a version: a new key for each, the oldest gone."""
    oldest = max(1, version - KEY_VERSIONS + 1)
    teams = [
        {
            'name': name,
            'api-keys': [key(name, n) for n in range(oldest, version + 1)],
            'unit': 'token_stream',
            'raw-tokens': PLAIN_TOKENS,
        }
        for name in NAMES
    ]
    teams[0].update({'rate-per-s': RATE_PER_S, 'burst': BURST})
    return teams


def judge(runners, owners, losses):
    """Return what is broken of what teams were promised.

    Parameters
    ----------
    runners : list of Runner
        What they saw.
    owners : dict of str to str
        Team of each request.
    losses : int
        Hosts that were killed, stopped or paused: each may let the team
        overdraw its share once more.
    """
    rows = sorted(row for one in runners for row in one.callers)
    broken = [
        f'{request_id} ran for team {team!r}'
        for _, request_id, team, _, _ in rows
        if team != owners.get(request_id)
    ]
    broken += [
        f'{request_id}: its runner got credentials'
        for _, request_id, _, credentials, _ in rows
        if credentials
    ]
    allowed = RATE_PER_S * WINDOW_S + BURST
    bound = 2 * allowed + STREAM_TOKENS * (2 + losses)
    used = _fullest_window(rows)
    if used > bound:
        broken.append(f'the hot team used {used}, allowed {bound}')
    return broken


def _fullest_window(rows):
    costs = [
        (at_s, tokens or PLAIN_TOKENS)
        for at_s, _, team, _, tokens in rows
        if team == HOT
    ]
    return max(
        (
            sum(cost for at_s, cost in costs if 0 <= at_s - from_s < WINDOW_S)
            for from_s, _ in costs
        ),
        default=0,
    )
