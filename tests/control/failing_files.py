"""A file system that can be made to fail."""

import errno

from limpetroute.control import files as files_module


class FailingFile:
    def __init__(self, owner, file):
        self._owner = owner
        self._file = file

    def write(self, data):
        # A full disk writes a part of the data before it fails.
        if self._owner.will_fail('write'):
            self._file.write(data[: len(data) // 2])
            self._owner.fail()
        self._file.write(data)

    def sync(self):
        if self._owner.will_fail('sync'):
            self._owner.fail()
        self._file.sync()

    def close(self):
        self._file.close()


class FailingFiles:
    """The real file system, until ``error`` is set."""

    def __init__(self):
        self._files = files_module.DiskFiles()
        self.error = 0
        self.at = 'write'

    def will_fail(self, operation):
        return bool(self.error) and operation == self.at

    def fail(self):
        raise OSError(self.error, errno.errorcode[self.error])

    def read(self, path):
        return self._files.read(path)

    def replace(self, path, data):
        if self.error:
            self.fail()
        self._files.replace(path, data)

    def open_append(self, path):
        return FailingFile(self, self._files.open_append(path))
