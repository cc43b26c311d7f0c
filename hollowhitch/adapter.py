"""Adapter to the simulator: reads batches of lines, runs the controllers, writes the replies.

One process hosts many instances of the proxy, each with a controller of its own; only those decide.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from typing import TextIO

from hollowhitch.policy.control import Controller
from hollowhitch.policy.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    ClientLeft,
    Engine,
    EngineList,
    EngineState,
    Event,
    Fail,
    FetchList,
    HealthChanged,
    ListKind,
    LoadReport,
    Log,
    MessageReceived,
    Note,
    NoteKind,
    Outcome,
    Probe,
    ProbeEnded,
    QueryArrived,
    Refuse,
    Send,
    SendMessage,
    SetTerms,
    SetTimer,
    StreamBegan,
    Subscribe,
    TimerFired,
)
from hollowhitch.settings import parse_report, parse_settings

OUTCOMES = {
    "done": Outcome.OK,
    "err": Outcome.ERROR,
    "busy": Outcome.FULL,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NEVER_SENT,
}
STATES = {"IN": EngineState.READY, "LAME": EngineState.DRAINING, "OUT": EngineState.GONE}
LIST_KINDS = {
    "INCREMENTAL": ListKind.DELTA,
    "FULL": ListKind.FULL,
    "SAVED": ListKind.CACHED,
    "FAILED": ListKind.FAILED,
}
FLAG_COST_VALID, FLAG_CLIENT_RETRY = 1, 2  # bits of a query's last field
# The usage in an outcome is one integer: milliseconds of work times 4096, plus units of 4 MB of memory.
USAGE_TIME_FACTOR, USAGE_MEMORY_UNIT_MB = 4096, 4.0


class WireError(Exception):
    """A line that violates the simulator's protocol."""


def parse_load_report(text: str) -> LoadReport | None:
    """Return a load report; None for a dash."""
    return None if text == "-" else parse_report(text, ",")


def parse_int(text: str) -> int:
    """Return an integer; 0 for a dash."""
    return 0 if text == "-" else int(text)


def parse_optional(text: str) -> str | None:
    """Return a text; None for a dash or a zero."""
    return None if text in ("-", "0") else text


def parse_query(parts: list[str]) -> QueryArrived:
    """Return the event of a `demand` line."""
    flags = parse_int(parts[9])
    return QueryArrived(
        id=parts[1],
        class_name=parts[2],
        tenant=parse_optional(parts[3]),
        key=None if parts[4] == "-" else int(parts[4]),
        expires_in_us=parse_int(parts[5]),
        cost_us=parse_int(parts[6]) if flags & FLAG_COST_VALID else 0,
        memory_mb=float(parts[7]) if parts[7] != "-" else 0.0,
        data_set=int(float(parts[8])) if parts[8] != "-" else 0,
        is_retry=bool(flags & FLAG_CLIENT_RETRY),
    )


def parse_note(parts: list[str]) -> Note:
    """Return the event of a `hint_update` line."""
    kind_code, value = int(parts[2]), float(parts[4])
    if kind_code == 3:  # a wait; the value says for what
        return Note(
            parts[1],
            int(parts[3]),
            NoteKind.WAITING_FOR_BULK_LOAD if value == 2 else NoteKind.WAITING_FOR_MEMORY,
            value,
        )
    if kind_code not in (1, 2):
        raise WireError(f"unknown kind of hint {kind_code}")
    return Note(parts[1], int(parts[3]), NoteKind(kind_code), value)


def parse_outcome(parts: list[str]) -> AttemptEnded:
    """Return the event of a `returned` line."""
    usage = parse_int(parts[7])
    return AttemptEnded(
        id=parts[1],
        attempt=int(parts[2]),
        engine=parts[3],
        outcome=OUTCOMES.get(parts[4], Outcome.UNKNOWN),
        elapsed_us=parse_int(parts[5]),
        is_final=parts[6] == "1",
        work_us=usage // USAGE_TIME_FACTOR * 1000,
        memory_mb=usage % USAGE_TIME_FACTOR * USAGE_MEMORY_UNIT_MB,
        report=parse_load_report(parts[8]),
    )


def parse_data(text: str) -> bytes:
    """Return the bytes of hexadecimal text; none for a dash."""
    return b"" if text == "-" else bytes.fromhex(text)


# Lines that stand for one event, by their first part: the number of parts, and the parser.
EVENTS: dict[str, tuple[int, Callable[[list[str]], Event]]] = {
    "demand": (10, parse_query),
    "ack_first": (5, lambda p: StreamBegan(p[1], int(p[3]))),
    "hint_update": (6, parse_note),
    "returned": (9, parse_outcome),
    "left": (2, lambda p: ClientLeft(p[1])),
    "tick_due": (2, lambda p: TimerFired(int(p[1]))),
    "check_result": (
        5,
        lambda p: ProbeEnded(
            p[1], OUTCOMES.get(p[2], Outcome.UNKNOWN), parse_int(p[3]), parse_load_report(p[4])
        ),
    ),
    "memo": (3, lambda p: MessageReceived(int(p[1]), parse_data(p[2]))),
}


def parse_entry(parts: list[str]) -> Engine:
    """Return the engine of an `item` line."""
    if parts[0] != "item" or len(parts) != 8:
        raise WireError("expected an item of 8 parts")
    if parts[5] not in STATES:
        raise WireError(f"unknown engine state {parts[5]}")
    weight = 1.0 if parts[6] == "-" else float(parts[6])
    return Engine(
        parts[1], parts[2], parts[3], parse_int(parts[4]), STATES[parts[5]], weight, parse_int(parts[7])
    )


