"""The decisions of the balancer: functions over the state of one proxy, dispatched by balancer.py.

When a request arrives, a weighted random choice picks a server among those whose circuit breaker allows it. A
server's weight in this choice is its listed weight times the weight of the feedback controller, and is lower
the more attempts of this proxy are in flight there. docs/design.md describes each mechanism and when it acts.

Each module imports only from those before it in this list: breaker, servers, proxy, proxy_count, cold,
routes, choice, shedding, weights, admission, sending, answers, retries, streams, lists, snapshot, balancer.
"""
