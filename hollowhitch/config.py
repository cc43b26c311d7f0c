"""Configuration of the process. No other module reads the configuration file or holds its defaults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from hollowhitch.policy.interface import Settings
from hollowhitch.protocol.channel import ChannelError, Command, parse_address, parse_command
from hollowhitch.settings import REQUIRED, Section, parse_settings
from hollowhitch.settings import SettingsError as ConfigError  # its message names the invalid key

Address = tuple[str, int]

# Defaults of optional numbers, by the path of their key.
DEFAULTS = {
    "limits.sockets": 1024,
    "limits.memory_mb": 192,
    "settings.bounds.dialTimeoutUs": 250_000,
    "settings.bounds.keepaliveUs": 30_000_000,
    "settings.bounds.streamsPerConn": 100,
    "settings.bounds.maxOpen": 20_000,
}
# File descriptors out of `limits.sockets` that are reserved for the log, the event loop, the listener and the
# command channel. At most a quarter of the limit is reserved.
RESERVED_SOCKETS = 24
# Share of `limits.sockets` for connections to all engines together, whatever their number.
ENGINE_SOCKETS_SHARE = 0.25
# Number of engines that can have their maximum of connections at once: one engine may have 1/16 of all engine
# connections, so in a cluster of more than 16 engines they compete for connections.
ENGINES_WITH_FULL_POOL = 16
# Share of `limits.sockets` for operators' connections, and the bounds of the resulting number of connections.
CONSOLE_SOCKETS_SHARE, MIN_CONSOLE_SOCKETS, MAX_CONSOLE_SOCKETS = 1 / 16, 8, 64
MIN_SOCKETS = 32  # smallest accepted `limits.sockets`
# Memory in megabytes that the process needs without load, and the minimum that is assumed to remain for its
# load, even where `limits.memory_mb` leaves less.
BASE_MEMORY_MB, MIN_REMAINING_MB = 27, 4
# Limit on the bytes held for clients, which are requests, incomplete frames and unwritten answers: its share
# of the remaining memory, and its maximum.
HELD_MEMORY_SHARE, MAX_HELD_BYTES = 0.4, 32 << 20
# Share of the remaining memory for the client connections themselves, and the memory of one, with its buffer.
CONNECTIONS_MEMORY_SHARE, CONNECTION_BYTES = 0.48, 28 << 10
QUERY_STATE_BYTES = 3_000  # memory for the records of one open query
MIN_OPEN_QUERIES = 1_024  # smallest limit on open queries that follows from the memory
# Share of the memory held for clients that remembered refs may take in addition, memory for one of them, and
# their smallest and largest number.
REFS_MEMORY_SHARE, REF_BYTES, MIN_RECENT_REFS, MAX_RECENT_REFS = 0.2, 100, 1_024, 65_536
# Top-level keys of the configuration file that this version reads.
KNOWN_KEYS = frozenset({"name", "listen", "seed", "limits", "channel", "known", "settings", "console"})


@dataclass(frozen=True, slots=True)
class Config:
    """Validated configuration."""

    name: str  # of this process, for the log
    listen: Address  # of the listener for clients; port 0 stands for any free port
    seed: int  # of the controller's random choices and of the reconnect delays
    channel: Address | None  # of the command channel; None: no channel is followed
    console: Address | None  # of the operator console, like `listen`; None: there is no console
    known: tuple[Command, ...]  # commands that precede those from the command channel
    cursor: int  # last event that `known` covers; the command channel is followed from there on
    settings: Settings
    dial_timeout_us: int  # for connecting to an engine
    keepalive_us: int  # idle time after which an engine closes a connection
    streams_per_connection: int  # concurrent attempts on a connection to an engine
    open_most: int  # limit on open queries
    clients_most: int  # limit on client connections
    callers_most: int  # limit on operators' connections
    engine_sockets_most: int  # limit on connections to one engine
    engines_sockets_most: int  # limit on connections to all engines together
    held_most: int  # limit on bytes held for clients
    recent_refs_most: int  # number of refs of earlier queries that are remembered
    unread: tuple[str, ...] = ()  # top-level keys of the file that this version ignores


def _parse_count(section: Section, name: str) -> int:
    """Return a whole number of at least 1, or that in DEFAULTS if the key is missing."""
    value = section.number(name, DEFAULTS[section.key(name)])
    if value < 1 or value != int(value):
        raise ConfigError(f"{section.key(name)} must be a whole number of at least 1, not {value!r}")
    return int(value)


def _parse_address(section: Section, name: str, default: str | None = None, min_port: int = 1) -> Address:
    """Return an address with a port of at least `min_port`; without a default the key is required."""
    try:
        return parse_address(section.text(name, REQUIRED if default is None else default), min_port)
    except ConfigError:
        raise
    except ValueError as e:
        raise ConfigError(f"{section.key(name)}: {e}") from None


def _parse_console(section: Section, env: Mapping[str, str]) -> Address | None:
    default = env.get("ROUTER_CONSOLE")
    is_configured = section.raw.get("console") or default
    return _parse_address(section, "console", default, 0) if is_configured else None  # port 0: any free port


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is not a hexadecimal number") from None


def _parse_known(section: Section) -> tuple[tuple[Command, ...], int]:
    """Return the commands that the configuration contains, and the cursor from which the channel follows."""
    rows = section.raw.get("cmds") or []
    if not isinstance(rows, list):
        raise ConfigError(f"{section.key('cmds')} must be a list")
    commands = []
    for i, row in enumerate(rows):
        try:
            commands.append(parse_command(row))
        except ChannelError as e:
            raise ConfigError(f"{section.key('cmds')}[{i}]: {e}") from None
    cursor = section.raw.get("cursor") or 0
    if isinstance(cursor, bool) or not isinstance(cursor, int) or cursor < 0:
        raise ConfigError(f"{section.key('cursor')} must be a whole number of at least 0, not {cursor!r}")
    return tuple(commands), max([cursor, *(c.cursor for c in commands)])


def parse_config(raw: Any, env: Mapping[str, str]) -> Config:
    """Return the configuration in a decoded JSON file. Raise ConfigError if it is invalid.

    Environment variables are the defaults of `name`, `listen` and `console`.
    """
    root = Section(raw, "")
    settings = parse_settings(root.get("settings"), "settings")
    bounds = root.section("settings").section("bounds")
    sockets = _parse_count(root.section("limits", {}), "sockets")
    if sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets must be at least {MIN_SOCKETS}, not {sockets}")
    memory_mb = _parse_count(root.section("limits", {}), "memory_mb")
    remaining_bytes = max(memory_mb - BASE_MEMORY_MB, MIN_REMAINING_MB) << 20
    held_bytes = min(int(remaining_bytes * HELD_MEMORY_SHARE), MAX_HELD_BYTES)
    engine_sockets = int(sockets * ENGINE_SOCKETS_SHARE)
    known, cursor = _parse_known(root.section("known", {}))
    console = _parse_console(root, env)
    callers_most = (
        min(max(int(sockets * CONSOLE_SOCKETS_SHARE), MIN_CONSOLE_SOCKETS), MAX_CONSOLE_SOCKETS)
        if console
        else 0
    )
    return Config(
        name=root.text("name", env.get("ROUTER_NAME", REQUIRED)),
        listen=_parse_address(root, "listen", env.get("ROUTER_LISTEN"), 0),  # port 0: any free port
        seed=_parse_seed(root.text("seed", "0")),
        channel=_parse_address(root, "channel") if root.raw.get("channel") else None,
        console=console,
        known=known,
        cursor=cursor,
        settings=settings,
        dial_timeout_us=_parse_count(bounds, "dialTimeoutUs"),
        keepalive_us=_parse_count(bounds, "keepaliveUs"),
        streams_per_connection=_parse_count(bounds, "streamsPerConn"),
        open_most=min(
            _parse_count(bounds, "maxOpen"), max(held_bytes // QUERY_STATE_BYTES, MIN_OPEN_QUERIES)
        ),
        clients_most=min(
            sockets - engine_sockets - min(RESERVED_SOCKETS, sockets // 4) - callers_most,
            int(remaining_bytes * CONNECTIONS_MEMORY_SHARE) // CONNECTION_BYTES,
        ),
        callers_most=callers_most,
        # An engine's pool may exceed this by two connections, for queries that lost their connection.
        engine_sockets_most=max(2, engine_sockets // ENGINES_WITH_FULL_POOL),
        engines_sockets_most=engine_sockets,
        held_most=held_bytes,
        recent_refs_most=min(
            max(int(held_bytes * REFS_MEMORY_SHARE) // REF_BYTES, MIN_RECENT_REFS), MAX_RECENT_REFS
        ),
        unread=tuple(sorted(root.raw.keys() - KNOWN_KEYS)),
    )


def load(env: Mapping[str, str]) -> Config:
    """Return the configuration in the file that ROUTER_CONFIG names.

    Raise ConfigError if the variable is not set, or the file is unreadable or invalid.
    """
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        raw = ujson.loads(Path(path).read_text())
    except OSError as e:
        raise ConfigError(f"ROUTER_CONFIG: {e}") from None
    except ValueError as e:
        raise ConfigError(f"ROUTER_CONFIG: {path} is not JSON: {e}") from None
    return parse_config(raw, env)
