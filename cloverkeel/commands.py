"""The operators' command line: `python -m cloverkeel state check|show DIR`, `members`,
`transforms check|publish|status|rollback`, `routes apply|show|resolve|accept`, `duties [release NAME]`.

Without arguments, `python -m cloverkeel` runs the gateway, as the deploy file does.
"""

from __future__ import annotations

import argparse
import json
import os
import sqlite3
import sys
import time
from typing import Any

from cloverkeel.fleet import state
from cloverkeel.fleet.duties import command as duties
from cloverkeel.fleet.rollout import command as rollout
from cloverkeel.fleet.routes import command as routes
from cloverkeel.transforms import commands as transforms


def build_parser() -> argparse.ArgumentParser:
    """The parser of all commands."""
    top = argparse.ArgumentParser(prog="python -m cloverkeel", description="A load-balancing gateway.")
    subparsers = top.add_subparsers(dest="part", required=True)
    store = subparsers.add_parser("state", help="inspect the state store's file offline")
    verbs = store.add_subparsers(dest="verb", required=True)
    check = verbs.add_parser("check", help="verify the file in a state directory: exit 0 if sound, else 1")
    show = verbs.add_parser("show", help="show the contents of the file in a state directory")
    for verb in (check, show):
        verb.add_argument("directory", help="the state directory (state_dir, $LB_STATE_DIR)")
        verb.add_argument("--json", action="store_true", help="print one JSON object instead of lines")
    members = subparsers.add_parser("members", help="show the member table of a running gateway")
    members.add_argument("--operator", metavar="HOST:PORT", help="operator address (default: $LB_OPERATOR)")
    members.add_argument("--json", action="store_true", help="print the response as one JSON object")
    transforms.register(subparsers)
    duties.register(subparsers)
    rollout.register(subparsers)
    routes.register(subparsers)
    return top


def run(argv: list[str]) -> int:
    """Run the command that the arguments name and return its exit code."""
    arguments = build_parser().parse_args(argv)
    if arguments.part == "members":
        from cloverkeel.fleet.membership import command

        return command.run(arguments.operator, arguments.json)
    if arguments.part in ("transforms", "routes", "duties", "rollout"):
        code: int = arguments.run(arguments)
        return code
    path = os.path.join(arguments.directory, state.STATE_FILE)
    findings, report = inspect_file(path)
    if arguments.verb == "check":
        report = {"path": path, "sound": not findings, "findings": findings}
        if arguments.json:
            print(json.dumps(report))
        else:
            for finding in findings or ["sound"]:
                print(f"{path}: {finding}")
        return 1 if findings else 0
    if arguments.json:
        print(json.dumps(report | {"findings": findings}))
    else:
        print_report(path, report, findings)
    return 1 if findings else 0


def inspect_file(path: str) -> tuple[list[str], dict[str, Any]]:
    """Findings (none for a sound file) and a report of the contents. Neither moves nor writes the file."""
    if os.path.isdir(path):
        return ["is a directory, not a file"], {}
    if not os.path.exists(path):
        return ["no such file"], {}
    if os.path.getsize(path) == 0:
        return ["empty file"], {}
    try:
        connection = state.open_read_only(path)
    except sqlite3.Error as error:
        return [f"cannot be opened: {error}"], {}
    try:
        snapshots, findings = state.verify(connection)
        counters = state.read_counters(connection)
    except (state.CorruptError, sqlite3.Error) as error:
        return [str(error)], {}
    finally:
        connection.close()
    now_s = time.time()
    report = {
        "counters": counters,
        "snapshots": [
            {
                "taken_unix_s": s.taken_unix_s,
                "age_s": round(now_s - s.taken_unix_s, 3),
                "listed_hosts": len(s.known.get("endpoints", [])),
                "servers": [
                    {
                        "server": v.server,
                        "started_us": v.started_us,
                        "weight": v.weight,
                        "breaker": v.breaker.state,
                        "open_left_us": v.breaker.open_left_us,
                        "ring": "".join("x" if o else "." for o in v.breaker.ring),
                        "classes": {k: b.state for k, _, b in v.by_class},
                    }
                    for v in s.learned.servers
                ],  # fmt: skip
                "smoothed_us": s.learned.smoothed_us,
            }
            for s in snapshots
        ],
    }
    return findings, report


def print_report(path: str, report: dict[str, Any], findings: list[str]) -> None:
    """Print the findings, the counters and one line for each snapshot and server."""
    for finding in findings:
        print(f"{path}: {finding}")
    if not report:
        return
    counters = " ".join(f"{name}={value}" for name, value in report["counters"].items())
    print(f"{path}: counters {counters or 'none'}")
    for snapshot in report["snapshots"]:
        servers = snapshot["servers"]
        opened = sum(s["breaker"] != "closed" or "open" in s["classes"].values() for s in servers)
        age_s, listed = snapshot["age_s"], snapshot["listed_hosts"]
        print(f"snapshot taken {age_s:.1f} s ago: {len(servers)} servers, {opened} with a breaker not "
              f"closed, {listed} hosts listed")  # fmt: skip
        for s in servers:
            classes = ",".join(f"{k}:{state}" for k, state in s["classes"].items()) or "-"
            print(f"  server {s['server']:>10} started_us={s['started_us']} weight={s['weight']:.3f} "
                  f"breaker={s['breaker']} ring={s['ring'] or '-'} classes={classes}")  # fmt: skip


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
