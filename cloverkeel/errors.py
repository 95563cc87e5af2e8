"""Exceptions shared by several parts of the program."""

from __future__ import annotations


class ConfigError(ValueError):
    """The configuration is invalid; the message gives the reason in one line."""
