"""The command-line tool for operators."""

from citronwinch.tool._main import build_parser, main

__all__ = ["build_parser", "main"]
