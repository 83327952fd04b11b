"""An update of the routing configuration, as control hosts send it."""

import pydantic

from limpetroute.border import strict_model
from limpetroute.routing import routes_copy


class BaseRangeBody(strict_model.StrictModel):
    """See `routes_copy.BaseRange`."""

    first: int = pydantic.Field(ge=0)
    count: int = pydantic.Field(gt=0)


class NewFragmentsBody(strict_model.StrictModel):
    """See `routes_copy.NewFragments`."""

    array: str
    texts: list[str]


class RoutesUpdateBody(strict_model.StrictModel):
    """See `routes_copy.RoutesUpdate`."""

    version: int
    digest: str
    base: str
    steps: list[BaseRangeBody | NewFragmentsBody]

    def to_update(self) -> routes_copy.RoutesUpdate:
        """Convert the body to an update."""
        return routes_copy.RoutesUpdate(
            version=self.version,
            digest=self.digest,
            base=self.base,
            steps=tuple(_step(step) for step in self.steps),
        )


class RoutesSliceBody(strict_model.StrictModel):
    """Slice of an update's JSON text that starts at ``offset``.

    ``size`` is the number of characters of the whole text.
    """

    base: str
    digest: str
    size: int = pydantic.Field(ge=0)
    offset: int = pydantic.Field(ge=0)
    text: str


class RoutesNoticeBody(strict_model.StrictModel):
    """The configuration in force, with the update to it if it is small."""

    version: int
    digest: str
    update: RoutesUpdateBody | None = None


def encode(update: routes_copy.RoutesUpdate) -> str:
    """Return an update's JSON text."""
    steps: list[BaseRangeBody | NewFragmentsBody] = []
    for step in update.steps:
        if isinstance(step, routes_copy.BaseRange):
            steps.append(BaseRangeBody(first=step.first, count=step.count))
            continue
        steps.append(
            NewFragmentsBody(array=step.array, texts=list(step.texts))
        )
    return RoutesUpdateBody(
        version=update.version,
        digest=update.digest,
        base=update.base,
        steps=steps,
    ).model_dump_json()


def _step(
    body: BaseRangeBody | NewFragmentsBody,
) -> routes_copy.BaseRange | routes_copy.NewFragments:
    if isinstance(body, BaseRangeBody):
        return routes_copy.BaseRange(first=body.first, count=body.count)
    return routes_copy.NewFragments(array=body.array, texts=tuple(body.texts))
