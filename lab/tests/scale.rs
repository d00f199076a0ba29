//! Tests of scale runs: generated fleets, resource limits, linear fits, plots, and the command's argument checks.
#![allow(missing_docs)]

use oakfall_lab::scale::cost_measurement::SingleCore;
use oakfall_lab::scale::generator::{FleetSize, GeneratedFleet, NodeSettings};
use oakfall_lab::scale::regression::LinearFit;
use oakfall_lab::scale::resource_limits::{MachineResources, ResourceEstimate};
use oakfall_lab::scale::run::{percentiles, GATEWAY_THREADS};
use oakfall_system::config::{Config, ConfigDocument};
use oakfall_system::settings::Settings;
use std::process::Command;

#[test]
fn core_accepts_each_edition_of_a_generated_configuration() {
    for size in [FleetSize::with_gateways(1, 0.01), FleetSize::with_gateways(30, 1.0)] {
        let fleet = GeneratedFleet::new(size, 7);
        let mut core = SingleCore::new().unwrap();
        let mut before = None;
        for edition in 1..5 {
            let body = fleet.config_body(edition);
            assert_eq!(
                body,
                GeneratedFleet::new(size, 7).config_body(edition),
                "the same seed generates the same configuration"
            );
            core.call("POST", "/api/Config.Put".into(), body.clone().into_bytes());
            assert_eq!(core.status, 200, "edition {edition}");
            let config =
                ConfigDocument::read(body.as_bytes()).and_then(ConfigDocument::into_full_config).unwrap().0;
            let routes: usize = config.hosts.iter().map(|host| host.routes.len()).sum();
            assert_eq!((routes, config.tenants.as_ref().map(Vec::len)), (size.routes, Some(size.tenants)));
            // Each edition replaces one key.
            let keys: Vec<_> = config.keys().into_keys().map(str::to_owned).collect();
            if let Some(before) = before.replace(keys.clone()) {
                let removed = before.iter().filter(|key| !keys.contains(key)).count();
                assert_eq!((removed, keys.len()), (1, before.len()), "edition {edition}");
            }
        }
        let other = GeneratedFleet::new(size, 8).config_body(1);
        assert!(other != fleet.config_body(1) && Config::read(&other).is_ok());
    }
}

#[test]
fn only_the_first_heartbeat_of_a_backend_sends_a_change_to_agents() {
    let fleet = GeneratedFleet::new(FleetSize::with_gateways(10, 0.1), 1);
    let mut core = SingleCore::new().unwrap();
    core.call("POST", "/api/Config.Put".into(), fleet.config_body(1).into_bytes());
    core.register_gateway(0);
    let mut messages_after_heartbeat = |incarnation, postmark| {
        // Past the batch interval a change is sent at once.
        core.advance_past_batch();
        core.sent = (0, 0);
        core.call(
            "POST",
            format!("/api/Instances.Beat/{}", fleet.backend_id(0, incarnation)),
            fleet.heartbeat_body(0, postmark).into(),
        );
        assert_eq!(core.status, 200);
        core.sent.0
    };
    let sent = [(0, 1), (0, 2), (1, 1), (1, 2)]
        .map(|(incarnation, postmark)| messages_after_heartbeat(incarnation, postmark));
    assert_eq!(sent, [1, 0, 1, 0], "messages to the only agent");
}

#[test]
fn generated_settings_are_valid() {
    let seeds: Vec<String> = (2..7).map(|n| format!("127.0.0.{n}:8383")).collect();
    let listen_addresses = [("control", seeds[0].clone())];
    let zone = ("zone-hall-0".to_owned(), "region-0".to_owned());
    let (node, class, ip) = ("sorting-0", "sorting", "127.0.0.2");
    let node_settings = NodeSettings {
        node,
        class,
        ip,
        zone,
        listen_addresses: &listen_addresses,
        data_dir: "/tmp",
        inner_port: 7460,
        seeds: &seeds,
    };
    let settings = Settings::read(&node_settings.to_yaml()).unwrap();
    assert_eq!((settings.seeds.len(), settings.zones.len(), settings.inner_ports.0), (3, 10, 7460));
}

