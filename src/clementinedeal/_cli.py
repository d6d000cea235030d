"""The command line ``clementinedeal``: one command per run, flags by absl."""

import sys
from collections.abc import Callable, Sequence

from absl import app, flags

from clementinedeal._commands import (
    check,
    daemon,
    explain,
    pack_values,
    status,
    timeline,
)
from clementinedeal._errors import ClementinedealError

_FLAGS = flags.FLAGS
_USAGE_EXIT = 2
_FAILURE_EXIT = 1

flags.DEFINE_string('settings', None, 'Settings file of one daemon (YAML).')
flags.DEFINE_string(
    'declaration',
    None,
    'Declaration (YAML) that names the instances to ask.',
)
flags.DEFINE_string('out', None, 'File or folder to write.')
flags.DEFINE_string('request', '', 'Only events of this request id.')
flags.DEFINE_string('target', '', 'Only events of this target.')
flags.DEFINE_string(
    'account', '', 'Name of a client account; of timeline, only its events.'
)
flags.DEFINE_string(
    'operator', None, 'ip:port at which a daemon serves operators.'
)
flags.DEFINE_string('event', '', 'Only events of this name.')
flags.DEFINE_bool('html', False, 'Write the time line as one HTML page.')
flags.DEFINE_enum(
    'log_level',
    'info',
    ['debug', 'info', 'warning', 'error'],
    'Least severe log lines written to standard error.',
)

_USAGE = """Usage: clementinedeal COMMAND [ARGUMENT] [--flag=value ...]

Commands:
  daemon --settings=FILE     run the daemon beside an instance until SIGTERM
  check FILE                 check a declaration; exit 1 with file, path, reason
  pack FILE --out=FOLDER     check and write the values to publish
  status --declaration=FILE  one line for each instance
  timeline --declaration=FILE [--request=ID] [--target=NAME] [--account=NAME]
           [--event=NAME] [--html --out=FILE]
                             events of all instances in causal order
  explain HOST PATH --operator=IP:PORT [--account=NAME]
                             where a request would go now from that daemon, and
                             why; exit 1 if it would be refused. Nothing is sent
  timeline LOG... [the same filters]
                             the same from files of log lines

Flags: clementinedeal --helpfull
"""

Command = Callable[[list[str]], int]

_COMMANDS: dict[str, Command] = {
    'daemon': daemon,
    'explain': explain,
    'check': check,
    'pack': pack_values,
    'status': status,
    'timeline': timeline,
}


def main(argv: Sequence[str]) -> int:
    """Run one command and return the exit status.

    :param argv: program name, command and its arguments.
    """
    command = _COMMANDS.get(argv[1]) if len(argv) > 1 else None
    if command is None:
        sys.stderr.write(_USAGE)
        return _USAGE_EXIT
    try:
        return command(list(argv[2:]))
    except ClementinedealError as exc:
        sys.stderr.write(f'clementinedeal: {exc}\n')
        return _FAILURE_EXIT


def run() -> None:
    """Entry point of the program ``clementinedeal``."""
    if {'--help', '-h'} & set(sys.argv[1:]):
        sys.stdout.write(_USAGE)
        return
    app.run(main)
