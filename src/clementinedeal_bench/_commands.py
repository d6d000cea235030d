"""Subcommands of the command line, each with its own flags."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

from absl import app, flags

from clementinedeal import ClementinedealError

USAGE_EXIT_STATUS = 2


@dataclass(frozen=True, slots=True)
class Command:
    """One subcommand.

    :param name: name of the subcommand.
    :param summary: one line for the help.
    :param define_flags: adds the subcommand's flags to a set of flags.
    :param run: called with the flag values and the positional arguments.
    """

    name: str
    summary: str
    define_flags: Callable[[flags.FlagValues], None]
    run: Callable[[flags.FlagValues, list[str]], None]


def run_commands(program: str, commands: tuple[Command, ...]) -> None:
    """Run the subcommand that the process's arguments name, then exit.

    :param program: name of the program, for usage and error lines.
    :param commands: the subcommands.
    """
    app.run(
        lambda argv: _dispatch(program, commands, argv[1:]),
        flags_parser=_skip_global_flags,
    )


def _skip_global_flags(argv: list[str]) -> list[str]:
    """Leave all arguments to the command, which has flags of its own."""
    flags.FLAGS(argv[:1])
    return argv


def _dispatch(
    program: str,
    commands: tuple[Command, ...],
    argv: list[str],
) -> None:
    commands_by_name = {command.name: command for command in commands}
    if argv and argv[0] in commands_by_name:
        _run_command(program, commands_by_name[argv[0]], argv)
        return
    is_help_requested = bool(argv) and argv[0] in {'--help', '-h', 'help'}
    lines = [f'usage: {program} COMMAND [flags]', '']
    lines += [
        f'  {listed_command.name:<10} {listed_command.summary}'
        for listed_command in commands
    ]
    lines.append(f'\nflags of a command: {program} COMMAND --help')
    if not is_help_requested:
        _exit_with_error('\n'.join(lines), USAGE_EXIT_STATUS)
    _print('\n'.join(lines))


def _run_command(program: str, command: Command, argv: list[str]) -> None:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    command.define_flags(values)
    flags.DEFINE_bool(
        'help', False, 'show the flags', short_name='h', flag_values=values
    )
    try:
        positional = values(argv)[1:]
    except flags.Error as exc:
        _exit_with_error(f'{program} {command.name}: {exc}', USAGE_EXIT_STATUS)
    if values.help:
        _print(f'{program} {command.name}: {command.summary}')
        _print(values.get_help())
        return
    try:
        command.run(values, positional)
    except* ClementinedealError as group:
        _exit_with_error(f'{program} {command.name}: {_first_error(group)}', 1)
    except* KeyboardInterrupt:
        sys.exit(1)


def _first_error(group: BaseExceptionGroup[ClementinedealError]) -> str:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return str(error)


def _exit_with_error(text: str, status: int) -> NoReturn:
    sys.stderr.write(f'{text}\n')
    sys.exit(status)


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
