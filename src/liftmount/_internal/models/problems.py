"""Errors in documents that operators write."""

from attrs import frozen


@frozen
class Problem:
    """An error in a document, with its source, key and value."""

    source: str
    key: str
    value: str
    message: str

    def __str__(self) -> str:
        return f'{self.source}: {self.key} = {self.value}: {self.message}'
