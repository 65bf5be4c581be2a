"""The node's configuration: reads LB_* and the file LB_CONFIG and turns them into one frozen Config, once at
the start and once more for each reload.

It owns the mapping of the deployment's names (classes, tenants, zones, kinds) to the module's indices, next
to granitewell.balancing.simulator_protocol.parse_settings, which reads the figures. It must never hold
defaults for what the platform has to say, open a socket, or change a Config that it has given out. Whatever
is wrong is a ConfigError that names the field.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields, replace
from typing import Any

from granitewell.balancing.interface import Effect, Settings
from granitewell.balancing.simulator_protocol import WireError, parse_settings
from granitewell.files import read_regular_file

RESTART_ONLY_FIELDS = (
    "name",
    "listen",
    "cores",
    "sockets",
    "memory_mb",
    "console",
    "inherited",
    "known",
    "seed",
)
_HOST = re.compile(r"\[?(?=.{1,253}\Z)[A-Za-z0-9_:%-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*\]?\Z")
_PORT = re.compile(r"[0-9]{1,5}\Z")
MAX_FILE_BYTES = 8 * 1024 * 1024  # bytes: settings, and a list as long as discovery may send one
MAX_DESCRIPTORS = 1024  # of the platform's scored limits; a larger allowance is not used


class ConfigError(Exception):
    """The configuration can't be used; the text is one line that names the field."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that the node is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    cores: float
    sockets: int
    known: Mapping[str, Any]  # discovery's form, as last held by this node; may be old
    settings: Settings
    class_names: tuple[str, ...]
    effects: tuple[Effect, ...]
    tenant_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    report_names: tuple[str, ...]  # the keys of a load report, in the order of stats.fields
    dial_timeout_us: int
    conn_idle_us: int
    max_open_requests: int
    console: tuple[str, int] | None = None  # where operators call
    memory_mb: float = 192.0
    inherited: int = -1  # descriptor of the clients' listening socket, where the platform holds it
    active_classes: frozenset[str] = (
        frozenset()
    )  # the classes and tenants that the file names; the others had their
    active_tenants: frozenset[str] = frozenset()  # place in it at some time since the start
    raw: Mapping[str, Any] = field(default_factory=dict, compare=False, repr=False)  # the file as it was


