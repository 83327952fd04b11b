"""A trace that cannot be read."""


class TraceError(ValueError):
    """A trace that cannot be read, and where.

    Parameters
    ----------
    line, column : int
        Place in the file, both from 1.
    text : str
        What is wrong there.
    """

    def __init__(self, *, line: int, column: int, text: str) -> None:
        super().__init__(f'line {line} column {column}: {text}')
        self.line = line
        self.column = column
        self.text = text
