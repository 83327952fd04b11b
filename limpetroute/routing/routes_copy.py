"""A host's copy of the routing configuration, and how it moves on."""

import dataclasses
import hashlib
import typing

from limpetroute.routing import config_fragments


class BaseMismatchError(ValueError):
    """An update starts from another version than the one held."""


class DigestMismatchError(ValueError):
    """An update does not lead to the document that it names."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BaseRange:
    """A run of parts that the base has already."""

    first: int
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewFragments:
    """Parts that the base lacks; all of one array."""

    array: str
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutesUpdate:
    """The way from one version of the configuration to another.

    Parameters
    ----------
    version : int
        Version that it leads to.
    digest : str
        SHA-256 of that version's document.
    base : str
        Digest of the document that it starts from; empty for none.
    steps : tuple of BaseRange or NewFragments
        The parts of the new document, in order.
    """

    version: int
    digest: str
    base: str
    steps: tuple[BaseRange | NewFragments, ...]

    @property
    def added(self) -> list[config_fragments.ConfigFragment]:
        """The parts that the base lacks."""
        return [
            config_fragments.ConfigFragment(step.array, text)
            for step in self.steps
            if isinstance(step, NewFragments)
            for text in step.texts
        ]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutesCopy:
    """One version of the routing configuration, in parts.

    Parameters
    ----------
    version : int
        Its number; 0 for none.
    digest : str
        SHA-256 of the document; empty for none.
    parts : tuple of ConfigFragment
        The document.
    """

    version: int = 0
    digest: str = ''
    parts: tuple[config_fragments.ConfigFragment, ...] = ()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(version={self.version!r}, '
            f'parts={len(self.parts)!r})'
        )

    def apply(self, update: RoutesUpdate) -> 'RoutesCopy':
        """Return the copy that an update leads to.

        Raises
        ------
        BaseMismatchError
            If it starts from another document.
        DigestMismatchError
            If it does not lead to the document that was acknowledged.
        """
        if update.base and update.base != self.digest:
            raise BaseMismatchError(f'starts from {update.base[:12]!r}')
        parts = tuple(self._moved_on(update.steps))
        text = ''.join([part.text for part in parts])
        if hashlib.sha256(text.encode()).hexdigest() != update.digest:
            raise DigestMismatchError(
                f'version {update.version} comes out as another document'
            )
        return RoutesCopy(
            version=update.version, digest=update.digest, parts=parts
        )

    def _moved_on(
        self, steps: typing.Iterable[BaseRange | NewFragments]
    ) -> typing.Iterator[config_fragments.ConfigFragment]:
        for step in steps:
            if isinstance(step, BaseRange):
                yield from self.parts[step.first : step.first + step.count]
                continue
            for text in step.texts:
                yield config_fragments.ConfigFragment(step.array, text)


def update_between(base: RoutesCopy, newer: RoutesCopy) -> RoutesUpdate:
    """Return the update that leads from one copy to a newer one.

    Its size grows with what changed: parts that the base has, wherever
    they stand there, are named by their places.
    """
    places = {part: place for place, part in enumerate(base.parts)}
    steps: list[BaseRange | NewFragments] = []
    first = count = 0
    array = ''
    texts: list[str] = []
    for part in newer.parts:
        place = places.get(part)
        if texts and (place is not None or part.array != array):
            steps.append(NewFragments(array=array, texts=tuple(texts)))
            texts = []
        if count and place != first + count:
            steps.append(BaseRange(first=first, count=count))
            count = 0
        if place is None:
            array = part.array
            texts.append(part.text)
            continue
        if not count:
            first = place
        count += 1
    if texts:
        steps.append(NewFragments(array=array, texts=tuple(texts)))
    if count:
        steps.append(BaseRange(first=first, count=count))
    return RoutesUpdate(
        version=newer.version,
        digest=newer.digest,
        base=base.digest,
        steps=tuple(steps),
    )
