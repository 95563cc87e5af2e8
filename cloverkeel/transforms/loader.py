"""Loads the transforms that the gateway's own configuration names, before the gateway accepts clients."""

from __future__ import annotations

from importlib.metadata import entry_points

from cloverkeel.errors import ConfigError
from cloverkeel.fleet import events
from cloverkeel.transforms.active_set import ActiveSet, InstalledTransform
from cloverkeel.transforms.protocol import ENTRY_POINT_GROUP, Manifest, Transform
from cloverkeel.transforms.settings import TransformSettings


def load(settings: TransformSettings) -> ActiveSet:
    """Loads all configured transforms. Raises ConfigError for the first that cannot be used."""
    events.setup_logging()
    installed = [InstalledTransform(load_file(path)) for path in settings.files]
    installed += [InstalledTransform(load_plugin(name)) for name in settings.plugins]
    try:
        active = ActiveSet(*installed)
    except ValueError as error:
        raise ConfigError(f"transforms: {error}") from None
    for version in installed:
        manifest = version.manifest
        events.event(
            "transforms.active",
            transform=manifest.name,
            sha256=version.transform.sha256,
            phase=manifest.phase,
        )
    return active


def load_file(path: str) -> Transform:
    """Compiles a source file and runs its golden cases. Raises ConfigError with the position of the first
    fault or failed case."""
    # Imported here because a configuration with plugins only needs no parser.
    from cloverkeel.transforms.compiler import compile, failed_cases
    from cloverkeel.transforms.source import SourceError, parse

    try:
        with open(path, "rb") as file:
            compiled = compile(parse(file.read()))
    except OSError as error:
        raise ConfigError(f"transforms: {path}: {error.strerror}") from None
    except SourceError as error:
        raise ConfigError(f"transforms: {path}:{error.faults[0]}") from None
    for fault in failed_cases(compiled):
        raise ConfigError(f"transforms: {path}:{fault}")
    return compiled


def load_plugin(name: str) -> Transform:
    """Loads the entry point of this name. Raises ConfigError if it is missing or is not a transform."""
    found = entry_points(group=ENTRY_POINT_GROUP, name=name)
    if not found:
        raise ConfigError(f"transforms: no entry point {name} in the group {ENTRY_POINT_GROUP}")
    try:
        transform: Transform = next(iter(found)).load()
        manifest = transform.manifest
        is_valid = isinstance(manifest, Manifest) and isinstance(transform.sha256, str)
    except Exception as error:
        raise ConfigError(f"transforms: {name} cannot be loaded: {type(error).__name__}: {error}") from None
    if not is_valid or not callable(getattr(transform, "apply", None)):
        raise ConfigError(
            f"transforms: {name} is not a transform: it needs a manifest, a sha256 string and apply()"
        )
    return transform
