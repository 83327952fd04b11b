"""Prints a table to the terminal."""

import typing


def show(
    columns: typing.Sequence[str],
    rows: typing.Sequence[typing.Sequence[typing.Any]],
) -> None:
    """Print rows under their columns; None is shown as a dash."""
    # Imported here because importing rich takes longer than the rest of
    # a command.
    from rich import box
    from rich import console
    from rich import table

    grid = table.Table(box=box.SIMPLE, pad_edge=False)
    for column in columns:
        grid.add_column(column, overflow='fold')
    for row in rows:
        grid.add_row(*[_cell(value) for value in row])
    screen = console.Console(highlight=False, markup=False)
    if not screen.is_terminal:
        screen.width = 160
    screen.print(grid)


def _cell(value: typing.Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    return str(value)
