"""Counters, gauges and latency histograms in Prometheus text format."""

from bisect import bisect_left
from collections import Counter

from attrs import define
from attrs import Factory

# Upper bounds of the buckets: from a hop within a failure domain to the
# longest deadline of requests.
BUCKETS_MS = (5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000)
PREFIX = 'liftmount'


@define
class Histogram:
    """Counts of observations by bucket; the last one is unbounded."""

    counts: list[int] = Factory(lambda: [0] * (len(BUCKETS_MS) + 1))
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Add one observation."""
        self.counts[bisect_left(BUCKETS_MS, value)] += 1
        self.total += value


@define
class Metrics:
    """Counters and gauges by name, histograms by name and label."""

    totals: Counter = Factory(Counter)
    gauges: dict[str, float] = Factory(dict)
    histograms: dict[str, dict[str, Histogram]] = Factory(dict)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter named ``group`` or ``group.reason``."""
        self.totals[name] += amount

    def observe(self, name: str, value: float, label: str) -> None:
        """Add an observation to a histogram."""
        group = self.histograms.setdefault(name, {})
        if label not in group:
            group[label] = Histogram()
        group[label].observe(value)

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for name, value in sorted(self.totals.items()):
            group, _dot, reason = name.partition('.')
            label = f'{{reason="{reason}"}}' if reason else ''
            lines.append(f'{PREFIX}_{group}_total{label} {value}')
        for name, value in sorted(self.gauges.items()):
            lines.append(f'{PREFIX}_{name} {value:g}')
        for name, group in sorted(self.histograms.items()):
            for label, histogram in sorted(group.items()):
                lines += _histogram_lines(name, label, histogram)
        return '\n'.join(lines) + '\n'


def escape_label(text: str) -> str:
    """Escape a text as a label value; names in the store are arbitrary."""
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


def _histogram_lines(name, label, histogram):
    label = escape_label(label)
    metric = f'{PREFIX}_{name}'
    lines = []
    cumulative = 0
    bounds = [*map(str, BUCKETS_MS), '+Inf']
    for bound, count in zip(bounds, histogram.counts, strict=True):
        cumulative += count
        labels = f'route="{label}",le="{bound}"'
        lines.append(f'{metric}_bucket{{{labels}}} {cumulative}')
    lines.append(f'{metric}_sum{{route="{label}"}} {histogram.total:g}')
    lines.append(f'{metric}_count{{route="{label}"}} {cumulative}')
    return lines
