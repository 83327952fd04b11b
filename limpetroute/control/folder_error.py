"""The error for a data folder that cannot be used."""


class FolderError(Exception):
    """The data folder cannot be used.

    Parameters
    ----------
    message : str
        The problem and what an operator can do about it.
    """

    def __init__(self, *, message: str) -> None:
        super().__init__(message)
        self.message = message
