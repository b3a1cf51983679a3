"""The command-line tool `citronwinchctl` for operators."""

from citronwinch.tool._main import build_parser, main

__all__ = ["build_parser", "main"]
