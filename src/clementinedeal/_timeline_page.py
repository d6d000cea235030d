"""The time line as one HTML page that loads no other resource."""

from collections.abc import Sequence
from html import escape
from string import Template

from clementinedeal._events import Event
from clementinedeal._timeline import wall_time

LANE_HEIGHT_PX = 22
STEP_PX = 12  # between successive events
LABEL_PX = 160  # width of the instance names
DOT_RADIUS_PX = 4

_PAGE = """<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>clementinedeal time line</title>
<style>
body { font: 14px sans-serif; margin: 1em; }
#lanes { overflow-x: auto; border: 1px solid #ccc; }
table { border-collapse: collapse; margin-top: 1em; }
td, th { padding: 2px 8px; text-align: left; border-top: 1px solid #eee; }
td { font-family: monospace; }
line { stroke: #ddd; }
circle { fill: #36c; }
.hidden { display: none; }
</style>
<h1>Time line</h1>
<p><label>Filter <input id="filter" size="40"></label>
<span id="count">$count</span> events; each word must occur.</p>
<div id="lanes"><svg width="$width" height="$height">
$lanes
</svg></div>
<table>
<thead><tr><th>time (UTC)</th><th>instance</th><th>incarnation</th>
<th>event</th><th>fields</th></tr></thead>
<tbody>
$rows
</tbody>
</table>
<script>
const marks = [...document.querySelectorAll('[data-text]')];
document.getElementById('filter').addEventListener('input', (change) => {
  const words = change.target.value.toLowerCase().split(' ');
  let count = 0;
  for (const mark of marks) {
    const shown = words.every((word) => mark.dataset.text.includes(word));
    mark.classList.toggle('hidden', !shown);
    if (shown && mark.tagName === 'TR') count += 1;
  }
  document.getElementById('count').textContent = count;
});
</script>
</html>
"""


def render_page(events: Sequence[Event]) -> str:
    """Return a page with a lane for each instance and a table of the events.

    :param events: in causal order; the lanes show them in this order at equal
        distances, not to a scale of time.
    """
    names = sorted({event.instance for event in events})
    lane_of = {name: lane for lane, name in enumerate(names)}
    lanes = [_lane(name, lane, len(events)) for name, lane in lane_of.items()]
    dots = [
        _dot(event, position, lane_of[event.instance])
        for position, event in enumerate(events)
    ]
    return Template(_PAGE).substitute(
        count=len(events),
        width=LABEL_PX + STEP_PX * (len(events) + 1),
        height=LANE_HEIGHT_PX * max(len(names), 1),
        lanes='\n'.join((*lanes, *dots)),
        rows='\n'.join(_row(event) for event in events),
    )


def _lane(name: str, lane: int, length: int) -> str:
    middle = _middle(lane)
    end = LABEL_PX + STEP_PX * (length + 1)
    return (
        f'<line x1="{LABEL_PX}" x2="{end}" y1="{middle}" y2="{middle}"/>'
        f'<text x="4" y="{middle + DOT_RADIUS_PX}">{escape(name)}</text>'
    )


def _dot(event: Event, position: int, lane: int) -> str:
    across = LABEL_PX + STEP_PX * (position + 1)
    return (
        f'<circle cx="{across}" cy="{_middle(lane)}" r="{DOT_RADIUS_PX}" '
        f'data-text="{_searchable(event)}">'
        f'<title>{escape(event.line())}</title></circle>'
    )


def _row(event: Event) -> str:
    fields = ' '.join(f'{key}={text}' for key, text in event.fields)
    cells = (
        wall_time(event.hlc),
        event.instance,
        event.incarnation,
        event.name,
        fields,
    )
    row = ''.join(f'<td>{escape(cell)}</td>' for cell in cells)
    return f'<tr data-text="{_searchable(event)}">{row}</tr>'


def _searchable(event: Event) -> str:
    return escape(event.line().lower())


def _middle(lane: int) -> int:
    return LANE_HEIGHT_PX * lane + LANE_HEIGHT_PX // 2