def format_action(action: Action) -> str:
    """Return the line for an action."""
    match action:
        case Send():
            return f"pass_on {action.id} {action.engine} {action.timeout_us}"
        case SetTerms():
            return f"limits_for {action.id} {action.memory_mb:.10g} {action.priority}"
        case Refuse():
            return f"deny {action.id} {action.retry_after_us}"
        case Fail():
            return f"surrender {action.id}"
        case CancelAttempt():
            return f"drop_attempt {action.id} {action.attempt}"
        case SetTimer():
            return f"remind {action.label} {action.delay_us}"
        case Probe():
            return f"touch {action.engine}"
        case SendMessage():
            return f"memo_to {'*' if action.gateway is None else action.gateway} {action.data.hex() or '-'}"
        case Log():
            return f"emit {action.text}"
        case Subscribe():
            return "track 1"
        case FetchList():
            return "snapshot"
    raise TypeError(f"no line of the protocol for {action!r}")


class ControllerHost:
    """The instances of this process; each has a controller of its own, and they share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Controller] = {}
        self.lists: dict[int, tuple[Engine, ...]] = {}
        self.now_us = 0
        self.instance: int | None = None
        self.reply_lines: list[str] = []
        self.context_instance: int | None = None

    def _add_reply(self, instance: int, lines: list[str]) -> None:
        if lines and instance != self.context_instance:
            self.reply_lines.append(f"context {instance}")
            self.context_instance = instance
        self.reply_lines += lines

    def _run_controller(self, call: Callable[[], list[Action]]) -> None:
        assert self.instance is not None
        try:
            actions = call()
        except Exception as error:  # the protocol has a line for a crash of the controller
            text = " ".join(f"{type(error).__name__}: {error}".split())
            self._add_reply(self.instance, [f"fault {text}"])
            return
        # The protocol has no line for a change of an engine's health.
        reported = (a for a in actions if not isinstance(a, HealthChanged))
        self._add_reply(self.instance, [format_action(a) for a in reported])

    def _open_instance(self, line: str) -> None:
        parts = line.split(" ", 2)
        if len(parts) != 3:
            raise WireError("open_instance needs 3 parts")
        boot_info = json.loads(parts[2])
        if not isinstance(boot_info, dict):
            raise WireError("the settings in open_instance are not a JSON object")
        self.instances[self._current_instance()] = Controller(parse_settings(boot_info), int(parts[1]))

    def _current_instance(self) -> int:
        if self.instance is None:
            raise WireError("no instance is selected")
        return self.instance

    def handle_line(self, line: str, lines: Iterator[str]) -> None:
        """Process a line of a batch; a manifest reads its items from `lines`."""
        parts = line.split(" ")
        message = parts[0]
        if message == "at":
            if len(parts) != 2:
                raise WireError("at needs 2 parts")
            self.instance = int(parts[1])
        elif message == "open_instance":
            self._open_instance(line)
        elif message == "down":
            self.instances.pop(self._current_instance(), None)
        elif message == "manifest":
            if len(parts) != 3:
                raise WireError("manifest needs 3 parts")
            self.lists[int(parts[1])] = tuple(
                parse_entry(next(lines).split(" ")) for _ in range(int(parts[2]))
            )
        elif message == "discovery":
            if len(parts) != 4 or parts[1] not in LIST_KINDS:
                raise WireError("discovery needs 4 parts and a known kind of list")
            list_kind = LIST_KINDS[parts[1]]
            entries = () if list_kind is ListKind.FAILED else self.lists.get(int(parts[3]))
            if entries is None:
                raise WireError(f"no manifest {parts[3]}")
            self._pass_event(EngineList(list_kind, entries))
        elif message in EVENTS:
            part_count, parse = EVENTS[message]
            if len(parts) != part_count:
                raise WireError(f"{message} needs {part_count} parts, has {len(parts)}")
            self._pass_event(parse(parts))
        else:
            raise WireError(f"unknown message {message!r}")

    def _pass_event(self, event: Event) -> None:
        controller = self.instances.get(self._current_instance())
        if controller is None:
            raise WireError(f"instance {self.instance} is not open")
        self._run_controller(lambda: controller.handle(self.now_us, event))

    def handle_batch(self, head: str, lines: Iterator[str]) -> str:
        """Process a batch from its first line `head` on, and return the reply."""
        parts = head.split(" ")
        if parts[0] != "frame" or len(parts) != 3:
            raise WireError("expected a frame of 3 parts")
        self.now_us, batch_number = int(parts[1]), int(parts[2])
        self.reply_lines, self.instance, self.context_instance = [], None, None
        for line in lines:
            if line == "go":
                return "".join(f"{x}\n" for x in [*self.reply_lines, f"eor {batch_number}"])
            self.handle_line(line, lines)
        raise WireError("the batch ends without go")


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends, and return the exit status.

    A malformed line ends the process with status 2 and one message on `errors`.
    """
    host, line_number, last_line = ControllerHost(), 0, ""

    def numbered_lines() -> Iterator[str]:
        nonlocal line_number, last_line
        for line in source:
            line_number, last_line = line_number + 1, line.rstrip("\n")
            yield last_line

    lines = numbered_lines()
    try:
        for head in lines:
            sink.write(host.handle_batch(head, lines))
            sink.flush()
    except (WireError, ValueError, TypeError, KeyError, StopIteration, RuntimeError, UnicodeError) as error:
        description = " ".join(f"{type(error).__name__}: {error}".split())
        errors.write(f"adapter: line {line_number}: {description}: {last_line[:200]!r}\n")
        return 2
    return 0


def main() -> int:
    """Serve the simulator on standard input and output."""
    return serve(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
