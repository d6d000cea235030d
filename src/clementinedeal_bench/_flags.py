"""Sub-commands of the command line, each with its own flags."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

from absl import app, flags

from clementinedeal import ClementinedealError

USAGE_EXIT = 2


@dataclass(frozen=True, slots=True)
class Command:
    """One sub-command.

    ``define`` adds its flags, ``run`` is given their values and the
    positional arguments.
    """

    name: str
    summary: str
    define: Callable[[flags.FlagValues], None]
    run: Callable[[flags.FlagValues, list[str]], None]


def run_commands(program: str, commands: tuple[Command, ...]) -> None:
    """Run the sub-command named by the process's arguments, then exit.

    :param program: name of the program, for usage lines.
    :param commands: the sub-commands.
    """
    app.run(
        lambda argv: _dispatch(program, commands, argv[1:]),
        flags_parser=_keep_arguments,
    )


def _keep_arguments(argv: list[str]) -> list[str]:
    flags.FLAGS(argv[:1])
    return argv


def _dispatch(
    program: str,
    commands: tuple[Command, ...],
    argv: list[str],
) -> None:
    known = {command.name: command for command in commands}
    if argv and argv[0] in known:
        _run(program, known[argv[0]], argv)
        return
    asked = bool(argv) and argv[0] in {'--help', '-h', 'help'}
    lines = [f'usage: {program} COMMAND [flags]', '']
    lines += [f'  {each.name:<10} {each.summary}' for each in commands]
    lines.append(f'\nflags of a command: {program} COMMAND --help')
    if not asked:
        _fail('\n'.join(lines), USAGE_EXIT)
    _say('\n'.join(lines))


def _run(program: str, command: Command, argv: list[str]) -> None:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    command.define(values)
    flags.DEFINE_bool(
        'help', False, 'show the flags', short_name='h', flag_values=values
    )
    try:
        rest = values(argv)[1:]
    except flags.Error as exc:
        _fail(f'{program} {command.name}: {exc}', USAGE_EXIT)
    if values.help:
        _say(f'{program} {command.name}: {command.summary}')
        _say(values.get_help())
        return
    try:
        command.run(values, rest)
    except* ClementinedealError as group:
        _fail(f'{program} {command.name}: {_first(group)}', 1)
    except* KeyboardInterrupt:
        sys.exit(1)


def _first(group: BaseExceptionGroup[ClementinedealError]) -> str:
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return str(found)


def _fail(line: str, status: int) -> NoReturn:
    sys.stderr.write(f'{line}\n')
    sys.exit(status)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')
