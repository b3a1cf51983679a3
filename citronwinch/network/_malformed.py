"""The error of every decoder of messages between the system's processes."""


class MalformedMessageError(Exception):
    """The bytes are not a message of the schema."""
