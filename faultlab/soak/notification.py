"""The time from which a change counts as known to a gateway, by the platform's rules; pure.

Times are in seconds of one clock. A change is known once it was written to the gateway, or from a moment at
which the rules say so "whether or not it arrived":

| case | counts as known | rule |
| --- | --- | --- |
| lists are pushed | once discovery has the change and can be reached and the process has started | STANDING |
| lists are asked for | 6 s after that | PROTOCOL, STANDING |
| a watch has become silent | 6 s after the silence began, or 2 s after the watch's hold if later | STANDING |
| SIGHUP moved discovery | 4 s after the signal, or after an outage of the new address at that time | TERMS |
"""

from __future__ import annotations

from faultlab.soak.records import DiscoveryAddress, HostChange, Records

KNOWN_WITHIN_S = 6.0
KNOWN_AFTER_WAIT_S = 2.0
KNOWN_AFTER_SIGHUP_S = 4.0
NEVER_S = float("inf")


class NotificationClock:
    """Applies the rules to the records of one soak; lists are pushed to gateways (`pushed`) or asked for."""

    def __init__(self, records: Records, pushed: bool) -> None:
        self.records, self.pushed = records, pushed

    def known_s(self, change: HostChange, gateway: int, run_number: int) -> float:
        """When a change counts as known to one process of a gateway; infinite if never."""
        began_s = self.records.runs[gateway, run_number].started_s
        since_s = max(change.since_s, began_s)
        found = [change.written_s.get((gateway, run_number), NEVER_S)]
        addresses = self.records.addresses.get(gateway, [])
        for index, address in enumerate(addresses):
            is_last = index + 1 == len(addresses)
            until_s = NEVER_S if is_last else addresses[index + 1].since_s
            reachable_s = address.reachable_s(max(since_s, address.since_s))
            if reachable_s < until_s:
                found.append(self._known_by_address_s(address, since_s, began_s, run_number))
        return min(found)

    def _known_by_address_s(
        self, address: DiscoveryAddress, since_s: float, began_s: float, run_number: int
    ) -> float:
        """The same, considering only one discovery address of the gateway."""
        from_s = max(since_s, address.since_s)
        reachable_s = address.reachable_s(from_s)
        moved_s = address.since_s + KNOWN_AFTER_SIGHUP_S
        has_moved = address.since_s > began_s and from_s < moved_s
        if self.pushed:
            return max(reachable_s, moved_s) if has_moved else reachable_s
        found = [reachable_s + KNOWN_WITHIN_S, self._known_by_silent_watch_s(address, from_s, run_number)]
        if has_moved:
            found.append(moved_s if reachable_s == from_s else reachable_s + KNOWN_AFTER_SIGHUP_S)
        return min(found)

    def _known_by_silent_watch_s(self, address: DiscoveryAddress, from_s: float, run_number: int) -> float:
        """The same, considering only watches that were held when the address became silent."""
        found = [NEVER_S]
        for outage in address.outages:
            if not (outage.is_silent and outage.since_s <= from_s < outage.until_s):
                continue
            for watch in address.watches:
                if watch.run_number == run_number and watch.since_s <= outage.since_s < watch.until_s:
                    after_wait_s = watch.since_s + watch.hold_s + KNOWN_AFTER_WAIT_S
                    found.append(max(from_s, outage.since_s + KNOWN_WITHIN_S, after_wait_s))
        return min(found)
