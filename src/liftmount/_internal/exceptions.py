"""The exception tree of liftmount."""


class LiftmountError(Exception):
    """Base of every error that liftmount raises."""


class PacketError(LiftmountError):
    """A datagram is not a packet of this protocol."""


class TokenError(LiftmountError):
    """A flow token cannot be used.

    ``reason`` is the :class:`~liftmount.Reason` to count.
    """

    def __init__(self, reason):
        super().__init__(reason.value)
        self.reason = reason


class ConfigurationError(LiftmountError):
    """A settings or configuration document is not valid.

    ``problems`` lists every :class:`~liftmount.Problem` found at once.
    """

    def __init__(self, problems):
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = list(problems)


class PlatformError(LiftmountError):
    """The platform's store did not serve a call."""


class PlatformUnavailableError(PlatformError):
    """The store could not be reached or gave no usable answer.

    For a write this means that it may have taken effect.
    """


class ConflictError(PlatformError):
    """A conditional write lost against another writer.

    ``current`` is the stored object, or None when there is none.
    """

    def __init__(self, key, current):
        super().__init__(f'{key} was changed by another writer')
        self.key = key
        self.current = current


class ServiceNotFoundError(LiftmountError):
    """No service of that name is registered in the kernel."""


class HttpError(LiftmountError):
    """A call over HTTP got no answer; it may have been carried out."""


class HistoryGoneError(PlatformError):
    """The store forgot the changes since a revision; list again."""


class StoredObjectError(PlatformError):
    """An object in the store does not hold what it should.

    ``name`` is the object, ``field`` the path of the bad value, which is
    told in part if it is long.
    """

    MAX_VALUE_CHARS = 80

    def __init__(self, name, field, value, message):
        told = repr(value)[: self.MAX_VALUE_CHARS]
        super().__init__(f'{name}: {field} = {told}: {message}')
        self.name = name
        self.field = field
        self.value = value
        self.message = message
