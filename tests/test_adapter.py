"""The wire: parsing, isolation, malformed input."""

from __future__ import annotations

import io
import json

import pytest

from hollowhitch import adapter

BOOT = {
    "replicasOfMe": 2,
    "position": 0,
    "areas": ["z"],
    "myZone": "z",
    "kinds": ["k"],
    "unheardOf": 1,
    "classes": [{"name": "q", "goalTimeUs": 1000000, "deadlineUs": 6000000, "semantics": "retryable"}],
    "bounds": {"maxAttempts": 4, "cancel": True},
    "rules": {"drainGraceUs": 1000000},
    "extra": {"kindCores": [8], "sizeMb": [16384], "parallelism": [1]},
    "granularityUs": 5000,
    "loadInfo": {"fields": ["cpu", "novel"], "how": "answers"},
}


def opening(instance: int, seed: int = 1, **changes) -> list[str]:
    return [
        f"at {instance}",
        f"open_instance {seed} {json.dumps({**BOOT, **changes})}",
        "manifest 0 2",
        "item 10.0.0.1:80 z k 0 IN 1 -",
        "item 10.0.0.2:80 z k 0 IN 1.5 -",
        "discovery SAVED 1 0",
    ]


def batch(turn: int, at: int, *lines: str) -> str:
    return "\n".join([f"frame {at} {turn}", *lines, "go"]) + "\n"


def play(*batches: str) -> tuple[int, str, str]:
    out, err = io.StringIO(), io.StringIO()
    return adapter.serve(io.StringIO("".join(batches)), out, err), out.getvalue(), err.getvalue()


def test_a_query_is_sent_and_its_outcome_read():
    code, out, err = play(
        batch(1, 1000, *opening(3)),
        batch(2, 6000, "at 3", "demand rq_a q - - 6000000 200000 100 4 1"),
        batch(3, 9000, "at 3", "returned rq_a 0 10.0.0.1:80 done 3000 1 4096 cpu:0.5,novel:3"),
        batch(4, 9500),
    )
    assert code == 0 and err == ""
    assert "context 3\npass_on rq_a 10.0.0." in out and out.endswith("eor 4\n")


def test_an_unknown_outcome_code_may_have_run():
    cls = [{**BOOT["classes"][0], "semantics": "fragile"}]
    _, out, _ = play(
        batch(1, 1000, *opening(0, classes=cls)),
        batch(2, 2000, "at 0", "demand a q - - 6000000 200000 100 4 1"),
        batch(3, 3000, "at 0", "returned a 0 10.0.0.1:80 eflooded 3000 0 - -"),
    )
    assert "surrender a" in out and "deny" not in out


@pytest.mark.parametrize(
    "line,what",
    [
        ("nonsense 1", "unknown message"),
        ("demand a q", "parts"),
        ("tick_due x", "invalid literal"),
        ("discovery SAVED 1 9", "manifest 9"),
        ("manifest 0 1", "item"),
        ("hint_update a 9 0 1 e", "sort"),
        ("open_instance 1 {", "JSON"),
        ("open_instance 1 {}", "bounds"),
        ("memo 1 zz", "hex"),
        ("demand a ghost - - 5 5 5 5 1", None),
    ],
)
def test_malformed_lines_end_with_one_plain_message(line, what):
    code, out, err = play(batch(1, 1000, *opening(0)), batch(2, 2000, "at 0", line))
    if what is None:  # a class that the settings never named is the decision code's to report
        assert code == 0 and "fault KeyError" in out
    else:
        assert code != 0 and err.count("\n") == 1 and what in err and "line" in err and "Traceback" not in err


def test_truncated_batch_ends_with_a_message():
    code, _, err = play("frame 1 1\nat 0\n")
    assert code != 0 and "without go" in err


def test_contradicting_settings_name_the_key():
    code, _, err = play(batch(1, 1, *opening(0, extra={"kindCores": [8, 4]})))
    assert code != 0 and "kindCores" in err


def test_crash_in_decisions_is_a_fault(monkeypatch):
    monkeypatch.setattr(adapter.Controller, "handle", lambda *_: 1 / 0)
    _, out, _ = play(batch(1, 1, *opening(0)))
    assert "fault ZeroDivisionError: division by zero" in out


def test_one_process_acts_like_several():
    def day(*instances: int) -> list[str]:
        batches = [batch(1, 1000, *(x for i in instances for x in opening(i, seed=i)))]
        for turn in range(2, 40):
            asks = [(f"at {i}", f"demand r{turn}_{i} q - - 900000 200000 9 4 1") for i in instances]
            lines = [x for pair in asks for x in pair]
            batches.append(batch(turn, turn * 7000, *lines))
        return play(*batches)[1].splitlines()

    def own(lines: list[str], instance: int) -> list[str]:
        said, current = [], None
        for x in lines:
            if x.startswith("context"):
                current = int(x.split()[1])
            elif current == instance and not x.startswith("eor"):
                said.append(x)
        return said

    together = day(0, 1)
    assert own(together, 0) == own(day(0), 0) and own(together, 1) == own(day(1), 1)
    assert own(together, 0)


def test_down_forgets_and_a_new_life_may_start_in_the_same_batch():
    code, out, _ = play(
        batch(1, 1000, *opening(0)),
        batch(2, 2000, "at 0", "demand a q - - 900000 9000 9 4 1"),
        batch(3, 3000, "at 0", "down", *opening(0)),
        batch(4, 4000, "at 0", "tick_due 1"),
    )
    assert code == 0 and out.endswith("eor 4\n")


def test_ask_mode_tracks_at_once():
    assert "track 1" in play(batch(1, 1, *opening(0, discovery="subscribe")))[1]
