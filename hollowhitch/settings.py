"""Parser of the settings object, whose format the simulator and the deployment share."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from hollowhitch.policy.interface import (
    DedupScope,
    EngineKind,
    InvalidFieldError,
    Limits,
    LoadReport,
    MemoryShortagePolicy,
    Prices,
    QueryClass,
    RetrySafety,
    Rules,
    Settings,
    Tenant,
)

# Values of the settings `semantics`, `keyScope` and `whenShort`.
RETRY_SAFETIES = {
    "retryable": RetrySafety.SAFE,
    "dedup": RetrySafety.DEDUPLICATED,
    "fragile": RetrySafety.UNSAFE,
}
DEDUP_SCOPES = {scope.value: scope for scope in DedupScope}
MEMORY_SHORTAGE_POLICIES = {
    "queue": MemoryShortagePolicy.WAIT,
    "trim": MemoryShortagePolicy.SHRINK,
    "swap": MemoryShortagePolicy.PAGE,
}
# Names in a load report, and the fields of LoadReport that they stand for.
REPORT_FIELDS = {
    "cpu": "cpu_share",
    "active": "running",
    "waiting": "waiting",
    "x0": "memory_share",
    "x1": "disk_share",
    "avg_ms": "latency_ms",
    "rps": "served_per_s",
    "err_rps": "errors_per_s",
}
EMPTY_REPORT: dict[str, float | None] = dict.fromkeys(REPORT_FIELDS.values())

# Keys of the settings, by the fields of `Settings` and its parts that check their values.
FIELD_KEYS = {
    "target_us": "classes[].goalTimeUs",
    "deadline_us": "classes[].deadlineUs",
    "threads": "extra.parallelism",
    "dedup_window_us": "classes[].repeatWindowUs",
    "only_kinds": "classes[].kindsOnly",
    "only_zones": "classes[].areasOnly",
    "gateway_count": "replicasOfMe",
    "gateway_index": "position",
    "classes": "classes",
    "retry_budget_window_us": "rules.budgetWindowUs",
    "max_attempts": "bounds.maxAttempts",
}

REQUIRED = object()  # passed instead of a default where the key must be present


class SettingsError(ValueError):
    """Error in the settings: a missing key or an unusable value. The message names the key."""


def parse_report(text: str, separator: str) -> LoadReport:
    """Return the load report in a text of `name:value` pairs.

    Unknown names are ignored, and so are values other than finite numbers of at least 0: one NaN would stay
    in the controller's averages for good.
    """
    fields = dict(EMPTY_REPORT)
    for pair in text.split(separator):
        name, _, value = pair.partition(":")
        if name in REPORT_FIELDS and 0 <= (number := _parse_float(value)) < math.inf:
            fields[REPORT_FIELDS[name]] = number
    return LoadReport(**fields)


def _parse_float(text: str) -> float:
    """Return the number in a text, or NaN if the text is not a number."""
    try:
        return float(text)
    except ValueError:
        return math.nan


class Section:
    """One JSON object of the settings, with typed access to its values.

    A null value counts as a missing key. All methods raise SettingsError, whose message names the key, if a
    required key is missing or a value is unusable.
    """

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"{path or 'the top level'} must be an object")
        self.raw, self.path = raw, path

    def key(self, name: str) -> str:
        """Return the path of a key from the top level, for messages."""
        return f"{self.path}.{name}" if self.path else name

    def get(self, name: str, default: Any = REQUIRED) -> Any:
        """Return a value of any type, or the default."""
        value = self.raw.get(name)
        if value is not None:
            return value
        if default is REQUIRED:
            raise SettingsError(f"{self.key(name)} is missing")
        return default

    def number(self, name: str, default: Any = REQUIRED) -> Any:
        """Return a finite number, or None if that is the default."""
        return self.check_number(name, self.get(name, default))

    def integer(self, name: str, default: Any = REQUIRED) -> Any:
        """Return a number without its fractional part, or None if that is the default."""
        value = self.number(name, default)
        return value if value is None else int(value)

    def check_number(self, name: str, value: Any) -> Any:
        """Return `value`. Raise SettingsError if it is neither a finite number nor None."""
        if value is None:
            return None
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise SettingsError(f"{self.key(name)} must be a finite number, not {value!r}")
        return value

    def flag(self, name: str) -> bool:
        """Return a value as a boolean, or False if the key is missing."""
        return bool(self.get(name, False))

    def section(self, name: str, default: Any = REQUIRED) -> Section:
        """Return a JSON object."""
        return Section(self.get(name, default), self.key(name))

    def sections(self, name: str, default: Any = REQUIRED) -> list[Section]:
        """Return a list of JSON objects."""
        rows = self.get(name, default)
        if not isinstance(rows, list | tuple):
            raise SettingsError(f"{self.key(name)} must be a list")
        return [Section(row, f"{self.key(name)}[{i}]") for i, row in enumerate(rows)]

    def text(self, name: str, default: Any = REQUIRED) -> str:
        """Return a non-empty string."""
        value = self.get(name, default)
        if not isinstance(value, str) or not value:
            raise SettingsError(f"{self.key(name)} must be a non-empty string, not {value!r}")
        return value

    def names(self, name: str) -> tuple[str, ...]:
        """Return a list of strings, which is empty if the key is missing."""
        values = self.get(name, ())
        if not isinstance(values, list | tuple) or not all(isinstance(v, str) for v in values):
            raise SettingsError(f"{self.key(name)} must be a list of strings")
        return tuple(values)

    def column(self, name: str, default: Any, list_name: str, count: int) -> list[Any]:
        """Return a list with one value for each of the `count` entries of the list `list_name`.

        If the key is missing, each value is the default.
        """
        values = self.get(name, [default] * count)
        if not isinstance(values, list) or len(values) != count:
            raise SettingsError(f"{self.key(name)} must have one entry for each entry of {list_name}")
        return values

    def choice(self, name: str, choices: Mapping[str, Any], default: Any = REQUIRED) -> Any:
        """Return what a string stands for in `choices`; the default is a key of `choices` too."""
        value = self.get(name, default)
        if value not in choices:
            raise SettingsError(f"{self.key(name)}: {value!r} is not a known value")
        return choices[value]


def parse_settings(raw: Any, path: str = "") -> Settings:
    """Return the settings in a decoded JSON object; unknown keys are ignored.

    Raise SettingsError if a value is missing or unusable; `path` precedes the key in its message.
    """
    root = Section(raw, path)
    bounds, rules = root.section("bounds"), root.section("rules")
    extra, prices, load_info = (root.section(name, {}) for name in ("extra", "deductions", "loadInfo"))
    kinds, class_rows = root.names("kinds"), root.sections("classes")
    cores = extra.column("kindCores", None, "kinds", len(kinds))
    sizes_mb = extra.column("sizeMb", None, "kinds", len(kinds))
    threads = extra.column("parallelism", 1, "classes", len(class_rows))
    bulk_loads = extra.column("holdsTables", False, "classes", len(class_rows))
    waits_for_bulk_loads = extra.column("yieldsToLoads", False, "classes", len(class_rows))
    for name, values in (("kindCores", cores), ("sizeMb", sizes_mb), ("parallelism", threads)):
        for value in values:
            extra.check_number(name, value)
    try:
        return Settings(
            gateway_index=root.integer("position", 0),
            gateway_count=root.integer("replicasOfMe", 1),
            zone=root.get("myZone", None),
            zones=root.names("areas"),
            kinds=tuple(EngineKind(*row) for row in zip(kinds, cores, sizes_mb, strict=True)),
            classes=tuple(
                _parse_query_class(section, *row)
                for section, *row in zip(class_rows, threads, bulk_loads, waits_for_bulk_loads, strict=True)
            ),
            tenants=tuple(
                Tenant(t.get("name"), t.number("quotaPerS", None), float(t.number("share", 0)))
                for t in root.sections("accounts", ())
            ),
            over_share_worth=float(root.number("overShareWorth", 1)),
            limits=Limits(
                max_attempts=bounds.integer("maxAttempts"),
                cancel=bounds.flag("cancel"),
                second_copies=bounds.flag("secondCopies"),
                probes=bounds.flag("probes"),
                messages=bounds.flag("peerMessages"),
                retry_after_us=bounds.integer("maxRetryAfterUs", 0) if bounds.flag("retryAfter") else None,
            ),
            rules=_parse_rules(rules),
            prices=_parse_prices(prices),
            subscribes_to_list=root.get("discovery", None) == "subscribe",
            reports_with_answers=load_info.get("how", None) == "answers",
            reports_with_probes=load_info.get("how", None) in ("answers", "probe"),
            weight_is_size=root.get("weights", None) in ("nominal", "rough"),
            tick_us=root.integer("granularityUs", 0) or 1000,
            engines_take_grants=extra.flag("grantsCount"),
            engines_take_priorities=extra.flag("lanesCount"),
            max_grant_share=extra.number("mostGrant", None),
            engines_report_usage=extra.flag("bills"),
            progress_us=extra.integer("progressUs", 0),
            memory_shortage_policy=MEMORY_SHORTAGE_POLICIES.get(extra.get("whenShort", "")),
        )
    except SettingsError:
        raise
    except InvalidFieldError as e:
        owner = f" of class {e.class_name!r}" if e.class_name else ""
        raise SettingsError(f"{root.key(FIELD_KEYS[e.field])}{owner} {e.requirement}") from None
    except ValueError as e:
        raise SettingsError(f"{path or 'settings'}: {e}") from None


def _parse_query_class(
    section: Section, threads: Any, is_bulk_load: Any, waits_for_bulk_loads: Any
) -> QueryClass:
    return QueryClass(
        name=section.get("name"),
        target_us=section.integer("goalTimeUs"),
        target_work_factor=float(section.number("aimStretch", 0)),
        deadline_us=section.integer("deadlineUs"),
        worth=float(section.number("worth", 1)),
        late_worth_share=float(section.number("lateShare", 0)),
        retry_safety=section.choice("semantics", RETRY_SAFETIES),
        dedup_scope=section.choice("keyScope", DEDUP_SCOPES, "all"),
        dedup_window_us=section.integer("repeatWindowUs", 0),
        in_order=section.flag("sequential"),
        threads=int(threads),
        is_bulk_load=bool(is_bulk_load),
        waits_for_bulk_loads=bool(waits_for_bulk_loads),
        only_zones=section.names("areasOnly") or None,
        only_kinds=section.names("kindsOnly") or None,
    )


# Fields of Prices, and their keys in the settings.
PRICE_KEYS = {
    "cross_zone": "crossZone",
    "waste": "waste",
    "probe": "probe",
    "late_fail": "lateFail",
    "message": "peer",
    "handshake": "handshake",
    "connection": "connection",
    "discovery": "discovery",
}


def _parse_prices(deductions: Section) -> Prices:
    prices = {name: float(deductions.number(key, 0)) for name, key in PRICE_KEYS.items()}
    for name, price in prices.items():
        if price < 0:
            key = deductions.key(PRICE_KEYS[name])
            raise SettingsError(f"{key} must not be negative, not {price!r}")
    return Prices(**prices)


def _parse_rules(rules: Section) -> Rules:
    retry_budget_share = rules.number("extraPerRequest", None)
    return Rules(
        answer_slack_us=rules.integer("answerSlackUs", 0),
        drain_grace_us=rules.integer("drainGraceUs", 0),
        list_max_age_us=rules.integer("mustAskInUs", 0) or None,
        start_capacity_share=float(rules.number("startCapacity", 1)),
        slow_start_us=rules.integer("coldUs", 0),
        slow_start_multiple=float(rules.number("tipMultiple", 0)),
        slow_start_window_us=rules.integer("tipAfterUs", 0),
        key_delay_us=rules.integer("keyRestUs", 0),
        retry_budget_share=float(retry_budget_share) if retry_budget_share is not None else None,
        retry_budget_free=float(rules.number("freeResends", 0)),
        retry_budget_window_us=rules.integer("budgetWindowUs", 0),
    )
