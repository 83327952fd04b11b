"""The error for a trace that cannot be read."""


class TraceError(ValueError):
    """A trace cannot be read or replayed at a line and column.

    Parameters
    ----------
    line, column : int
        Position in the file; both count from 1.
    text : str
        What is wrong at this position.
    """

    def __init__(self, *, line: int, column: int, text: str) -> None:
        super().__init__(f'line {line} column {column}: {text}')
        self.line = line
        self.column = column
        self.text = text
