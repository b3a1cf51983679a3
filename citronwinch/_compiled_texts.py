"""Byte code of texts that libraries compile while they are imported.

attrs, dataclasses and named tuples generate the methods of each class as a text. The
start image has the byte code of these texts; any other text is compiled as usual.
"""

import marshal
from types import CodeType

TextKey = tuple[str, str, str]
"""What determines byte code: the mode of `compile`, the file's name and the text."""


class CompiledTexts:
    """Compiles texts, or returns the byte code that is known for them.

    >>> CompiledTexts({}).evaluate("a + 1", {"a": 2})
    3
    """

    def __init__(self, known: dict[TextKey, bytes]) -> None:
        self.known = known

    def compile(self, text: str, file: str, mode: str) -> CodeType:
        """Return the byte code of a text, like the built-in function."""
        known = self.known.get((mode, file, text))
        if known is None:
            return self._compile_unknown((mode, file, text))
        code: CodeType = marshal.loads(known)
        return code

    def evaluate(
        self,
        text: str,
        global_values: dict[str, object],
        local_values: dict[str, object] | None = None,
    ) -> object:
        """Evaluate an expression, like the built-in function `eval`."""
        return eval(self.compile(text, "<string>", "eval"), global_values, local_values)

    def execute(
        self,
        text: str,
        global_values: dict[str, object],
        local_values: dict[str, object] | None = None,
    ) -> None:
        """Execute statements, like the built-in function `exec`."""
        exec(self.compile(text, "<string>", "exec"), global_values, local_values)

    def _compile_unknown(self, key: TextKey) -> CodeType:
        mode, file, text = key
        code: CodeType = compile(text, file, mode, dont_inherit=True)
        return code


class RecordedTexts(CompiledTexts):
    """Compiles texts, and records their byte code for an image."""

    def _compile_unknown(self, key: TextKey) -> CodeType:
        code = super()._compile_unknown(key)
        self.known[key] = marshal.dumps(code)
        return code


def use_compiled_texts(texts: CompiledTexts) -> None:
    """Have the libraries that generate methods compile their texts here.

    A function in a module's namespace is found before the built-in one.
    """
    import collections
    import dataclasses

    from attr import _make

    vars(_make)["compile"] = texts.compile
    vars(collections)["eval"] = texts.evaluate
    vars(dataclasses)["exec"] = texts.execute
