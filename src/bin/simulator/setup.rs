//! Parses the settings text, lines of `path=value`, into the library's settings.

use oakfall::{
    Class, Counter, DedupScope, Idempotency, Limits, LoadReports, Penalties, Plan, Rules, Settings,
};
use std::collections::HashMap;

/// The settings of one gateway instance.
pub struct Setup {
    pub settings: Settings,
    /// Names of the values in a load report, in their order on the wire.
    pub report_names: Vec<String>,
}

/// The values by path.
struct Values<'a>(HashMap<&'a str, &'a str>);

impl<'a> Values<'a> {
    fn raw(&self, path: &str) -> Result<&'a str, String> {
        self.0.get(path).copied().ok_or_else(|| format!("setting {path} is missing"))
    }

    fn number(&self, path: &str) -> Result<f64, String> {
        let text = self.raw(path)?;
        let number = text.parse().ok().filter(|n: &f64| n.is_finite() && *n >= 0.0);
        number.ok_or_else(|| format!("setting {path} is not a non-negative number: {text:?}"))
    }

    fn integer(&self, path: &str) -> Result<u32, String> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| format!("setting {path} is not a non-negative integer: {text:?}"))
    }

    fn boolean(&self, path: &str) -> Result<bool, String> {
        let text = self.raw(path)?;
        text.parse().map_err(|_| format!("setting {path} is not true or false: {text:?}"))
    }

    fn choice<T: Copy>(&self, path: &str, choices: &[(&str, T)]) -> Result<T, String> {
        let text = self.raw(path)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        found.map(|(_, value)| *value).ok_or_else(|| format!("setting {path} has an unknown value: {text:?}"))
    }
}

pub fn parse(text: &str) -> Result<Setup, String> {
    let values = Values(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes = (0..values.integer("categories.count")?)
        .map(|index| class(&values, index))
        .collect::<Result<_, _>>()?;
    let plans = (0..values.integer("tiers-of-service.count")?)
        .map(|index| plan(&values, index))
        .collect::<Result<_, _>>()?;
    let counter = if values.boolean("domain.may-count")? {
        let (timeout_ms, call_cost) =
            (values.number("domain.counter-timeout-ms")?, values.number("domain.count-fee")?);
        Some(Counter { timeout_ms, call_cost })
    } else {
        None
    };
    let zones = values.raw("zones")?.split(',').count() as u32;
    let zone = values.integer("locality")?;
    if zone >= zones {
        return Err(format!("setting locality is out of range: zone {zone} of {zones}"));
    }
    let settings = Settings {
        gateways: values.integer("balancers")?,
        position: values.integer("position")?,
        zone,
        tick_ms: values.number("granularity-ms")?,
        classes,
        plans,
        counter,
        max_units: values.number("domain.units-top")?,
        units_are_estimates: values.boolean("domain.trued-up")?,
        limits: Limits {
            max_attempts: values.integer("limits.try-limit")?,
            hedging: values.boolean("limits.may-duplicate")?,
            cancel: values.boolean("limits.cancel")?,
            probes: values.boolean("limits.probing")?,
            peers: values.boolean("limits.peers")?,
            retry_after: values.boolean("limits.retry-after")?,
            max_retry_after_ms: values.number("limits.max-retry-after-ms")?,
        },
        penalties: Penalties {
            cross_zone: values.number("penalties.cross-zone")?,
            waste: values.number("penalties.waste")?,
            probe: values.number("penalties.probe")?,
            late_fail: values.number("penalties.late-fail")?,
        },
        rules: Rules {
            deadline_grace_ms: values.number("rules.answer-slack-ms")?,
            cold_capacity: values.number("rules.cold-from")?,
            warm_up_ms: values.number("rules.warm-up-ms")?,
            drain_grace_ms: values.number("rules.drain-grace-ms")?,
            overload_multiple: values.number("rules.fall-multiple")?,
            overload_ms: values.number("rules.fall-ms")?,
            max_poll_interval_ms: values.number("rules.ask-within-ms")?,
            early_refusal_share: 0.0,
            retry_budget: None,
        },
        load_reports: values.choice(
            "report.how",
            &[
                ("off", LoadReports::Off),
                ("inline", LoadReports::Responses),
                ("on_probe", LoadReports::Probes),
            ],
        )?,
        list_polled: values.choice("membership-mode", &[("push", false), ("ask", true)])?,
    };
    let names = values.raw("report.names").unwrap_or("");
    let report_names = names.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect();
    Ok(Setup { settings, report_names })
}

fn class(values: &Values, index: u32) -> Result<Class, String> {
    let path = |key: &str| format!("categories.{index}.{key}");
    let scopes = [("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)];
    let idempotency = match values
        .choice(&path("effect"), &[("read_like", 0), ("idempotency_key", 1), ("non_idempotent", 2)])?
    {
        0 => Idempotency::Idempotent,
        1 => Idempotency::Keyed {
            scope: values.choice(&path("group"), &scopes)?,
            window_ms: values.number(&path("window-ms"))?,
        },
        _ => Idempotency::NonIdempotent,
    };
    Ok(Class {
        owner: 0,
        target_ms: values.number(&path("aim-ms"))?,
        deadline_ms: values.number(&path("give-up-ms"))?,
        worth: values.number(&path("value"))?,
        late_worth: values.number(&path("late-worth"))?,
        idempotency,
        stream: values.boolean(&path("stream"))?,
    })
}

fn plan(values: &Values, index: u32) -> Result<Plan, String> {
    let path = |key: &str| format!("tiers-of-service.{index}.{key}");
    Ok(Plan {
        rate: values.number(&path("refill"))?,
        burst: values.number(&path("store-size"))?,
        max_in_flight: values.integer(&path("max-out"))?,
        worth_factor: values.number(&path("pays"))?,
        excess_worth: values.number(&path("extra-worth"))?,
        excess_cost: values.number(&path("excess-cost"))?,
        ceiling_rate: values.number(&path("cap-rate"))?,
        ceiling_burst: values.number(&path("cap-depth"))?,
        ceiling_slack: values.number(&path("ceiling-slack"))?,
    })
}
