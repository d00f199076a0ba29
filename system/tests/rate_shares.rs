//! The total rate of all gateways to a backend that is, or may be, cold stays within the limit.

mod bounds;

use bounds::bounds;
use oakfall_system::protocol::ToProxy;
use oakfall_system::rate_shares::Shares;
use oakfall_system::replica::StateReplica;

fn names(gateways: std::ops::Range<usize>) -> Vec<String> {
    gateways.map(|number| format!("g-{number}")).collect()
}

/// The shares of gateway `own` by its own list of gateways.
fn shares(own: &str, list: &[String]) -> Shares {
    Shares::new(&bounds(), own, list.iter().map(String::as_str))
}

/// The maximum total of requests from these gateways to a backend in any second.
fn total_limit(gateways: &[Shares], backend: &str, cold_per_s: f64) -> f64 {
    let limits = gateways.iter().map(|shares| f64::from(shares.share(backend, cold_per_s).limit));
    limits.sum()
}

#[test]
fn sum_of_shares_stays_within_the_limit() {
    for gateways in [1, 2, 8, 9, 13, 30, 92, 300] {
        let list = names(0..gateways);
        let all: Vec<_> = list.iter().map(|own| shares(own, &list)).collect();
        for cold_per_s in [0.5, 2.9, 3.6, 6.0, 22.0, 110.0] {
            let allowed = cold_per_s * 1.5 + 5.0;
            for backend in (0..20).map(|number| format!("i-{number}")) {
                let total = total_limit(&all, &backend, cold_per_s);
                assert!(total <= allowed, "{total} of {allowed} from {gateways} gateways");
                assert!(total >= 1.0, "no gateway may send to {backend}");
            }
        }
    }
}

/// Some gateways still have the previous list: a tenth of its gateways left, and as many joined.
#[test]
fn sum_stays_within_the_limit_with_two_versions_of_the_list() {
    for gateways in [9, 30, 92, 300] {
        let joined = gateways / 10;
        let (previous, current) = (names(0..gateways), names(joined..gateways + joined));
        let list = |number: usize| if number.is_multiple_of(2) { &previous } else { &current };
        let old = previous.iter().enumerate().map(|(number, own)| shares(own, list(number)));
        let new = current[gateways - joined..].iter().map(|own| shares(own, &current));
        let all: Vec<_> = old.chain(new).collect();
        for backend in (0..40).map(|number| format!("i-{number}")) {
            let total = total_limit(&all, &backend, 3.6);
            assert!(total <= 10.4, "{total} of 10.4 from {gateways} gateways");
        }
    }
}

#[test]
fn gateway_missing_from_the_list_has_no_share() {
    assert!(shares("g-0", &names(1..5)).share("i-1", 3.6).limit == 0);
}

/// A message from a settled leader permits the full rate for a limited time after the request that it answers
/// was sent; messages from other leaders do not.
#[test]
fn full_rate_expires_without_a_settled_leader() {
    let mut replica = StateReplica::new(&bounds());
    assert!(
        replica.has_full_rate(1990.0) && !replica.has_full_rate(2010.0),
        "a process that has just started"
    );
    let message = |at, age_ms, unsettled| ToProxy {
        request_sent_at: Some(at),
        leader_contact_age_ms: age_ms,
        unsettled,
        ..ToProxy::default()
    };
    replica.apply(5000.0, message(4950.0, 100.0, true));
    assert!(!replica.has_full_rate(5000.0), "the leader has not heard from all backends");
    replica.apply(6000.0, message(5950.0, 100.0, false));
    assert!(replica.has_full_rate(6000.0));
    replica.apply(6500.0, message(6450.0, 600.0, false));
    assert!(replica.has_full_rate(7840.0) && !replica.has_full_rate(7860.0), "the message dates from 5850");
    replica.apply(8500.0, message(8450.0, 0.0, true));
    assert!(replica.has_full_rate(10_440.0), "a new leader continues after a short gap");
    replica.apply(11_500.0, message(11_460.0, 0.0, true));
    assert!(!replica.has_full_rate(11_500.0), "a new leader does not continue after a long gap");
    let apart = StateReplica::standalone(&bounds());
    assert!(apart.has_full_rate(1e12), "a replica without a leader always has the full rate");
}

/// A gateway that was just started, is cut off or was suspended sends nothing to a version that is not in service.
#[test]
fn the_permission_for_new_versions_lapses_without_a_leader() {
    let mut replica = StateReplica::new(&bounds());
    assert!(!replica.holds_canary_lease(0.0), "no contact yet");
    let update = |sent_at: f64, age_ms: f64| ToProxy {
        request_sent_at: Some(sent_at),
        leader_contact_age_ms: age_ms,
        ..ToProxy::default()
    };
    replica.apply(1_050.0, update(1_000.0, 100.0));
    assert!(replica.holds_canary_lease(2_800.0));
    assert!(!replica.holds_canary_lease(2_900.0), "2 s after the contact at 900 ms");
    // The agent goes on, but no leader answers it.
    replica.apply(3_000.0, update(2_950.0, 2_050.0));
    assert!(!replica.holds_canary_lease(3_000.0));
    replica.apply(3_500.0, update(3_400.0, 50.0));
    assert!(replica.holds_canary_lease(5_300.0));
}
