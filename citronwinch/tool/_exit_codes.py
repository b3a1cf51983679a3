"""The exit codes of the tool, the same for all commands."""

EXIT_OK = 0
"""Everything is as it should be."""

EXIT_FINDING = 1
"""The command ran and found something wrong, or a difference."""

EXIT_USAGE = 2
"""The command could not run: bad arguments or an unreadable file."""

EXIT_NO_DATA = 3
"""The command could not tell: a process gave no answer or data is lacking."""

EXIT_INTERRUPTED = 130
"""The operator interrupted the command."""

EXIT_CODES_TEXT = """\
exit codes:
  0    everything is as it should be
  1    something is wrong, or there are differences
  2    bad arguments or an unreadable file
  3    cannot tell: a process gave no answer or data is lacking
"""
"""The exit codes as the help texts show them."""
