"""Request body about the software versions at which streams began."""

import typing

import pydantic

from limpetroute.border import strict_model
from limpetroute.routing import stream_origins

# Streams in one report; it is parsed within a few milliseconds.
MAX_STREAMS = 2000

_StreamBody = tuple[
    str,
    typing.Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)],
]


class OriginsBody(strict_model.StrictModel):
    """Streams of a service and a team that began at one version.

    ``streams`` has the id of each stream and the seconds for which it is
    still kept.
    """

    service: str
    team: str
    version: str
    streams: list[_StreamBody]


class StreamReportBody(strict_model.StrictModel):
    """``POST /v1/streams``: streams that began at an entry host."""

    groups: list[OriginsBody]

    @pydantic.field_validator('groups')
    @classmethod
    def _is_short(cls, groups: list[OriginsBody]) -> list[OriginsBody]:
        if sum(len(group.streams) for group in groups) > MAX_STREAMS:
            raise ValueError(f'allowed are {MAX_STREAMS} streams')
        return groups

    def to_origins(self) -> list[stream_origins.StreamOrigin]:
        """Return the streams."""
        origins = []
        for group in self.groups:
            for request_id, remaining_s in group.streams:
                key = stream_origins.StreamKey(
                    service=group.service,
                    team=group.team,
                    request_id=request_id,
                )
                origins.append(
                    stream_origins.StreamOrigin(
                        key=key,
                        version=group.version,
                        remaining_s=remaining_s,
                    )
                )
        return origins


def to_body(
    origins: typing.Iterable[stream_origins.StreamOrigin],
) -> dict[str, typing.Any]:
    """Return the report of these streams as JSON types."""
    streams: dict[tuple[str, str, str], list[list[str | float]]] = {}
    for origin in origins:
        key = origin.key
        group = streams.setdefault((key.service, key.team, origin.version), [])
        group.append([key.request_id, round(origin.remaining_s, 1)])
    groups = [
        {'service': service, 'team': team, 'version': version, 'streams': ids}
        for (service, team, version), ids in streams.items()
    ]
    return {'groups': groups}
