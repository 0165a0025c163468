"""Problems found in documents that operators write."""

from attrs import frozen


@frozen
class Problem:
    """One error in a document: where it is, which key, which value."""

    source: str
    key: str
    value: str
    message: str

    def __str__(self) -> str:
        return f'{self.source}: {self.key} = {self.value}: {self.message}'
