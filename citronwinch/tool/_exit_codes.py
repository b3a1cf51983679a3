"""The exit codes of the tool, the same for all commands."""

EXIT_OK = 0
"""The command succeeded and found no problem."""

EXIT_FINDING = 1
"""The command succeeded and found a problem or a difference."""

EXIT_USAGE = 2
"""The command could not run: invalid arguments or an unreadable file."""

EXIT_NO_DATA = 3
"""The result is incomplete: a process did not answer or data is missing."""

EXIT_INTERRUPTED = 130
"""The operator interrupted the command; 128 plus the number of SIGINT."""

EXIT_CODES_TEXT = """\
exit codes:
  0    everything is as it should be
  1    something is wrong, or there are differences
  2    bad arguments or an unreadable file
  3    cannot tell: a process gave no answer or data is lacking
"""
"""The description of the exit codes in all help texts."""
