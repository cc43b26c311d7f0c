"""The one place where configuration is read, checked and given its defaults."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import ujson

from hollowhitch.policy.interface import Settings
from hollowhitch.protocol.channel import ChannelError, Command, parse_address, parse_command
from hollowhitch.settings import SettingsError, parse_settings

Address = tuple[str, int]

DEFAULTS = {
    "limits.sockets": 1024,
    "settings.bounds.dialTimeoutUs": 250_000,
    "settings.bounds.keepaliveUs": 30_000_000,
    "settings.bounds.streamsPerConn": 100,
    "settings.bounds.maxOpen": 20_000,
}
SPARE_SOCKETS = 64  # of the limit: what is neither a client nor an engine (log, loop, channel, listener)


class ConfigError(ValueError):
    """Configuration that can't be used; the message names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    seed: int
    channel: Address | None
    known: tuple[Command, ...]
    cursor: int  # of the last event that is known
    settings: Settings
    dial_timeout_us: int
    keepalive_us: int
    streams_per_connection: int
    open_most: int
    clients_most: int  # client connections
    engine_sockets_most: int  # connections to one engine


class _Table:
    """A JSON object that knows where it stands, so that each complaint names its key."""

    def __init__(self, raw: Any, path: str = "") -> None:
        if not isinstance(raw, dict):
            raise ConfigError(f"{path or 'configuration'}: must be an object")
        self.raw, self.path = raw, path

    def key(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def table(self, name: str, optional: bool = False) -> _Table:
        if optional and self.raw.get(name) is None:
            return _Table({}, self.key(name))
        if name not in self.raw:
            raise ConfigError(f"{self.key(name)}: is missing")
        return _Table(self.raw[name], self.key(name))

    def count(self, name: str) -> int:
        """A whole number of at least 1, or its default."""
        value = self.raw.get(name)
        if value is None:
            value = DEFAULTS[self.key(name)]
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 1 or value != int(value):
            raise ConfigError(f"{self.key(name)}: must be a whole number above 0, not {value!r}")
        return int(value)

    def text(self, name: str, default: str | None = None) -> str:
        value = self.raw.get(name, default)
        if not isinstance(value, str) or not value:
            raise ConfigError(f"{self.key(name)}: " + ("is missing" if value is None else "must be text"))
        return value

    def address(self, name: str, default: str | None = None, least_port: int = 1) -> Address:
        try:
            return parse_address(self.text(name, default), least_port)
        except ConfigError:
            raise
        except ValueError as e:
            raise ConfigError(f"{self.key(name)}: {e}") from None


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text!r} is not hex digits") from None


def _known(table: _Table) -> tuple[tuple[Command, ...], int]:
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
    top = _Table(raw)
    settings = top.table("settings")
    bounds = settings.table("bounds")
    sockets = top.table("limits", optional=True).count("sockets")
    if sockets <= 2 * SPARE_SOCKETS:
        raise ConfigError(f"limits.sockets: must be above {2 * SPARE_SOCKETS}, not {sockets}")
    try:
        parsed = parse_settings(settings.raw)
    except SettingsError as e:
        raise ConfigError(f"settings.{e}") from None
    known, cursor = _known(top.table("known", optional=True))
    return Config(
        name=top.text("name", env.get("ROUTER_NAME")),
        listen=top.address("listen", env.get("ROUTER_LISTEN"), 0),  # 0: any free port
        seed=_seed(top.text("seed", "0")),
        channel=top.address("channel") if top.raw.get("channel") else None,
        known=known,
        cursor=cursor,
        settings=parsed,
        dial_timeout_us=bounds.count("dialTimeoutUs"),
        keepalive_us=bounds.count("keepaliveUs"),
        streams_per_connection=bounds.count("streamsPerConn"),
        open_most=bounds.count("maxOpen"),
        clients_most=(sockets - SPARE_SOCKETS) // 2,
        engine_sockets_most=max(2, (sockets - SPARE_SOCKETS) // 2 // 32),
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
