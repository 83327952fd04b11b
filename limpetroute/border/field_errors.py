"""Errors of several fields that one validator found."""

import typing


class FieldErrors(ValueError):
    """Wrong fields below the one that is validated.

    Parameters
    ----------
    found : sequence of (str, str)
        Path below the validated field, and what is wrong there.
    """

    def __init__(self, *, found: typing.Sequence[tuple[str, str]]) -> None:
        super().__init__('; '.join(f'{path}: {text}' for path, text in found))
        self.found = tuple(found)


def check_unique(
    items: typing.Sequence[typing.Any],
    key: typing.Callable[[typing.Any], typing.Any],
    field: str,
) -> None:
    """Raise `FieldErrors` for each item whose key stood before."""
    first: dict[typing.Any, int] = {}
    found = []
    for place, item in enumerate(items):
        value = key(item)
        if value is None:
            continue
        if value in first:
            text = f'{value!r} stands twice, first at {first[value]}'
            found.append((f'{place}.{field}', text))
            continue
        first[value] = place
    if found:
        raise FieldErrors(found=found)
