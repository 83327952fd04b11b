"""What membership and leases cost a host, by the number of hosts."""

from limpetroute.bench import peer_costs
from limpetroute.bench.capacity import figure  # noqa: H306

PLAYED_S = 15.0
# The settings' defaults.
PROBE_PERIOD_S = 2.0
SIZES = ((7, 7, 8), (50, 5, 250), (350, 5, 1800))


class PeerProbe:
    """Plays the protocols of 7, 50 and 350 hosts in memory."""

    def measure(self) -> list[figure.Figure]:
        """Play each size."""
        found = []
        for hosts, voters, runners in SIZES:
            played = peer_costs.PeerCosts(
                hosts=hosts,
                voters=voters,
                runners=runners,
                probe_period_s=PROBE_PERIOD_S,
            )
            found += _figures(played.run(PLAYED_S))
        return found


def _figures(cost: peer_costs.PeerCost) -> list[figure.Figure]:
    size = cost.hosts
    how = (
        f'{size} hosts, {cost.voters} voters, {cost.runners} runners, '
        f'{PLAYED_S:.0f} s played in memory'
    )
    return [
        figure.Figure(
            name=f'peer.calls_per_s_{size}',
            value=cost.calls_per_s,
            unit='1/s',
            how=f'{how}; made and taken',
        ),
        figure.Figure(
            name=f'peer.bytes_per_s_{size}',
            value=cost.all_bytes_per_s,
            unit='B/s',
            how=f'{how}; both ways, with HTTP and TCP',
        ),
        figure.Figure(
            name=f'peer.worst_bytes_per_s_{size}',
            value=cost.worst_all_bytes_per_s,
            unit='B/s',
            how=f'{how}; the busiest host',
        ),
        figure.Figure(
            name=f'peer.core_percent_{size}',
            value=cost.cpu_share * 100,
            unit='%',
            how=f'{how}; the protocol code alone',
        ),
    ]
