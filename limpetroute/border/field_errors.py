"""Errors of several nested fields, found by one validator."""

import typing


class FieldErrors(ValueError):
    """Errors in fields below the validated one.

    Parameters
    ----------
    errors : sequence of (str, str)
        Path below the validated field, and the error there.
    """

    def __init__(self, *, errors: typing.Sequence[tuple[str, str]]) -> None:
        super().__init__('; '.join(f'{path}: {text}' for path, text in errors))
        self.errors = tuple(errors)


def check_unique(
    items: typing.Sequence[typing.Any],
    key: typing.Callable[[typing.Any], typing.Any],
    field: str,
) -> None:
    """Raise `FieldErrors` that lists all items with a repeated key.

    ``field`` is the path of the key below an item, or empty if the item
    itself is the key.
    """
    first: dict[typing.Any, int] = {}
    errors = []
    for position, item in enumerate(items):
        value = key(item)
        if value is None:
            continue
        if value in first:
            text = f'{value!r} stands twice, first at {first[value]}'
            errors.append((f'{position}.{field}'.rstrip('.'), text))
            continue
        first[value] = position
    if errors:
        raise FieldErrors(errors=errors)
