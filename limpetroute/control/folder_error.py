"""A data folder that cannot be used."""


class FolderError(Exception):
    """A data folder that cannot be used.

    Parameters
    ----------
    message : str
        What is wrong and what an operator can do.
    """

    def __init__(self, *, message: str) -> None:
        super().__init__(message)
        self.message = message
