"""The error that decoders of messages between processes raise."""


class MalformedMessageError(Exception):
    """The bytes are not a valid message of the schema."""
