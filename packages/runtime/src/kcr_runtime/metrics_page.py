"""Serve the counters and histograms of a process at `/metrics`.

The root supervisor of every role starts the task. The port is open only if
the setting `metrics` gives an address.
"""

import typing

from twisted.internet import defer
from twisted.web import resource

from kcr_runtime import http_server
from kcr_runtime import metrics
from kcr_runtime import task

PATH = b'/metrics'


def render(values: dict[str, typing.Any]) -> str:
    """Return values of `Metrics.read` in the text format of Prometheus."""
    lines = []
    for name, value in sorted(values.items()):
        base, _, rest = name.partition('{')
        base = base.replace('.', '_')
        pairs = rest.rstrip('}').split(',') if rest else []
        labels = [
            f'{k}="{v}"' for k, _, v in (p.partition('=') for p in pairs)
        ]
        if not isinstance(value, dict):
            lines.append(f'{base}{_braces(labels)} {value}')
            continue
        cumulative = 0
        bounds = [*map(str, value['bounds']), '+Inf']
        for bound, count in zip(bounds, value['buckets']):
            cumulative += count
            bucket = _braces([*labels, f'le="{bound}"'])
            lines.append(f'{base}_bucket{bucket} {cumulative}')
        lines.append(f'{base}_sum{_braces(labels)} {value["sum"]}')
        lines.append(f'{base}_count{_braces(labels)} {value["count"]}')
    return '\n'.join(lines) + '\n'


def _braces(labels: list[str]) -> str:
    return '{' + ','.join(labels) + '}' if labels else ''


class _Page(resource.Resource):
    isLeaf = True  # noqa: N815

    def __init__(self, values: metrics.Metrics) -> None:
        resource.Resource.__init__(self)
        self._values = values

    def render_GET(self, req: typing.Any) -> bytes:  # noqa: N802
        """Return the metrics; status 404 for any other path."""
        if req.path != PATH:
            req.setResponseCode(404)
            return b''
        req.setHeader(b'content-type', b'text/plain; version=0.0.4')
        return render(self._values.read()).encode()


class MetricsPage(task.Task):
    """Own the port for metrics, if an address is configured."""

    def __init__(self, ctx: task.Context, address: str) -> None:
        super().__init__(ctx, address)
        self._server: http_server.Server | None = None

    def started(self) -> None:
        """Bind the port if an address is configured."""
        if not self.ctx.cfg.metrics:
            return
        self._server = http_server.Server(
            self.ctx, 'metrics', _Page(self.ctx.metrics),
            http_server.PAGE_SHARE, http_server.PAGE_LIMITS,
        )  # fmt: skip
        self._server.listen(self.ctx.cfg.metrics)

    def stopped(self) -> defer.Deferred[None] | None:
        """Close the port."""
        return None if self._server is None else self._server.close()
