"""Invariants of the balancer, checked from outside: an account of its own, kept from events and actions.

`watch` puts a `Checked` before a `Balancer`. It follows what is owed and what is out, and compares that with
what the balancer does and holds after each event. docs/design.md, "Invariants", lists what it checks.
"""

from __future__ import annotations

from collections.abc import Callable

from caperdrift.interface import Action, Event, Fail, Refuse, RequestArrived, Send
from caperdrift.checks.model import InvariantBroken
from caperdrift.checks.state import StateChecks
from caperdrift.checks.actions import ActionChecks
from caperdrift.policy.balancer import Balancer


class InvariantChecker(ActionChecks, StateChecks):
    """Hands events on to `balancer` and checks what it does.

    A broken invariant raises InvariantBroken; where `on_broken` is given it is called with the message
    instead, once, and nothing is checked from then on.
    """

    def __init__(
        self, balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, number: int = 0
    ) -> None:
        super().__init__(balancer, seed, on_broken, number)
        self.handle_unchecked = balancer.handle

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """As Balancer.handle; raises InvariantBroken unless `on_broken` is given."""
        self.event_number += 1
        if not self.enabled:
            return self.handle_unchecked(now_us, event)
        now_us = max(now_us, self.balancer.now_us)
        settings = self.balancer.settings
        self.update_cold_buckets(now_us)
        try:
            actions = self.handle_unchecked(now_us, event)
        except Exception:
            self.enabled = False  # what it did is not known: nothing can be compared any more
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
            # Guards against a mistake in this account costing a gateway the actions.
            self.enabled = False
            if self.on_broken is None:
                raise
            self.on_broken(
                str(error) if isinstance(error, InvariantBroken) else self.violation_text(repr(error))
            )
        return actions


def attach_checks(
    balancer: Balancer, seed: int, on_broken: Callable[[str], None] | None = None, number: int = 0
) -> None:
    """Check all that `balancer` handles from now on, which it must not have begun; for the rest see Checked.

    `number` is the number of the event before the first.
    """
    balancer.handle = InvariantChecker(balancer, seed, on_broken, number).handle  # type: ignore[method-assign]
