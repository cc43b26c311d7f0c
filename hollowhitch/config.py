"""The one place where configuration is read, checked and given its defaults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from hollowhitch.policy.interface import Settings
from hollowhitch.protocol.channel import ChannelError, Command, parse_address, parse_command
from hollowhitch.settings import NEEDED, Table, parse_settings
from hollowhitch.settings import SettingsError as ConfigError  # its message names the key

Address = tuple[str, int]

DEFAULTS = {
    "limits.sockets": 1024,
    "limits.memory_mb": 192,
    "settings.bounds.dialTimeoutUs": 250_000,
    "settings.bounds.keepaliveUs": 30_000_000,
    "settings.bounds.streamsPerConn": 100,
    "settings.bounds.maxOpen": 20_000,
}
SPARE_SOCKETS = 24  # of the limit, a quarter at most: for the log, the loop, the listener, the channel
ENGINES_SHARE = 0.25  # of the limit, for connections to all engines together, however many
ENGINES_FEW = 16  # of that, for one: with more engines than this they share what there is
CALLERS_SHARE, CALLERS_LEAST, CALLERS_MOST = 1 / 16, 8, 64  # of the limit, for operators' calls
SOCKETS_LEAST = 32
OWN_MB, REST_LEAST_MB = 20, 4  # what the program takes by itself, measured; what is taken to be left at least
HELD_SHARE, HELD_MOST = 0.5, 32 << 20  # of the rest: statements, half-read frames, unwritten answers; bytes
QUERY_BYTES = 3_000  # of the books on an open query
KEYS = frozenset(
    {"name", "listen", "seed", "limits", "channel", "known", "settings", "console"}
)  # of the file


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    seed: int
    channel: Address | None
    console: Address | None  # where operators call
    known: tuple[Command, ...]
    cursor: int  # of the last event that is known
    settings: Settings
    dial_timeout_us: int
    keepalive_us: int
    streams_per_connection: int
    open_most: int
    clients_most: int  # client connections
    callers_most: int  # operators' connections
    engine_sockets_most: int  # connections to one engine
    engines_sockets_most: int  # connections to all engines together
    held_most: int  # bytes held for clients
    unread: tuple[str, ...] = ()  # keys of the file that mean nothing to this version


def _count(table: Table, name: str) -> int:
    """A whole number of at least 1, or its default."""
    value = table.number(name, DEFAULTS[table.key(name)])
    if value < 1 or value != int(value):
        raise ConfigError(f"{table.key(name)} must be a whole number above 0, not {value!r}")
    return int(value)


def _address(table: Table, name: str, default: str | None = None, least_port: int = 1) -> Address:
    try:
        return parse_address(table.text(name, NEEDED if default is None else default), least_port)
    except ConfigError:
        raise
    except ValueError as e:
        raise ConfigError(f"{table.key(name)}: {e}") from None


def _console(table: Table, env: Mapping[str, str]) -> Address | None:
    default = env.get("ROUTER_CONSOLE")
    wanted = table.raw.get("console") or default
    return _address(table, "console", default, 0) if wanted else None  # port 0: any free one


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is not hex digits") from None


def _known(table: Table) -> tuple[tuple[Command, ...], int]:
    rows = table.raw.get("cmds") or []
    if not isinstance(rows, list):
        raise ConfigError(f"{table.key('cmds')}: must be a list")
    commands = []
    for i, row in enumerate(rows):
        try:
            commands.append(parse_command(row))
        except ChannelError as e:
            raise ConfigError(f"{table.key('cmds')}[{i}]: {e}") from None
    cursor = table.raw.get("cursor") or 0
    if isinstance(cursor, bool) or not isinstance(cursor, int) or cursor < 0:
        raise ConfigError(f"{table.key('cursor')}: must be a whole number, not {cursor!r}")
    return tuple(commands), max([cursor, *(c.cursor for c in commands)])


def parse(raw: Any, env: Mapping[str, str]) -> Config:
    """What the environment says stands in for what the file leaves out."""
    top = Table(raw, "")
    settings = parse_settings(top.get("settings"), "settings")
    bounds = top.table("settings").table("bounds")
    sockets = _count(top.table("limits", {}), "sockets")
    if sockets < SOCKETS_LEAST:
        raise ConfigError(f"limits.sockets must be at least {SOCKETS_LEAST}, not {sockets}")
    memory_mb = _count(top.table("limits", {}), "memory_mb")
    held = min(int(max(memory_mb - OWN_MB, REST_LEAST_MB) * HELD_SHARE * (1 << 20)), HELD_MOST)
    for_engines = int(sockets * ENGINES_SHARE)
    known, cursor = _known(top.table("known", {}))
    console = _console(top, env)
    callers_most = min(max(int(sockets * CALLERS_SHARE), CALLERS_LEAST), CALLERS_MOST) if console else 0
    return Config(
        name=top.text("name", env.get("ROUTER_NAME", NEEDED)),
        listen=_address(top, "listen", env.get("ROUTER_LISTEN"), 0),  # 0: any free port
        seed=_seed(top.text("seed", "0")),
        channel=_address(top, "channel") if top.raw.get("channel") else None,
        console=console,
        known=known,
        cursor=cursor,
        settings=settings,
        dial_timeout_us=_count(bounds, "dialTimeoutUs"),
        keepalive_us=_count(bounds, "keepaliveUs"),
        streams_per_connection=_count(bounds, "streamsPerConn"),
        open_most=min(_count(bounds, "maxOpen"), held // QUERY_BYTES),
        clients_most=sockets - for_engines - min(SPARE_SOCKETS, sockets // 4) - callers_most,
        callers_most=callers_most,
        engine_sockets_most=max(2, for_engines // ENGINES_FEW),  # and two more for a while
        engines_sockets_most=for_engines,
        held_most=held,
        unread=tuple(sorted(top.raw.keys() - KEYS)),
    )


def read(env: Mapping[str, str]) -> Config:
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG: is not set")
    try:
        raw = ujson.loads(Path(path).read_text())
    except OSError as e:
        raise ConfigError(f"ROUTER_CONFIG: {e}") from None
    except ValueError as e:
        raise ConfigError(f"ROUTER_CONFIG: {path} is not JSON: {e}") from None
    return parse(raw, env)
