"""Configuration is read in one place, and each complaint names its key."""

from __future__ import annotations

import copy
import json
import os
import socket
import subprocess
import sys

import pytest

from hollowhitch.config import ConfigError, parse
from tests import boot


def test_what_is_left_out_has_its_default():
    c = parse(boot.config(limits={}), {})
    assert (c.dial_timeout_us, c.keepalive_us, c.streams_per_connection) == (250_000, 30_000_000, 100)
    assert c.clients_most == 744 and c.seed == 0x8C1F30D27A5BE964 and c.listen == ("127.0.0.1", 0)


@pytest.mark.parametrize("memory_mb,sockets", [(32, 256), (64, 256), (192, 1024)])
def test_what_is_held_keeps_within_the_limits(memory_mb, sockets):
    c = parse(boot.config(limits={"memory_mb": memory_mb, "sockets": sockets}), {})
    assert 2 << 20 <= c.held_most <= (memory_mb - 20) << 20 and c.open_most >= 1000
    assert sockets / 3 < c.clients_most and c.clients_most + 10 * c.engine_sockets_most + 16 < sockets


@pytest.mark.parametrize(
    "path,value,named",
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
def test_a_fault_names_its_key(path, value, named):
    raw = copy.deepcopy(boot.config())
    *way, last = path.split(".")
    place = raw
    for step in way:
        place = place[int(step) if step.isdigit() else step]
    place[last] = value
    with pytest.raises(ConfigError, match=named):
        parse(raw, {})


def test_prices_are_read_and_one_left_out_is_nothing():
    raw = boot.config()
    raw["settings"]["deductions"] = {"handshake": 0.08, "connection": 0.5, "discovery": None}
    prices = parse(raw, {}).settings.prices
    assert (prices.handshake, prices.connection, prices.discovery, prices.waste) == (0.08, 0.5, 0.0, 0.0)


@pytest.mark.parametrize("text,named", [(None, "ROUTER_CONFIG"), ("{", "ROUTER_CONFIG"), ("{}", "settings")])
def test_the_program_ends_with_the_key_named(tmp_path, text, named):
    env = {k: v for k, v in os.environ.items() if k != "ROUTER_CONFIG"}
    if text is not None:
        (tmp_path / "c.json").write_text(text)
        env["ROUTER_CONFIG"] = str(tmp_path / "c.json")
    done = subprocess.run([sys.executable, "-m", "hollowhitch"], env=env, capture_output=True, text=True)
    assert done.returncode != 0 and named in done.stderr and "Traceback" not in done.stderr


def test_an_address_in_use_is_named_too(tmp_path):
    """Another process holds it: a message for the operator, not a trace."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        listen = f"127.0.0.1:{taken.getsockname()[1]}"
        (tmp_path / "c.json").write_text(json.dumps(boot.config(listen=listen)))
        env = {**os.environ, "ROUTER_CONFIG": str(tmp_path / "c.json")}
        done = subprocess.run([sys.executable, "-m", "hollowhitch"], env=env, capture_output=True, text=True)
    assert done.returncode == 2 and "hollowhitch: listen: " in done.stderr and "Traceback" not in done.stderr


def test_a_key_that_nothing_reads_is_named():
    assert parse(boot.config(surplus=1, another={}), {}).unread == ("another", "surplus")
