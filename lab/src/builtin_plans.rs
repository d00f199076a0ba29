//! The plans that come with the program.

/// Names and TOML texts of the plans.
pub const PLANS: &[(&str, &str)] = &[
    ("black-hole", include_str!("../plans/black-hole.toml")),
    ("burst", include_str!("../plans/burst.toml")),
    ("calm", include_str!("../plans/calm.toml")),
    ("client-links", include_str!("../plans/client-links.toml")),
    ("counter-flush", include_str!("../plans/counter-flush.toml")),
    ("counter-out", include_str!("../plans/counter-out.toml")),
    ("counter-slow", include_str!("../plans/counter-slow.toml")),
    ("crash-loop", include_str!("../plans/crash-loop.toml")),
    ("demo", include_str!("../plans/demo.toml")),
    ("discovery-silent", include_str!("../plans/discovery-silent.toml")),
    ("discovery-stale", include_str!("../plans/discovery-stale.toml")),
    ("flapping-link", include_str!("../plans/flapping-link.toml")),
    ("flapping-server", include_str!("../plans/flapping-server.toml")),
    ("half-open", include_str!("../plans/half-open.toml")),
    ("hot-customer", include_str!("../plans/hot-customer.toml")),
    ("joining-servers", include_str!("../plans/joining-servers.toml")),
    ("leaving-servers", include_str!("../plans/leaving-servers.toml")),
    ("lossy-link", include_str!("../plans/lossy-link.toml")),
    ("lost-zone", include_str!("../plans/lost-zone.toml")),
    ("mass-kill", include_str!("../plans/mass-kill.toml")),
    ("news-between-gateways", include_str!("../plans/news-between-gateways.toml")),
    ("one-way-split", include_str!("../plans/one-way-split.toml")),
    ("paused-gateway", include_str!("../plans/paused-gateway.toml")),
    ("reload", include_str!("../plans/reload.toml")),
    ("reset-midway", include_str!("../plans/reset-midway.toml")),
    ("retry-storm", include_str!("../plans/retry-storm.toml")),
    ("rolling-restart", include_str!("../plans/rolling-restart.toml")),
    ("slow-link", include_str!("../plans/slow-link.toml")),
    ("slow-servers", include_str!("../plans/slow-servers.toml")),
    ("split-in-three", include_str!("../plans/split-in-three.toml")),
    ("split-in-two", include_str!("../plans/split-in-two.toml")),
    ("uneven", include_str!("../plans/uneven.toml")),
    ("upgrade", include_str!("../plans/upgrade.toml")),
];

/// Returns the text of the plan with this name.
pub fn plan(name: &str) -> Option<&'static str> {
    PLANS.iter().find_map(|(known, text)| (*known == name).then_some(*text))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::plan::Plan;

    #[test]
    fn each_plan_is_valid_and_has_the_name_of_its_file() {
        for (name, text) in PLANS {
            let plan = Plan::read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert_eq!(plan.name, *name);
            assert!(!plan.about.is_empty(), "{name} has no description");
        }
    }
}
