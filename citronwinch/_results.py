"""Results of calls that may fail, for processes that must start quickly.

Importing `expression` takes a tenth of the time until a process handles its first
packet. The values here have those methods of its results that balancers and agents
use.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from expression import Error, Ok, Result
else:
    from typing import Any, Generic, NamedTuple, TypeVar

    Value = TypeVar("Value")
    Problem = TypeVar("Problem")

    class Result(Generic[Value, Problem]):
        """The types of a value and an error, for annotations."""

    class Ok(NamedTuple):
        """A success."""

        ok: Any
        """The value."""

        def is_ok(self) -> bool:
            """Return True."""
            return True

        def is_error(self) -> bool:
            """Return False."""
            return False

    class Error(NamedTuple):
        """A failure."""

        error: Any
        """The error."""

        def is_ok(self) -> bool:
            """Return False."""
            return False

        def is_error(self) -> bool:
            """Return True."""
            return True


__all__ = ["Error", "Ok", "Result"]
