//! Prints how long the parts of a configuration's change take, by the size of the configuration:
//! `cargo run --release -p oakfall-system --example config_cost`.

use oakfall_system::config::{Config, ConfigDocument};
use oakfall_system::delta::Delta;
use oakfall_system::routes::numbers::{ClassNumbers, PoolNumbers};
use oakfall_system::routes::{RouteTable, Zones};
use std::collections::BTreeMap;
use std::time::Instant;

/// Routes of one host.
const ROUTES_PER_HOST: usize = 20;
/// Runs of each measurement, of which the shortest counts.
const RUNS: usize = 5;

fn route(number: usize) -> String {
    format!(
        r#"{{"name":"r-{number:06}","kind":"safe","target":"500ms","priority":2,"unstamped":false,"sorting":{{"lane_prefix":"/p{number}/"}},"dispatch":{{"service":"s{}","timeout":"1200ms","attempts":2,"home_regions":[]}}}}"#,
        number % 8
    )
}

fn hosts(numbers: std::ops::Range<usize>) -> String {
    let numbers: Vec<_> = numbers.collect();
    let hosts = numbers.chunks(ROUTES_PER_HOST).map(|chunk| {
        let routes: Vec<_> = chunk.iter().map(|number| route(*number)).collect();
        let host = chunk[0] / ROUTES_PER_HOST;
        format!(r#"{{"depot":"h{host}.example","regulations":[{}]}}"#, routes.join(","))
    });
    hosts.collect::<Vec<_>>().join(",")
}

fn full_config(routes: usize, tenants: usize) -> String {
    let tenants: Vec<_> = (0..tenants)
        .map(|n| format!(r#"{{"name":"t{n}","stamps":["key-{n:08}-a","key-{n:08}-b"],"priority":1,"per_s":45,"burst":45,"home_regions":[]}}"#))
        .collect();
    let services: Vec<_> =
        (0..8).map(|n| format!(r#"{{"name":"s{n}","health_path":"/health","conn_cap":110}}"#)).collect();
    format!(
        r#"{{"edition":"r1","based_on":"0","limits":{{"label_bytes":16384,"body_bytes":1048576,"label_time":"3s","idle":"15s"}},"patrons":[{}],"docks":[{}],"fleets":[{}]}}"#,
        tenants.join(","),
        hosts(0..routes),
        services.join(",")
    )
}

/// The shortest time of several runs, in ms.
fn shortest_ms(mut run: impl FnMut()) -> f64 {
    let mut time = || {
        let start = Instant::now();
        run();
        start.elapsed().as_secs_f64() * 1000.0
    };
    (0..RUNS).map(|_| time()).fold(f64::INFINITY, f64::min)
}

fn main() {
    println!("times in ms");
    println!("routes tenants   text_kB  patch_1 patch_40 patch_410     read  difference  route_table");
    for (routes, tenants) in [(400, 100), (4_000, 1_000), (7_600, 29_000), (12_500, 100), (40_000, 100)] {
        let body = full_config(routes, tenants);
        let document = ConfigDocument::read(body.as_bytes()).expect("well-formed");
        let (_, text) = document.into_full_config().expect("valid");
        let patch = |count: usize| {
            let body = format!(
                r#"{{"edition":"r2","based_on":"r1","deliver":{{"docks":[{}]}}}}"#,
                hosts(routes..routes + count)
            );
            ConfigDocument::read(body.as_bytes()).expect("well-formed")
        };
        let patch_ms = |count: usize| {
            let document = patch(count);
            shortest_ms(|| drop(document.clone().apply_to(&text).expect("valid")))
        };
        let (_, patched) = patch(410).apply_to(&text).expect("valid");
        let zones = Zones::new(&BTreeMap::new());
        println!(
            "{routes:6} {tenants:7} {:9.0} {:8.1} {:8.1} {:9.1} {:8.1} {:11.1} {:12.1}",
            text.len() as f64 / 1000.0,
            patch_ms(1),
            patch_ms(40),
            patch_ms(410),
            shortest_ms(|| drop(Config::read(&text).expect("valid"))),
            shortest_ms(|| drop(Delta::between(&text, &patched))),
            shortest_ms(|| {
                let (mut classes, mut pools) = (ClassNumbers::default(), PoolNumbers::default());
                drop(RouteTable::new(&text, &zones, &mut classes, &mut pools).expect("valid"));
            }),
        );
    }
}
