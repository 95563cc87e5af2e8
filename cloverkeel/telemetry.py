"""The figures that operators read, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Result(Enum):
    """How a request ended for its client."""

    PASSED = "passed"
    DROPPED = "dropped"  # refused
    BAD_GATEWAY = "bad_gateway"  # failed


class Telemetry:
    """Counts since the process began. Each is raised at the one place where its thing happens."""

    def __init__(self) -> None:
        self.handled: dict[bytes, dict[Result, int]] = {}  # by class; a class that is dropped keeps its line
        self.upstream_tries = 0
        self.loads = 0
        self.load_errors = 0

    def add_class(self, klass: bytes) -> None:
        self.handled.setdefault(klass, dict.fromkeys(Result, 0))

    def count(self, klass: bytes, result: Result) -> None:
        self.handled[klass][result] += 1

    def render(self, gauges: Mapping[str, int], counters: Mapping[str, int] | None = None) -> bytes:
        lines = ["# TYPE lb_handled counter"]
        for klass, counts in self.handled.items():
            category = _escaped(klass)
            lines += [
                f'lb_handled{{category="{category}",outcome="{result.value}"}} {number}'
                for result, number in counts.items()
            ]
        for name in ("upstream_tries", "loads", "load_errors"):
            lines += [f"# TYPE lb_{name} counter", f"lb_{name} {getattr(self, name)}"]
        for name, number in (counters or {}).items():
            lines += [f"# TYPE lb_{name} counter", f"lb_{name} {number}"]
        for name, number in gauges.items():
            lines += [f"# TYPE lb_{name} gauge", f"lb_{name} {number}"]
        return ("\n".join(lines) + "\n").encode()


def _escaped(label: bytes) -> str:
    text = label.decode("utf-8", "replace")
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
