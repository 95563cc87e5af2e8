"""Gets the list of hosts from the list service: single calls, and a watch by long polling."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Protocol

from caperdrift.interface import ListKind

from cloverkeel import discovery_timing
from cloverkeel.config import Address, Names
from cloverkeel.host_entries import HostEntry, parse_list
from cloverkeel.http1 import Reply, log
from cloverkeel.discovery_connection import CallError, DiscoveryConnection

LIST_PATH = b"/registry/instances"
OnList = Callable[[ListKind, list[HostEntry]], None]  # gets each list, and ERROR for each failure


class ListOrdering(Protocol):
    """Decides which list is newer where lists come from other gateways too. It sets `Discovery.index` and
    passes lists on itself, in place of `Discovery.on_list`."""

    def known_list_loaded(self, raw: dict[str, Any], index: int | None, entries: list[HostEntry]) -> None:
        """The list known at the start was loaded; `index` is None if it is unusable."""

    def call_started(self) -> object:
        """A call is about to be sent; the result is passed to `call_answered`."""

    def call_answered(
        self, context: Any, raw: dict[str, Any], index: int, is_full: bool, entries: list[HostEntry]
    ) -> None:
        """The call was answered. Raises ValueError if the reply is not a usable list."""

    def watch_failed(self) -> None:
        """A fetch or a watch has failed and ended."""


class Discovery:
    """Calls the list service on request and passes lists and failures to `on_list`."""

    ordering: ListOrdering | None = None
    epoch: int | None = None  # of the list that `index` belongs to; set by `ordering`

    def __init__(
        self, address: Address, names: Names, on_list: OnList, pushed: bool, stop_sending_s: float
    ) -> None:
        self.names, self.on_list = names, on_list
        self.pushed = pushed  # a local agent has changes at once: watched from the start, unasked
        self.stop_sending_s = stop_sending_s  # how long a host may be used after a list shows it draining
        self.failures = 0  # failed calls in a row
        self.closed = False
        self.watch_wanted = False  # a watch was requested; it restarts at once when the address changes
        self.address_changed = False  # a reload changed the address, which has not answered yet
        self.has_list = False  # there has been a list, if only from another address
        self.watch_timer: asyncio.TimerHandle | None = None  # starts the next watch, if nothing else does
        self.index: int | None = None  # of the list held; None: request the full list
        self.consecutive_timeouts = 0  # timed-out calls in a row
        self.watching: asyncio.Task[None] | None = None
        self.fetching: asyncio.Task[None] | None = None
        # Waits up to LATE_REPLY_S for the reply to a timed-out call; the next watch then uses its connection.
        self.late_reply_task: asyncio.Task[None] | None = None
        self.spare_connection: DiscoveryConnection | None = None
        self.set_address(address)

    def set_address(self, address: Address) -> None:
        """Set the list service's address, and the Host header that goes with it."""
        self.address = address
        self.host = f"{address[0]}:{address[1]}".encode()

    def change_address(self, address: Address) -> None:
        """Continue at another address with a full list: its indexes are unrelated to those of the old one."""
        self.set_address(address)
        self.index, self.failures, self.address_changed = None, 0, True
        self._release_connections()
        if self.watch_wanted or self.pushed:
            self.watch(False)
            self.watch(True)
        else:
            self._schedule_watch()
        if self.fetching is not None:
            self.fetching.cancel()
            self.fetching = None
            self.fetch()

    def load_known_list(self, raw: dict[str, Any]) -> None:
        """Start with the list from the configuration or the snapshot, and begin to watch in time."""
        entries: list[HostEntry] = []
        try:
            self.index, _, entries = parse_list(raw, self.names)
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"the known list of hosts is unusable, starting without it: {error!r}")
        self.has_list = self.index is not None
        if self.ordering is not None:
            self.ordering.known_list_loaded(raw, self.index, entries)
        else:
            self.on_list(ListKind.DISK, entries)
        if self.pushed:
            self.watch(True)
        else:
            self._schedule_watch()

    def watch(self, on: bool, hold_first: bool = False) -> None:
        """Start or stop watching; a running watch is left alone. The first call doesn't wait for changes, so
        that a silent service is noticed at once; with `hold_first` it is a long poll like the later ones."""
        if self.closed:
            return
        self._cancel_watch_timer()
        self.watch_wanted = on
        if not on:
            self._release_connections()
            if self.watching is not None:
                self.watching.cancel()
                self.watching = None
        elif on and self.watching is None:
            self.watching = asyncio.get_running_loop().create_task(
                self._run_call(partial(self._watch, hold_first))
            )

    def fetch(self) -> None:
        """Request the full list once, unless such a call is under way."""
        if self.fetching is None:
            self.fetching = asyncio.get_running_loop().create_task(self._run_call(self._fetch))

    def close(self) -> None:
        """Stop all calls and close their connections."""
        self.closed = True
        self._cancel_watch_timer()
        self._release_connections()
        for task in (self.watching, self.fetching):
            if task is not None:
                task.cancel()

    async def _run_call(self, call: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run a fetch or a watch and report its failure; the decision module chooses when to call again."""
        try:
            await call()
        except Exception as error:  # any: after an unreported failure there would be no further call
            # Cleared first: the report below may start the next call.
            self._clear_task(asyncio.current_task())
            self.consecutive_timeouts = (
                self.consecutive_timeouts + 1 if isinstance(error, TimeoutError) else 0
            )
            log(f"discovery: call to the list service failed: {error or type(error).__name__}")
            if self.ordering is not None and not self.pushed:
                self.ordering.watch_failed()
                return
            self.on_list(ListKind.ERROR, [])
            if self.pushed or self.watch_wanted:
                self._schedule_watch()
                self.failures += 1
        finally:
            self._clear_task(asyncio.current_task())

    def _schedule_watch(self) -> None:
        """Schedule a watch in time to keep the bounds of discovery_timing.py, whatever the decision module's
        settings are. Members that share lists have schedules of their own."""
        self._cancel_watch_timer()
        if self.closed or (self.ordering is not None and not self.pushed):
            return
        delay_s = discovery_timing.retry_delay_s(
            self.pushed, self.stop_sending_s, self.failures, self.address_changed
        )
        self.watch_timer = asyncio.get_running_loop().call_later(delay_s, self.watch, True)

    def _cancel_watch_timer(self) -> None:
        if self.watch_timer is not None:
            self.watch_timer.cancel()
            self.watch_timer = None

    def _clear_task(self, task: asyncio.Task[Any] | None) -> None:
        if self.watching is task:
            self.watching = None
        if self.fetching is task:
            self.fetching = None

    @property
    def reply_timeout_s(self) -> float:
        """The time-out of a call, hold time excluded. It grows after time-outs as long as there is no list: a
        service that is slow for all must not leave a new gateway without one, which can't serve meanwhile."""
        timeout_s = discovery_timing.call_timeout_s(self.pushed, self.stop_sending_s)
        without_list = not self.has_list and self.index is None
        return (
            timeout_s * min(1 + self.consecutive_timeouts, discovery_timing.MAX_TIMEOUT_FACTOR)
            if without_list
            else timeout_s
        )

    async def _connect(self) -> DiscoveryConnection:
        _, connection = await asyncio.get_running_loop().create_connection(DiscoveryConnection, *self.address)
        return connection

    async def _send_request(self, connection: DiscoveryConnection, target: bytes) -> None:
        """Send a call and handle its reply. A time-out leaves it waiting, see `_keep_for_late_reply`."""
        connection.call_context = self.ordering.call_started() if self.ordering is not None else None
        connection.index = self.index
        answer = connection.send_request(b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (target, self.host))
        self._handle_reply(connection, await asyncio.shield(answer))

    def _handle_reply(self, connection: DiscoveryConnection, reply: Reply) -> None:
        """Pass on the list in a reply, unless it is outdated. Raises CallError or what parse_list raises."""
        if reply.status != 200:
            raise CallError(f"the list service answered with status {reply.status}")
        if not reply.keep_alive:
            connection.close()
        raw = json.loads(reply.body)
        index: int | None
        index, is_full, entries = parse_list(raw, self.names)
        self.failures = self.consecutive_timeouts = 0
        self.has_list, self.address_changed = True, False
        self._cancel_late_reply()  # an older call's reply must not be handled after a newer one's
        if self.ordering is not None:
            self.ordering.call_answered(connection.call_context, raw, index, is_full, entries)
            return
        if self.index is not None and self.index != connection.index:  # another call was answered in between
            if not (connection.index or 0) <= self.index <= index:
                return  # an older list, or a delta to a list that is not the one held
        elif not is_full and connection.index is not None and (self.index is None or index < self.index):
            index = None  # the service has restarted its indexes: only a full list shows all changes
        self.index = index
        self.on_list(ListKind.FULL if is_full else ListKind.DELTA, entries)

    def _handle_arrived_reply(self, connection: DiscoveryConnection | None) -> bool:
        """Handle the reply of a timed-out call that arrived just as it timed out; False if none did."""
        reply = connection.reply if connection is not None else None
        if connection is None or reply is None:
            return False
        self._handle_reply(connection, reply)
        return True

    async def _fetch(self) -> None:
        """Request the full list on a connection of its own."""
        connection: DiscoveryConnection | None = None
        try:
            async with asyncio.timeout(self.reply_timeout_s):
                connection = await self._connect()
                await self._send_request(connection, LIST_PATH)
        except TimeoutError:
            if self._handle_arrived_reply(connection):
                return
            self._keep_for_late_reply(connection)
            connection = None
            raise
        finally:
            if connection is not None:
                connection.close()

    async def _watch(self, hold_first: bool) -> None:
        """Long-poll until a call fails. A silent long poll is repeated on a new connection."""
        connection, self.spare_connection = self.spare_connection, None
        hold_s = (
            discovery_timing.hold_s()
            if (hold_first or connection is not None) and self.index is not None
            else 0.0
        )
        try:
            while True:
                if self.index is None:
                    hold_s = 0.0  # a full list needs no waiting
                try:
                    if connection is not None and connection.is_closing:
                        connection = None
                    async with asyncio.timeout(hold_s + self.reply_timeout_s):
                        if connection is None:
                            async with asyncio.timeout(self.reply_timeout_s):
                                connection = await self._connect()
                        target = LIST_PATH
                        if self.index is not None:
                            target += b"?from=%d&hold_ms=%d" % (self.index, hold_s * 1000)
                        await self._send_request(connection, target)
                    hold_s = discovery_timing.hold_s()
                except TimeoutError:
                    if self._handle_arrived_reply(connection):
                        hold_s = discovery_timing.hold_s()
                        continue
                    self._keep_for_late_reply(connection)
                    connection = None
                    if not hold_s:
                        raise  # the connection has not answered at all
                    log("discovery: the watch got no reply in time; reconnecting")
                    hold_s = 0.0
        finally:
            if connection is not None:
                connection.close()

    # If the service is slow for all, every reply takes longer than the time-out, and calls that are abandoned
    # then would never succeed. A lost call, however, has to be replaced in time. So one timed-out call is
    # kept beside the new one.

    def _keep_for_late_reply(self, connection: DiscoveryConnection | None) -> None:
        """Keep a timed-out call waiting for its reply, or close it if another one is kept already."""
        if connection is not None and (self.late_reply_task is not None or not connection.is_waiting):
            connection.close()
        elif connection is not None:
            self.late_reply_task = asyncio.get_running_loop().create_task(self._await_late_reply(connection))

    async def _await_late_reply(self, connection: DiscoveryConnection) -> None:
        """Handle the reply of a timed-out call, and continue the watch on its connection."""
        keeps_connection = False
        try:
            assert connection.answer is not None
            async with asyncio.timeout(discovery_timing.LATE_REPLY_S):
                reply = await connection.answer
            self.late_reply_task, previous = None, self.watching
            if self.watch_wanted or self.pushed:
                self.spare_connection, keeps_connection = connection, True
            self._handle_reply(connection, reply)
            if previous is not None and self.watching is previous:
                previous.cancel()  # the watch continues on the connection that got the reply
                self.watching = None
            if keeps_connection and (previous is not None or self.ordering is None):
                self.watch(True)
        except Exception as error:  # as in `_run_call`
            keeps_connection = False
            if self.spare_connection is connection:
                self.spare_connection = None
            log(f"discovery: no usable late reply to a timed-out call: {error or type(error).__name__}")
        finally:
            if self.late_reply_task is asyncio.current_task():
                self.late_reply_task = None
            if not keeps_connection:
                connection.close()

    def _cancel_late_reply(self) -> None:
        if self.late_reply_task is not None:
            self.late_reply_task.cancel()
            self.late_reply_task = None

    def _release_connections(self) -> None:
        self._cancel_late_reply()
        if self.spare_connection is not None:
            self.spare_connection.close()
            self.spare_connection = None
