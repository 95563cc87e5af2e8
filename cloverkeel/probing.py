"""Health probes that the decision module sends to hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from caperdrift.interface import Outcome, Probed, Reports

from cloverkeel.hosts.attempt import Attempt, parse_load_report
from cloverkeel.http1 import Reply

if TYPE_CHECKING:
    from cloverkeel.gateway import Gateway

PROBE_TIMEOUT_US = 250_000


def probe(gateway: Gateway, id_: int) -> None:
    """Send a probe to a host; its response or failure is posted as an event."""
    host = gateway.pools.hosts.get(id_)
    if host is None:
        return

    def on_end(attempt: Attempt, outcome: Outcome, reply: Reply | None) -> None:
        gateway.post(lambda: Probed(id_, outcome, attempt.latency_us, parse_load_report(reply)))

    path = b"/health/live" if gateway.settings.reports is Reports.NONE else b"/stats"
    address = f"{host.address[0]}:{host.address[1]}".encode()
    payload = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, address)
    gateway.pools.send(Attempt(host, lambda: payload, on_end, is_probe=True), PROBE_TIMEOUT_US)
