"""Network distance between availability zones."""

import typing

__all__ = ['ZoneCosts', 'rank_successors']

LOCAL_MS = 0.0
UNKNOWN_MS = 1000.0


class ZoneCosts:
    """Round-trip times between availability zones.

    Parameters
    ----------
    round_trips_ms : mapping of (str, str) to float
        Round-trip time of each pair of zones, in either order. A pair
        without a time counts as ``UNKNOWN_MS`` apart.
    """

    __slots__ = ('_round_trips_ms',)

    def __init__(
        self, *, round_trips_ms: typing.Mapping[tuple[str, str], float]
    ) -> None:
        self._round_trips_ms = dict(round_trips_ms)

    def __repr__(self) -> str:
        return f'{type(self).__name__}({self._round_trips_ms!r})'

    def between(self, one: str, two: str) -> float:
        """Return the round-trip time between two zones in milliseconds."""
        if one == two:
            return LOCAL_MS
        known = self._round_trips_ms
        found = known.get((one, two), known.get((two, one)))
        return UNKNOWN_MS if found is None else found


def rank_successors(
    *,
    zone: str,
    hosts: typing.Sequence[tuple[str, str]],
    costs: ZoneCosts,
) -> list[str]:
    """Order hosts by preference as holder of this host's copies.

    Hosts in other zones come first, since a zone may fail as a whole.
    Nearer zones come before farther ones, because the first token of each
    answer is sent only after its copy is confirmed. Hosts in this host's
    own zone come last.

    Parameters
    ----------
    zone : str
        This host's zone.
    hosts : sequence of (str, str)
        Other hosts with their zones, in order of preference where
        their zones are equally good.
    costs : ZoneCosts
        Round-trip times between zones.
    """
    preference = {host_id: number for number, (host_id, _) in enumerate(hosts)}
    return [
        host_id
        for host_id, _ in sorted(
            hosts,
            key=lambda item: (
                item[1] == zone,
                costs.between(zone, item[1]),
                preference[item[0]],
            ),
        )
    ]
