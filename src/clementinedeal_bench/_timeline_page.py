"""Writes the time line of a running fleet as an HTML page."""

import sys
from pathlib import Path

import trio

PAGE_NAME = 'timeline.html'


async def write_timeline(declaration: Path, folder: Path) -> str:
    """Run ``clementinedeal timeline`` and return a line for the report.

    The line says where the page is, or why it was not written.

    :param declaration: path of the declaration of the running fleet.
    :param folder: folder of the page.
    """
    page = folder / PAGE_NAME
    page.unlink(missing_ok=True)
    args = [
        *(sys.executable, '-m', 'clementinedeal', 'timeline'),
        f'--declaration={declaration}',
        '--html',
        f'--out={page}',
    ]
    process = await trio.run_process(
        args,
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    if page.exists():
        return f'time line: {page}'
    lines = process.stderr.decode().splitlines() or ['no page']
    return f'time line: not written, status {process.returncode}: {lines[-1]}'
