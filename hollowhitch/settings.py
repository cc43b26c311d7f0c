"""The settings object, as the simulator and the deployment both word it, turned into `Settings`."""

from __future__ import annotations

from typing import Any

from hollowhitch.policy.interface import (
    Effect,
    Kind,
    Limits,
    LoadReport,
    Prices,
    QueryClass,
    Rules,
    Scope,
    Settings,
    Tenant,
    WhenShort,
)

EFFECTS = {"retryable": Effect.SAFE, "dedup": Effect.KEYED, "fragile": Effect.UNSAFE}
WHEN_SHORT = {"queue": WhenShort.WAIT, "trim": WhenShort.SHRINK, "swap": WhenShort.PAGE}
REPORT_FIELDS = {
    "cpu": "util",
    "active": "running",
    "waiting": "waiting",
    "x0": "memory",
    "x1": "disks",
    "avg_ms": "latency_ms",
    "rps": "served_per_s",
    "err_rps": "errors_per_s",
}
NO_REPORT: dict[str, float | None] = dict.fromkeys(REPORT_FIELDS.values())


class SettingsError(ValueError):
    """Settings that lack a key, or hold one that cannot be used."""


def parse_report(text: str, between: str) -> LoadReport:
    """A load report: name:value pairs; names nobody knows are passed over."""
    found = dict(NO_REPORT)
    for pair in text.split(between):
        name, _, value = pair.partition(":")
        if name in REPORT_FIELDS:
            found[REPORT_FIELDS[name]] = float(value)
    return LoadReport(**found)


def parse_settings(info: dict[str, Any]) -> Settings:
    """Turn the start-up object into settings; keys nobody knows are passed over."""

    def need(table: dict[str, Any], key: str) -> Any:
        if key not in table:
            raise SettingsError(f"settings lack {key}")
        return table[key]

    extra, bounds, rules = info.get("extra") or {}, need(info, "bounds"), need(info, "rules")
    prices, load = info.get("deductions") or {}, info.get("loadInfo") or {}
    names = info.get("kinds") or []
    cores, sizes = extra.get("kindCores") or [None] * len(names), extra.get("sizeMb") or [None] * len(names)
    for key, column in (("kindCores", cores), ("sizeMb", sizes)):
        if len(column) != len(names):
            raise ValueError(f"{key} does not match kinds")
    rows = need(info, "classes")

    def column(key: str, default: Any) -> list[Any]:
        values = extra.get(key)
        if values is None:
            return [default] * len(rows)
        if len(values) != len(rows):
            raise ValueError(f"{key} does not match classes")
        return values

    threads, loads = column("parallelism", 1), column("holdsTables", False)
    waits = column("yieldsToLoads", False)
    classes = []
    for i, c in enumerate(rows):
        effect = need(c, "semantics")
        if effect not in EFFECTS:
            raise ValueError(f"semantics: {effect!r} is unknown")
        classes.append(
            QueryClass(
                name=need(c, "name"),
                aim_us=int(need(c, "goalTimeUs")),
                aim_stretch=float(c.get("aimStretch") or 0),
                deadline_us=int(need(c, "deadlineUs")),
                worth=float(c.get("worth", 1)),
                late_share=float(c.get("lateShare") or 0),
                effect=EFFECTS[effect],
                scope=Scope(c.get("keyScope") or "all"),
                repeat_window_us=int(c.get("repeatWindowUs") or 0),
                in_order=bool(c.get("sequential")),
                threads=int(threads[i]),
                is_load=bool(loads[i]),
                waits_for_loads=bool(waits[i]),
                only_zones=tuple(c["areasOnly"]) if c.get("areasOnly") else None,
                only_kinds=tuple(c["kindsOnly"]) if c.get("kindsOnly") else None,
            )
        )
    share = rules.get("extraPerRequest")
    return Settings(
        gateway=int(info.get("position", 0)),
        gateways=int(info.get("replicasOfMe", 1)),
        zone=info.get("myZone"),
        zones=tuple(info.get("areas") or ()),
        kinds=tuple(Kind(*row) for row in zip(names, cores, sizes, strict=True)),
        classes=tuple(classes),
        tenants=tuple(
            Tenant(t["name"], t.get("quotaPerS"), float(t.get("share") or 0))
            for t in info.get("accounts") or ()
        ),
        over_share_worth=float(info.get("overShareWorth", 1)),
        limits=Limits(
            max_attempts=int(need(bounds, "maxAttempts")),
            cancel=bool(bounds.get("cancel")),
            second_copies=bool(bounds.get("secondCopies")),
            probes=bool(bounds.get("probes")),
            messages=bool(bounds.get("peerMessages")),
            retry_after_us=int(bounds.get("maxRetryAfterUs") or 0) if bounds.get("retryAfter") else None,
        ),
        rules=Rules(
            answer_slack_us=int(rules.get("answerSlackUs") or 0),
            drain_grace_us=int(rules.get("drainGraceUs") or 0),
            must_ask_us=int(rules["mustAskInUs"]) if rules.get("mustAskInUs") else None,
            start_capacity=float(rules.get("startCapacity", 1)),
            cold_us=int(rules.get("coldUs") or 0),
            tip_multiple=float(rules.get("tipMultiple") or 0),
            tip_after_us=int(rules.get("tipAfterUs") or 0),
            key_rest_us=int(rules.get("keyRestUs") or 0),
            budget_share=float(share) if share is not None else None,
            budget_free=float(rules.get("freeResends") or 0),
            budget_window_us=int(rules.get("budgetWindowUs") or 0),
        ),
        prices=Prices(
            cross_zone=float(prices.get("crossZone") or 0),
            waste=float(prices.get("waste") or 0),
            probe=float(prices.get("probe") or 0),
            late_fail=float(prices.get("lateFail") or 0),
            message=float(prices.get("peer") or 0),
        ),
        asks_for_list=info.get("discovery") == "subscribe",
        reports_with_answers=load.get("how") == "answers",
        reports_with_probes=load.get("how") in ("answers", "probe"),
        weight_is_size=info.get("weights") in ("nominal", "rough"),
        tick_us=int(info.get("granularityUs") or 1000),
        grants=bool(extra.get("grantsCount")),
        priorities=bool(extra.get("lanesCount")),
        most_grant=extra.get("mostGrant"),
        bills=bool(extra.get("bills")),
        progress_us=int(extra.get("progressUs") or 0),
        when_short=WHEN_SHORT.get(extra.get("whenShort")),
    )
