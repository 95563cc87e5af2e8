"""Connections to hosts: one pool for each host, attempts over them and how these end."""
