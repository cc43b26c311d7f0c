"""Configuration: defaults, derived limits, and error messages that name the invalid key."""

from __future__ import annotations

import copy
import json
import os
import socket
import subprocess
import sys

import pytest

from hollowhitch.config import ConfigError, parse_config
from tests import sample_config


def test_missing_keys_have_defaults():
    config = parse_config(sample_config.make_config(limits={}), {})
    assert (config.dial_timeout_us, config.keepalive_us, config.streams_per_connection) == (
        250_000,
        30_000_000,
        100,
    )
    assert (
        config.clients_most == 744 and config.seed == 0x8C1F30D27A5BE964 and config.listen == ("127.0.0.1", 0)
    )


@pytest.mark.parametrize("memory_mb,sockets", [(32, 256), (64, 256), (192, 1024)])
def test_bounds_stay_within_the_limits(memory_mb, sockets):
    config = parse_config(sample_config.make_config(limits={"memory_mb": memory_mb, "sockets": sockets}), {})
    assert 2 << 20 <= config.held_most <= (memory_mb - 20) << 20 and config.open_most >= 1000
    assert (
        sockets / 3 < config.clients_most
        and config.clients_most + 10 * config.engine_sockets_most + 16 < sockets
    )


@pytest.mark.parametrize(
    "path,value,key",
    [
        ("listen", "nowhere", "listen"),
        ("seed", "xyz", "seed"),
        ("settings", None, "settings"),
        ("limits.sockets", 10, "limits.sockets"),
        ("limits.sockets", "many", "limits.sockets"),
        ("limits.memory_mb", 0, "limits.memory_mb"),
        ("channel", "127.0.0.1", "channel"),
        ("known.cmds", 3, "known.cmds"),
        ("known.cursor", "x", "known.cursor"),
        ("known.cmds", [{"cursor": 1, "nodes": {"members": [{}]}}], r"known.cmds\[0\]"),
        ("settings.bounds.streamsPerConn", 0, "settings.bounds.streamsPerConn"),
        ("settings.bounds.maxAttempts", None, "settings.bounds.maxAttempts"),
        ("settings.bounds.maxAttempts", "4", "settings.bounds.maxAttempts"),
        ("settings.classes.0.deadlineUs", "x", r"settings.classes\[0\].deadlineUs"),
        ("settings.classes.0.deadlineUs", 0, r"settings.classes\[\].deadlineUs of class 'q' must be above 0"),
        ("settings.classes.1.repeatWindowUs", -1, r"settings.classes\[\].repeatWindowUs of class 'load'"),
        ("settings.classes.0.areasOnly", ["mars"], r"settings.classes\[\].areasOnly of class 'q'"),
        ("settings.extra.parallelism", [0, 2], "settings.extra.parallelism of class 'q'"),
        ("settings.replicasOfMe", 0, "settings.replicasOfMe must be at least 1"),
        ("settings.position", -1, "settings.position must not be negative"),
        ("settings.bounds.maxAttempts", 0, "settings.bounds.maxAttempts must be at least 1"),
        ("settings.classes.1.semantics", "odd", r"settings.classes\[1\].semantics"),
        ("settings.classes", [], "classes"),
        ("settings.extra.sizeMb", [1, 2], "settings.extra.sizeMb"),
        ("settings.rules.coldUs", "long", "settings.rules.coldUs"),
        ("settings.deductions", {"handshake": "dear"}, "settings.deductions.handshake"),
        ("settings.deductions", {"connection": float("inf")}, "settings.deductions.connection"),
        ("settings.deductions", {"discovery": -0.1}, "settings.deductions.discovery"),
        ("settings.deductions", {"probe": -1}, "settings.deductions.probe"),
    ],
)
def test_error_names_the_key(path, value, key):
    raw = copy.deepcopy(sample_config.make_config())
    *parents, last_key = path.split(".")
    target = raw
    for parent in parents:
        target = target[int(parent) if parent.isdigit() else parent]
    target[last_key] = value
    with pytest.raises(ConfigError, match=key):
        parse_config(raw, {})


def test_prices_are_parsed_and_default_to_zero():
    raw = sample_config.make_config()
    raw["settings"]["deductions"] = {"handshake": 0.08, "connection": 0.5, "discovery": None}
    prices = parse_config(raw, {}).settings.prices
    assert (prices.handshake, prices.connection, prices.discovery, prices.waste) == (0.08, 0.5, 0.0, 0.0)


@pytest.mark.parametrize("text,key", [(None, "ROUTER_CONFIG"), ("{", "ROUTER_CONFIG"), ("{}", "settings")])
def test_program_exits_with_a_message_that_names_the_key(tmp_path, text, key):
    env = {k: v for k, v in os.environ.items() if k != "ROUTER_CONFIG"}
    if text is not None:
        (tmp_path / "c.json").write_text(text)
        env["ROUTER_CONFIG"] = str(tmp_path / "c.json")
    process = subprocess.run([sys.executable, "-m", "hollowhitch"], env=env, capture_output=True, text=True)
    assert process.returncode != 0 and key in process.stderr and "Traceback" not in process.stderr


def test_message_names_an_address_in_use(tmp_path):
    """The operator gets a message and no traceback if another process has bound the address."""
    with socket.create_server(("127.0.0.1", 0)) as other_listener:
        listen = f"127.0.0.1:{other_listener.getsockname()[1]}"
        (tmp_path / "c.json").write_text(json.dumps(sample_config.make_config(listen=listen)))
        env = {**os.environ, "ROUTER_CONFIG": str(tmp_path / "c.json")}
        process = subprocess.run(
            [sys.executable, "-m", "hollowhitch"], env=env, capture_output=True, text=True
        )
    assert (
        process.returncode == 2
        and "hollowhitch: listen: " in process.stderr
        and "Traceback" not in process.stderr
    )


def test_unknown_keys_are_listed():
    assert parse_config(sample_config.make_config(surplus=1, another={}), {}).unread == ("another", "surplus")
