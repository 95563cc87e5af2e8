"""Checks the invariants of a balancer against a reference model.

`attach_checks` wraps the event handler of a `Balancer` with an `InvariantChecker`. The checker's model
follows, from events and actions, which answers are due and which attempts are in flight. After each event,
the balancer's actions and state are compared with it. docs/design.md, "Invariants", lists the checks.
"""

from __future__ import annotations

from collections.abc import Callable

from caperdrift.checks.actions import ActionChecks
from caperdrift.checks.model import InvariantBroken
from caperdrift.checks.state import StateChecks
from caperdrift.interface import Action, Event, Fail, Refuse, RequestArrived, Send
from caperdrift.policy.balancer import Balancer


class InvariantChecker(ActionChecks, StateChecks):
    """Passes events on to `balancer` and checks its actions and state.

    A broken invariant raises InvariantBroken. If `on_broken` is given, it is called with the message instead,
    once, and checking stops.
    """

    def __init__(
        self,
        balancer: Balancer,
        seed: int,
        on_broken: Callable[[str], None] | None = None,
        event_number: int = 0,
    ) -> None:
        super().__init__(balancer, seed, on_broken, event_number)
        self.handle_unchecked = balancer.handle

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """As Balancer.handle, with checks; raises InvariantBroken unless `on_broken` is given."""
        self.event_number += 1
        if not self.enabled:
            return self.handle_unchecked(now_us, event)
        now_us = max(now_us, self.balancer.now_us)
        settings = self.balancer.settings
        self.update_cold_buckets(now_us)
        try:
            actions = self.handle_unchecked(now_us, event)
        except Exception:
            self.enabled = False  # the balancer's state is unknown: no comparison is possible
            raise
        try:
            is_new = isinstance(event, RequestArrived) and event.request not in self.requests
            name = self.record_event(now_us, event, settings.max_attempts)
            for action in actions:
                if isinstance(action, Send):
                    self.check_send(now_us, action)
                elif isinstance(action, Refuse | Fail):
                    self.check_final(action)
            if is_new and isinstance(event, RequestArrived):
                self.check_arrival(event)
            self.check_state(event, actions, name)
        except Exception as error:
            # A fault in the checks must not cost a gateway the actions.
            self.enabled = False
            if self.on_broken is None:
                raise
            self.on_broken(
                str(error) if isinstance(error, InvariantBroken) else self.violation_text(repr(error))
            )
        return actions


def attach_checks(
    balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, event_number: int = 0
) -> None:
    """Check every event that `balancer` handles from now on; it must not have handled any before.

    `seed` is reported with a violation; `event_number` is the number of the event before the first. For
    `on_broken` see InvariantChecker.
    """
    balancer.handle = InvariantChecker(  # type: ignore[method-assign]
        balancer, seed, on_broken, event_number
    ).handle
