"""A host's copy of the routing configuration, and updates to it."""

import dataclasses
import hashlib
import typing

from limpetroute.routing import config_fragments

# Version of a host that has no configuration.
NO_VERSION = -1


class BaseMismatchError(ValueError):
    """An update is based on another document than this copy."""


class DigestMismatchError(ValueError):
    """An update does not produce the document that its digest names."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BaseRange:
    """Consecutive fragments that are copied from the base document."""

    first: int
    count: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewFragments:
    """Fragments of one array that the base document lacks."""

    array: str
    texts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutesUpdate:
    """Difference between two versions of the configuration.

    Parameters
    ----------
    version : int
        Version that the update produces.
    digest : str
        SHA-256 of that version's document.
    base : str
        Digest of the document that the update is based on; empty for none.
    steps : tuple of BaseRange or NewFragments
        The fragments of the new document, in order.
    """

    version: int
    digest: str
    base: str
    steps: tuple[BaseRange | NewFragments, ...]

    @property
    def added(self) -> list[config_fragments.ConfigFragment]:
        """The fragments that the base document lacks."""
        return [
            config_fragments.ConfigFragment(step.array, text)
            for step in self.steps
            if isinstance(step, NewFragments)
            for text in step.texts
        ]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutesCopy:
    """One version of the routing configuration, split into fragments.

    Parameters
    ----------
    version : int
        Version number; `NO_VERSION` if there is no configuration yet.
    digest : str
        SHA-256 of the document; empty if there is none.
    parts : tuple of ConfigFragment
        Fragments of the document, in order.
    """

    version: int = NO_VERSION
    digest: str = ''
    parts: tuple[config_fragments.ConfigFragment, ...] = ()

    def __repr__(self) -> str:
        return (
            f'{type(self).__name__}(version={self.version!r}, '
            f'parts={len(self.parts)!r})'
        )

    def apply(self, update: RoutesUpdate) -> 'RoutesCopy':
        """Return the copy that results from an update.

        Raises
        ------
        BaseMismatchError
            If the update is based on another document.
        DigestMismatchError
            If the resulting document has another digest than the version
            that was acknowledged.
        """
        if update.base and update.base != self.digest:
            raise BaseMismatchError(
                f'update is based on document {update.base[:12]!r}'
            )
        parts = tuple(self._updated_fragments(update.steps))
        text = ''.join([fragment.text for fragment in parts])
        if hashlib.sha256(text.encode()).hexdigest() != update.digest:
            raise DigestMismatchError(
                f'digest of version {update.version} does not match'
            )
        return RoutesCopy(
            version=update.version, digest=update.digest, parts=parts
        )

    def _updated_fragments(
        self, steps: typing.Iterable[BaseRange | NewFragments]
    ) -> typing.Iterator[config_fragments.ConfigFragment]:
        for step in steps:
            if isinstance(step, BaseRange):
                yield from self.parts[step.first : step.first + step.count]
                continue
            for text in step.texts:
                yield config_fragments.ConfigFragment(step.array, text)


def update_between(base: RoutesCopy, newer: RoutesCopy) -> RoutesUpdate:
    """Return the update from one copy to a newer one.

    The size of the update grows with the number of changed fragments. A
    fragment that the base has at any position is named by its position.
    """
    positions = {
        fragment: position for position, fragment in enumerate(base.parts)
    }
    steps: list[BaseRange | NewFragments] = []
    first = count = 0
    array = ''
    texts: list[str] = []
    for fragment in newer.parts:
        position = positions.get(fragment)
        if texts and (position is not None or fragment.array != array):
            steps.append(NewFragments(array=array, texts=tuple(texts)))
            texts = []
        if count and position != first + count:
            steps.append(BaseRange(first=first, count=count))
            count = 0
        if position is None:
            array = fragment.array
            texts.append(fragment.text)
            continue
        if not count:
            first = position
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