def parse_address(text: Any, field: str) -> tuple[str, int]:
    """host:port, as the platform writes addresses."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    # bounded before anything is made of it: a number of 5,000 digits or a name with a part of 64 characters
    # is an error of another kind in whatever it is given to
    if not colon or not _HOST.match(host) or not _PORT.match(port) or int(port) > 65535:
        raise ConfigError(f"{field}: {_abbreviate(text)} is not host:port")
    return host.strip("[]"), int(port)


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 80 else f"{text[:77]}..."


def _require_object(value: Any, field: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigError(f"{field}: missing or not an object")
    return value


def _require_number(
    obj: Mapping[str, Any], key: str, field: str, default: float, minimum: float = 1
) -> float:
    value = obj.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < 1e12:
        raise ConfigError(f"{field}: {value!r} is not a number from {minimum:g}")
    return float(value)


def _require_names(value: Any, field: str) -> tuple[str, ...]:
    if not isinstance(value, list) or not all(isinstance(x, str) for x in value):
        raise ConfigError(f"{field}: not a list of names")
    for x in value:
        if not x.isprintable():  # half of a surrogate pair has no bytes, and no header holds a line break
            raise ConfigError(f"{field}: {_abbreviate(x)} is not a name")
    return tuple(value)


def _parse_seed(value: Any) -> int:
    try:
        return int(value, 16) if isinstance(value, str) else int(value)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed: {value!r} is neither hexadecimal nor a number") from None


def _check_request_limits(raw: Mapping[str, Any]) -> None:
    """The figures without which no request has an end: they must be there, and above 0."""
    allowed = _require_object(raw.get("allowed"), "settings.allowed")
    _require_number(allowed, "maxAttempts", "settings.allowed.maxAttempts", 0.0)
    classes = raw.get("classes")
    if not isinstance(classes, list) or not classes:
        raise ConfigError("settings.classes: missing, empty or not a list")
    for k, cls in enumerate(classes):
        field = f"settings.classes[{k}]"
        _require_number(_require_object(cls, field), "giveUpMs", f"{field}.giveUpMs", 0.0, 0.001)


def _parse_descriptor(text: str) -> int:
    if not text:
        return -1
    if not _PORT.match(text):
        raise ConfigError(f"LB_INHERITED_FD: {_abbreviate(text)} is not a descriptor")
    return int(text)


def load(env: Mapping[str, str]) -> Config:
    """The configuration of this process; the variables win over the file."""
    return _build_config(env, _read_file(env))


def _read_file(env: Mapping[str, str]) -> dict[str, Any]:
    path = env.get("LB_CONFIG", "")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        text = json.loads(read_regular_file(path, MAX_FILE_BYTES))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"LB_CONFIG: {' '.join(str(error).split())}") from None
    return _require_object(text, "LB_CONFIG")


def _build_config(env: Mapping[str, str], document: dict[str, Any]) -> Config:
    raw = _require_object(document.get("settings"), "settings")
    _check_request_limits(raw)
    try:
        settings = parse_settings(json.dumps(raw).encode())
    except (WireError, ValueError, OverflowError, KeyError, TypeError, RecursionError) as error:
        raise ConfigError(" ".join(str(error).split())) from None
    class_names = _require_names([c.get("name") for c in raw["classes"]], "settings.classes[].name")
    if len(set(class_names)) < len(class_names):
        raise ConfigError("settings.classes[].name: a name comes twice")
    limits = _require_object(document.get("limits", {}), "limits")
    allowed = _require_object(raw.get("allowed"), "settings.allowed")
    # The module counts only tenants that have an allowance: the names must skip the same ones.
    tenants = [t for t in raw.get("tenants", []) if t.get("allowancePerS") is not None]
    console = env.get("LB_CONSOLE") or document.get("console")
    stats = _require_object(raw.get("stats", {}), "settings.stats")
    return Config(
        name=env.get("LB_NAME") or str(document.get("name", "node")),
        listen=parse_address(env.get("LB_LISTEN") or document.get("listen"), "listen"),
        discovery=parse_address(env.get("LB_DISCOVERY") or document.get("discovery"), "discovery"),
        seed=_parse_seed(document.get("seed", 0)),
        cores=_require_number(limits, "cores", "limits.cores", 1.0, 0.01),
        sockets=min(int(_require_number(limits, "sockets", "limits.sockets", 1024, 64)), MAX_DESCRIPTORS),
        known=_require_object(document.get("known") or {}, "known"),
        settings=settings,
        class_names=class_names,
        effects=tuple(c.effect for c in settings.classes),
        tenant_names=(
            tenant_names := _require_names([t.get("name") for t in tenants], "settings.tenants[].name")
        ),
        active_classes=frozenset(class_names),
        active_tenants=frozenset(tenant_names),
        raw=document,
        zone_names=_require_names(raw.get("zones", []), "settings.zones"),
        kind_names=_require_names(raw.get("models", []), "settings.models"),
        report_names=_require_names(
            [] if stats.get("how") == "silent" else stats.get("fields", []), "settings.stats.fields"
        ),
        dial_timeout_us=int(
            1000 * _require_number(allowed, "dialTimeoutMs", "settings.allowed.dialTimeoutMs", 250)
        ),
        conn_idle_us=int(1000 * _require_number(allowed, "connIdleMs", "settings.allowed.connIdleMs", 10000)),
        console=parse_address(console, "console") if console else None,
        memory_mb=_require_number(limits, "memory_mb", "limits.memory_mb", 192.0, 16),
        inherited=_parse_descriptor(env.get("LB_INHERITED_FD", "")),
        max_open_requests=int(_require_number(allowed, "mostHeld", "settings.allowed.mostHeld", 20000)),
    )


def reload(env: Mapping[str, str], check: Callable[[dict[str, Any]], None] | None = None) -> Config:
    """The configuration as the file has it now, once `check` has passed it.

    What the variable said of discovery dates from the start and would win over a file that names another
    address, so it does not count here.
    """
    document = _read_file(env)
    if check is not None:
        check(document)
    return _build_config({k: v for k, v in env.items() if k != "LB_DISCOVERY"}, document)


def merge_reloadable_fields(old: Config, new: Config) -> Config:
    """The older configuration with all of the newer one that a running node can take up."""
    return replace(
        old, **{f.name: getattr(new, f.name) for f in fields(Config) if f.name not in RESTART_ONLY_FIELDS}
    )


def fields_requiring_restart(old: Config, new: Config) -> list[str]:
    """The fields that differ and that a running node can't take up.

    The list as last held and the seed are for the start alone.
    """
    return [
        n for n in RESTART_ONLY_FIELDS if n not in ("known", "seed") and getattr(old, n) != getattr(new, n)
    ]
