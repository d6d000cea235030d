"""The commands of the command line; each returns the exit status."""

import functools
import logging
import pathlib
import sys
from typing import TypeVar
from urllib.parse import urlencode

import msgspec
import trio
from absl import flags
from result import Err, Result

from clementinedeal._daemon import Daemon
from clementinedeal._declaration import check_file
from clementinedeal._errors import ClementinedealError, SettingsError
from clementinedeal._events import Event
from clementinedeal._model import Config
from clementinedeal._operator import DaemonStatus
from clementinedeal._operator_client import (
    OperatorAnswer,
    fetch,
    fetch_all,
)
from clementinedeal._publication import pack
from clementinedeal._settings import load_settings
from clementinedeal._timeline import (
    TimelineFilter,
    merge_events,
    read_events,
    read_log,
    render_text,
)
from clementinedeal._timeline_page import render_page
from clementinedeal.mesh._explanation import (
    EXPLAIN_PATH,
    Explanation,
    render_explanation,
)

EXPLAIN_ARGUMENTS = 2
FoundT = TypeVar('FoundT')

_LOG_FORMAT = 'time=%(asctime)s level=%(levelname)s %(message)s'


class UsageError(ClementinedealError):
    """An argument or flag is missing, or names a file that can't be read."""


def daemon(args: list[str]) -> int:
    """Run a daemon until SIGTERM.

    :param args: empty; the settings file is a flag.
    """
    reload = functools.partial(load_settings, _require_flag('settings'))
    settings = _unwrap(reload())
    logging.basicConfig(
        stream=sys.stderr,
        level=flags.FLAGS.log_level.upper(),
        format=_LOG_FORMAT,
        force=True,
    )
    trio.run(Daemon(settings, reload).run)
    return 0


def check(args: list[str]) -> int:
    """Check a declaration and print a summary of what it would publish.

    :param args: the declaration file.
    """
    cfg = _load_declaration(args)
    publication = pack(cfg).unwrap()
    sizes = [len(blob) for _, blob in publication.values()]
    sys.stdout.write(
        f'ok version={cfg.version} preset={cfg.preset.value} '
        f'services={len(cfg.services)} targets={len(cfg.targets)} '
        f'instances={len(cfg.instances)} accounts={len(cfg.accounts)} '
        f'values={len(sizes)} largest_bytes={max(sizes)}\n',
    )
    return 0


def pack_values(args: list[str]) -> int:
    """Check a declaration and write the values to publish, the root last.

    :param args: the declaration file; the folder is a flag.
    """
    publication = pack(_load_declaration(args)).unwrap()
    folder = pathlib.Path(_require_flag('out'))
    folder.mkdir(parents=True, exist_ok=True)
    for name, blob in publication.values():
        (folder / name).write_bytes(blob)
        sys.stdout.write(f'{name} {len(blob)}\n')
    return 0


def status(args: list[str]) -> int:
    """Print a line for each instance; exit 1 unless all of them serve.

    :param args: empty; the declaration is a flag.
    """
    answers = _fetch_from_instances('/status')
    lines = [_status_line(answer) for answer in answers]
    sys.stdout.write(''.join(f'{line}\n' for line in lines))
    return 0 if all(' serving=True ' in line for line in lines) else 1


def timeline(args: list[str]) -> int:
    """Print or write the events of all instances in causal order.

    Exit 1 if an instance does not answer.

    :param args: files of log lines; if there are none, the instances of the
        declaration are queried. Declaration and filters are flags.
    """
    if args:
        logs = [read_log(_read_lines(arg)) for arg in args]
        _write_timeline(merge_events(logs, _timeline_filter()))
        return 0
    answers = _fetch_from_instances('/events')
    error_lines = [
        f'instance={answer.instance.name} error="{answer.error}"\n'
        for answer in answers
        if answer.body is None
    ]
    sys.stderr.write(''.join(error_lines))
    logs = [read_events(answer.body or b'') for answer in answers]
    _write_timeline(merge_events(logs, _timeline_filter()))
    return 1 if error_lines else 0


def explain(args: list[str]) -> int:
    """Print where a request would go now, and why; exit 1 if it is refused.

    :param args: host and path of the request. The daemon that is asked and the
        name of the client account are flags.
    """
    if len(args) != EXPLAIN_ARGUMENTS:
        raise UsageError('explain needs the arguments HOST and PATH')
    host, path = args
    query = urlencode(
        {'host': host, 'path': path, 'account': flags.FLAGS.account}
    )
    body = trio.run(fetch, _require_flag('operator'), f'{EXPLAIN_PATH}?{query}')
    explanation = msgspec.json.decode(body, type=Explanation)
    sys.stdout.write(render_explanation(explanation))
    return 1 if explanation.refusal else 0


def _read_lines(path: str) -> str:
    try:
        return pathlib.Path(path).read_text('utf-8', errors='replace')
    except OSError as exc:
        raise UsageError(f'{path}: {exc.strerror}') from exc


def _timeline_filter() -> TimelineFilter:
    chosen = flags.FLAGS
    return TimelineFilter(
        request=chosen.request,
        target=chosen.target,
        account=chosen.account,
        event=chosen.event,
    )


def _write_timeline(events: tuple[Event, ...]) -> None:
    text = render_page(events) if flags.FLAGS.html else render_text(events)
    if flags.FLAGS.out is None:
        sys.stdout.write(text)
    else:
        pathlib.Path(flags.FLAGS.out).write_text(text, encoding='utf-8')


def _status_line(answer: OperatorAnswer) -> str:
    name = answer.instance.name
    if answer.body is None:
        return f'instance={name} error="{answer.error}"'
    reported = msgspec.json.decode(answer.body, type=DaemonStatus)
    targets = ','.join(
        f'{target.name}:{target.state}:{target.load:.2f}'
        for target in reported.targets
    )
    return (
        f'instance={name} zone={reported.zone} serving={reported.serving} '
        f'version={reported.config_version} preset={reported.preset} '
        f'fresh={reported.fresh} alive={reported.alive_instances} '
        f'rejected="{reported.rejected}" targets={targets}'
    )


def _fetch_from_instances(path: str) -> tuple[OperatorAnswer, ...]:
    cfg = _unwrap(check_file(_require_flag('declaration')))
    return trio.run(
        functools.partial(fetch_all, cfg.instances.values(), path),
    )


def _load_declaration(args: list[str]) -> Config:
    if not args:
        raise UsageError('the argument FILE (a declaration) is missing')
    return _unwrap(check_file(args[0]))


def _unwrap(result: Result[FoundT, SettingsError]) -> FoundT:
    if isinstance(result, Err):
        raise result.err_value
    return result.ok_value


def _require_flag(flag: str) -> str:
    text: str | None = flags.FLAGS[flag].value
    if not text:
        raise UsageError(f'the flag --{flag} is missing')
    return text
