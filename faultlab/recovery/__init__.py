"""The recovery experiments: kills during writes, power loss, damaged files, a full disk, two processes on one
directory, and warm against cold starts of real gateways under steady traffic.

Each returns plain figures; `command` prints them. Nothing here is scored against anything but the goals of
docs/recovery.md.
"""