#[test]
fn run_beyond_the_resources_of_the_machine_is_refused_with_a_reason() {
    let resources = MachineResources { memory_mb: 32_000.0, free_mb: 30_000.0, descriptors: 20_000 };
    let refusal = |size: FleetSize, config_mb, resources| {
        ResourceEstimate::new(size, config_mb, GATEWAY_THREADS, 20).refusal_reason(size, 20, resources)
    };
    assert_eq!(refusal(FleetSize::with_gateways(930, 10.0), 0.58, resources), None);
    let reason = refusal(FleetSize::with_gateways(930, 100.0), 5.44, resources).unwrap();
    assert!(
        reason.contains("MB required (")
            && reason.contains("the leader's push to all")
            && reason.contains("half of"),
        "{reason}"
    );
    // Free memory, descriptors and counts are limited, too.
    assert!(refusal(
        FleetSize::with_gateways(930, 10.0),
        0.58,
        MachineResources { free_mb: 2_000.0, ..resources }
    )
    .is_some());
    let reason = refusal(
        FleetSize::with_gateways(930, 10.0),
        0.58,
        MachineResources { descriptors: 4_000, ..resources },
    )
    .unwrap();
    assert!(reason.contains("descriptors of this process"), "{reason}");
    assert!(refusal(FleetSize::with_gateways(5_000, 0.1), 0.01, resources)
        .unwrap()
        .contains("the limit is 2000"));
    let cores = FleetSize { cores: 90, ..FleetSize::with_gateways(30, 1.0) };
    assert!(refusal(cores, 0.1, resources).unwrap().contains("processes"));
    let size = FleetSize::with_gateways(30, 1.0);
    let reason = ResourceEstimate::new(size, 0.1, GATEWAY_THREADS, 20).refusal_reason(size, 1_000, resources);
    assert!(reason.unwrap().contains("changes"));
}

#[test]
fn command_rejects_bad_arguments_and_missing_programs() {
    let directory = tempfile::tempdir().unwrap();
    let lab = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oakfall-lab"));
        // The directory has no programs, so that any start fails.
        command.arg("scale").args(arguments).arg("--programs").arg(directory.path());
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        (output.status.code(), text.into_owned())
    };
    let (code, text) = lab(&["--gateways", "1900", "--percent", "100"]);
    assert!(
        code == Some(1)
            && text.contains("refused: ")
            && text.contains(" MB required (")
            && text.contains("); the limit is "),
        "{text}"
    );
    for bad in [
        ["--percent", "0"],
        ["--percent", "101"],
        ["--percent", "nan"],
        ["--gateways", "0"],
        ["--changes", "0"],
    ] {
        let (code, text) = lab(&bad);
        assert!(code == Some(2) && text.contains(bad[0]), "{bad:?}: {text}");
    }
    let (code, text) = lab(&["--gateways", "2", "--percent", "0.1"]);
    assert!(code == Some(2) && text.contains("oakfall-core"), "{text}");
}

#[test]
fn linear_fit_and_percentiles_match_known_values() {
    let fit = LinearFit::from_points(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]);
    assert!(
        (fit.intercept - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9 && fit.r2 > 0.999,
        "{fit:?}"
    );
    let nonlinear = LinearFit::from_points(&[(0.0, 0.0), (1.0, 0.0), (2.0, 0.0), (3.0, 9.0)]);
    assert!(nonlinear.r2 < 0.8, "{nonlinear:?}");
    assert_eq!(LinearFit::from_points(&[(4.0, 2.0)]), LinearFit { intercept: 2.0, slope: 0.0, r2: 1.0 });
    assert_eq!(LinearFit::from_points(&[]).value_at(9.0), 0.0);
    let times: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(percentiles(times, 100), [50.0, 95.0, 100.0]);
    // A missing time counts as infinite.
    assert_eq!(percentiles(vec![1.0, 2.0, 3.0], 4), [2.0, f64::INFINITY, f64::INFINITY]);
}

#[test]
fn plots_leave_out_failed_runs_and_infinite_values() {
    let directory = tempfile::tempdir().unwrap();
    let line = |gateways: usize, force: &str, failed: &str| {
        format!(
            r#"{{"size":{{"gateways":{gateways}}},"percent":1.0,"failed":{failed},"changes":[{{"force_s":[0.1,0.2,{force}]}}],"changing":{{"whole":{{"bytes":0}},"changes":{{"bytes":9000}}}},"leader":{{"change_cpu_s":0.5,"peak_mb":20.0}}}}"#
        )
    };
    let lines = [line(30, "0.3", "null"), line(100, "null", "null"), line(300, "0.9", "\"no\"")].join("\n");
    std::fs::write(directory.path().join("runs.jsonl"), lines).unwrap();
    oakfall_lab::scale::report::plots(directory.path()).unwrap();
    let circles =
        |name: &str| std::fs::read_to_string(directory.path().join(name)).unwrap().matches("<circle").count();
    // A run with a change that never reached all gateways is left out of the plot of times only.
    assert_eq!([circles("force.svg"), circles("bytes.svg"), circles("leader-memory.svg")], [1, 2, 2]);
    std::fs::write(directory.path().join("runs.jsonl"), "not JSON").unwrap();
    assert!(oakfall_lab::scale::report::plots(directory.path()).is_err());
}
