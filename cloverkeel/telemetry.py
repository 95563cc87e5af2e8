"""Metrics for operators, in the Prometheus text format."""

from __future__ import annotations

import math
import time
from collections.abc import Mapping
from enum import Enum

from cloverkeel.http1 import log

NOTE_INTERVAL_S = 0.1  # between two log lines of incidents
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class Result(Enum):
    """How a request ended for its client."""

    PASSED = "passed"
    DROPPED = "dropped"  # shed
    BAD_GATEWAY = "bad_gateway"  # no attempt succeeded, or a streamed response was cut off


class Incident(Enum):
    """Why a request was refused, ended or not sent, where its class's outcome does not tell."""

    NO_MEMORY = "no_memory"  # refused: what it would hold exceeds the memory budget
    TOO_MANY_FIELDS = "too_many_fields"
    CLIENT_TOO_SLOW = "client_too_slow"  # answered 408
    CLOSE_MAY_BE_HIDDEN = "close_may_be_hidden"  # no attempt: its client may have left behind unread input
    HOST_READS_SLOWLY = "host_reads_slowly"  # the client's time is over before the host has read the body
    ID_MAY_HAVE_RUN = "id_may_have_run"  # rejected: the id is pending, or came again
    NO_DESCRIPTOR = "no_descriptor"  # no attempt: no descriptor is left for a connection to a host
    LOCAL_SHORTAGE = "local_shortage"  # no attempt: a connect failed for want of this machine's resources
    BODY_IS_LATE = "body_is_late"  # a response is passed on though only its head came in time
    RESPONSE_TOO_SLOW = "response_too_slow"  # a response of unknown length was cut off


class Telemetry:
    """Counters since the start of the process. Each is incremented in one place only."""

    def __init__(self) -> None:
        self.handled: dict[bytes, dict[Result, int]] = {}  # by class; dropped classes stay
        self.incidents: dict[Incident, int] = dict.fromkeys(Incident, 0)
        self._noted_s = -math.inf  # monotonic time of the last log line of an incident
        self._unlogged = 0  # incidents since then
        self.upstream_tries = 0
        self.loads = 0
        self.load_errors = 0

    def add_class(self, klass: bytes) -> None:
        """Show counters for this class, from zero unless it has some already."""
        self.handled.setdefault(klass, dict.fromkeys(Result, 0))

    def count(self, klass: bytes, result: Result) -> None:
        """Count a request of this class that has ended."""
        self.handled[klass][result] += 1

    def note(self, incident: Incident, request_id: str = "") -> None:
        """Count an incident, and log it unless another one was logged a moment ago."""
        self.incidents[incident] += 1
        self._unlogged += 1
        now_s = time.monotonic()
        if now_s - self._noted_s >= NOTE_INTERVAL_S:
            others = f" and {self._unlogged - 1} others" if self._unlogged > 1 else ""
            log(f"event=request.{incident.value} id={request_id!r}{others}")
            self._noted_s, self._unlogged = now_s, 0

    def render(self, gauges: Mapping[str, int], counters: Mapping[str, int] | None = None) -> bytes:
        """All metrics as text, with the given gauges and counters of other parts."""
        lines = ["# TYPE lb_handled counter"]
        for klass, counts in self.handled.items():
            category = _escaped(klass)
            lines += [
                f'lb_handled{{category="{category}",outcome="{result.value}"}} {number}'
                for result, number in counts.items()
            ]
        for name in ("upstream_tries", "loads", "load_errors"):
            lines += [f"# TYPE lb_{name} counter", f"lb_{name} {getattr(self, name)}"]
        lines.append("# TYPE lb_incidents_total counter")
        lines += [f'lb_incidents_total{{why="{why.value}"}} {n}' for why, n in self.incidents.items()]
        for name, number in (counters or {}).items():
            lines += [f"# TYPE lb_{name} counter", f"lb_{name} {number}"]
        for name, number in gauges.items():
            lines += [f"# TYPE lb_{name} gauge", f"lb_{name} {number}"]
        return ("\n".join(lines) + "\n").encode()


def _escaped(label: bytes) -> str:
    text = label.decode("utf-8", "replace")
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
