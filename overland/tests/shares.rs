//! What all gateways together send a backend that is cold, or may be, against the bound of the rules.

mod bounds;

use bounds::bounds;
use overland::copy::StateReplica;
use overland::news::ToProxy;
use overland::shares::Shares;

fn names(gateways: std::ops::Range<usize>) -> Vec<String> {
    gateways.map(|number| format!("g-{number}")).collect()
}

/// What a gateway goes by, by its own list of all.
fn shares(own: &str, list: &[String]) -> Shares {
    Shares::new(&bounds(), own, list.iter().map(String::as_str))
}

/// The most that these gateways send this backend in any second.
fn most_in_a_second(gateways: &[Shares], backend: &str, cold_per_s: f64) -> f64 {
    let each = gateways.iter().map(|shares| f64::from(shares.share(backend, cold_per_s).limit));
    each.sum()
}

#[test]
fn all_parts_together_stay_within_the_bound() {
    for gateways in [1, 2, 8, 9, 13, 30, 92, 300] {
        let all = names(0..gateways);
        let each: Vec<_> = all.iter().map(|own| shares(own, &all)).collect();
        for cold_per_s in [0.5, 2.9, 3.6, 6.0, 22.0, 110.0] {
            let allowed = cold_per_s * 1.5 + 5.0;
            for backend in (0..20).map(|number| format!("i-{number}")) {
                let most = most_in_a_second(&each, &backend, cold_per_s);
                assert!(most <= allowed, "{most} of {allowed} from {gateways} gateways");
                assert!(most >= 1.0, "nobody may send {backend} anything");
            }
        }
    }
}

/// While the list changes some gateways go by the former one: one in ten has gone, as many have come.
#[test]
fn two_versions_of_the_list_stay_within_the_bound() {
    for gateways in [9, 30, 92, 300] {
        let come = gateways / 10;
        let (former, present) = (names(0..gateways), names(come..gateways + come));
        let list = |number: usize| if number.is_multiple_of(2) { &former } else { &present };
        let behind = former.iter().enumerate().map(|(number, own)| shares(own, list(number)));
        let new = present[gateways - come..].iter().map(|own| shares(own, &present));
        let each: Vec<_> = behind.chain(new).collect();
        for backend in (0..40).map(|number| format!("i-{number}")) {
            let most = most_in_a_second(&each, &backend, 3.6);
            assert!(most <= 10.4, "{most} of 10.4 from {gateways} gateways");
        }
    }
}

#[test]
fn a_gateway_that_the_list_lacks_has_no_part() {
    assert!(shares("g-0", &names(1..5)).share("i-1", 3.6).limit == 0);
}

/// A settled leader's word grants the full rate for a while, counted from when it was asked for; others grant nothing.
#[test]
fn the_full_rate_ends_by_itself() {
    let mut copy = StateReplica::new(&bounds());
    assert!(copy.has_full_rate(1990.0) && !copy.has_full_rate(2010.0), "a process that has just started");
    let word = |at, age_ms, unsettled| ToProxy {
        request_sent_at: Some(at),
        leader_contact_age_ms: age_ms,
        unsettled,
        ..ToProxy::default()
    };
    copy.apply(5000.0, word(4950.0, 100.0, true));
    assert!(!copy.has_full_rate(5000.0), "by a leader that has not heard all backends");
    copy.apply(6000.0, word(5950.0, 100.0, false));
    assert!(copy.has_full_rate(6000.0));
    copy.apply(6500.0, word(6450.0, 600.0, false));
    assert!(copy.has_full_rate(7840.0) && !copy.has_full_rate(7860.0), "the word is of 5850");
    copy.apply(8500.0, word(8450.0, 0.0, true));
    assert!(copy.has_full_rate(10_440.0), "a new leader goes on after a short gap");
    copy.apply(11_500.0, word(11_460.0, 0.0, true));
    assert!(!copy.has_full_rate(11_500.0), "and not after a long one");
    let apart = StateReplica::standalone(&bounds());
    assert!(apart.has_full_rate(1e12), "it has no leader to hear");
}
