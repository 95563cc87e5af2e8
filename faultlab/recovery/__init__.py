"""Experiments on the recovery of saved state.

They cover kills during writes, power loss, damaged files, a full disk, two processes on one directory, and
warm compared with cold starts of real gateways under steady traffic. Each returns its figures by name and
`command` prints them; the goals are in docs/recovery.md.
"""
