//! Drawn fleets, sums that are refused, lines through points, and the command's refusals.
#![allow(missing_docs)]

use granite_lab::scale::bounds::{Needs, Room};
use granite_lab::scale::draw::{Drawn, Machine, Size};
use granite_lab::scale::fit::Line;
use granite_lab::scale::run::{spread, THREADS};
use granite_lab::scale::weigh::Alone;
use overland::config::{Config, ConfigDocument};
use overland::settings::Settings;
use std::process::Command;

#[test]
fn what_is_drawn_is_taken_by_a_core_member_change_by_change() {
    for size in [Size::of(1, 0.01), Size::of(30, 1.0)] {
        let drawn = Drawn::new(size, 7);
        let mut alone = Alone::new().unwrap();
        let mut before = None;
        for edition in 1..5 {
            let body = drawn.put(edition);
            assert_eq!(body, Drawn::new(size, 7).put(edition), "the same seed draws the same");
            alone.call("POST", "/api/Config.Put".into(), body.clone().into_bytes());
            assert_eq!(alone.status, 200, "edition {edition}");
            let config =
                ConfigDocument::read(body.as_bytes()).and_then(ConfigDocument::into_full_config).unwrap().0;
            let routes: usize = config.hosts.iter().map(|dock| dock.routes.len()).sum();
            assert_eq!((routes, config.tenants.as_ref().map(Vec::len)), (size.routes, Some(size.tenants)));
            // Each change takes one key away and brings one.
            let keys: Vec<_> = config.keys().into_keys().map(str::to_owned).collect();
            if let Some(before) = before.replace(keys.clone()) {
                let gone = before.iter().filter(|key| !keys.contains(key)).count();
                assert_eq!((gone, keys.len()), (1, before.len()), "edition {edition}");
            }
        }
        let other = Drawn::new(size, 8).put(1);
        assert!(other != drawn.put(1) && Config::read(&other).is_ok());
    }
}

#[test]
fn a_backend_that_beats_anew_is_agreed_on_and_one_that_beats_on_is_not() {
    let drawn = Drawn::new(Size::of(10, 0.1), 1);
    let mut alone = Alone::new().unwrap();
    alone.call("POST", "/api/Config.Put".into(), drawn.put(1).into_bytes());
    alone.meet(0);
    let mut beat = |life, postmark| {
        // After a pause what a beat brings is pushed at once.
        alone.rest();
        alone.said = (0, 0);
        alone.call(
            "POST",
            format!("/api/Instances.Beat/{}", drawn.backend(0, life)),
            drawn.beat(0, postmark).into(),
        );
        assert_eq!(alone.status, 200);
        alone.said.0
    };
    assert_eq!([beat(0, 1), beat(0, 2), beat(1, 1), beat(1, 2)], [1, 0, 1, 0], "messages to the one agent");
}

#[test]
fn settings_of_drawn_machines_are_read() {
    let seeds: Vec<String> = (2..7).map(|n| format!("127.0.0.{n}:8383")).collect();
    let docks = [("control", seeds[0].clone())];
    let zone = ("zone-hall-0".to_owned(), "region-0".to_owned());
    let (node, class, ip) = ("sorting-0", "sorting", "127.0.0.2");
    let machine = Machine { node, class, ip, zone, docks: &docks, data: "/tmp", inner: 7460, seeds: &seeds };
    let settings = Settings::read(&machine.text()).unwrap();
    assert_eq!((settings.seeds.len(), settings.zones.len(), settings.inner_ports.0), (3, 10, 7460));
}

#[test]
fn a_size_that_the_machine_does_not_bear_is_refused_with_its_sum() {
    let room = Room { memory_mb: 32_000.0, free_mb: 30_000.0, descriptors: 20_000 };
    let refused =
        |size: Size, config_mb, room| Needs::of(size, config_mb, THREADS, 20).refused(size, 20, room);
    assert_eq!(refused(Size::of(930, 10.0), 0.58, room), None);
    let why = refused(Size::of(930, 100.0), 5.44, room).unwrap();
    assert!(
        why.contains("MB") && why.contains("the leader's push to all") && why.contains("half of"),
        "{why}"
    );
    // Free memory counts, too, and so do descriptors and counts of all kinds.
    assert!(refused(Size::of(930, 10.0), 0.58, Room { free_mb: 2_000.0, ..room }).is_some());
    let why = refused(Size::of(930, 10.0), 0.58, Room { descriptors: 4_000, ..room }).unwrap();
    assert!(why.contains("descriptors of this process"), "{why}");
    assert!(refused(Size::of(5_000, 0.1), 0.01, room).unwrap().contains("2000 are the most"));
    let cores = Size { cores: 90, ..Size::of(30, 1.0) };
    assert!(refused(cores, 0.1, room).unwrap().contains("processes"));
    let size = Size::of(30, 1.0);
    assert!(Needs::of(size, 0.1, THREADS, 20).refused(size, 1_000, room).unwrap().contains("changes"));
}

#[test]
fn the_command_refuses_before_it_starts_anything() {
    let folder = tempfile::tempdir().unwrap();
    let lab = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_granite-lab"));
        // There are no programs here: whatever were started would be told.
        command.arg("scale").args(arguments).arg("--programs").arg(folder.path());
        let output = command.output().unwrap();
        let text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
        (output.status.code(), text.into_owned())
    };
    let (code, text) = lab(&["--gateways", "1900", "--percent", "100"]);
    assert!(code == Some(1) && text.contains("refused: ") && text.contains("MB are the most"), "{text}");
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
    assert!(code == Some(2) && text.contains("narcissus"), "{text}");
}

#[test]
fn lines_and_spreads() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)]);
    assert!((line.a - 3.0).abs() < 1e-9 && (line.b - 2.0).abs() < 1e-9 && line.r2 > 0.999, "{line:?}");
    let bent = Line::through(&[(0.0, 0.0), (1.0, 0.0), (2.0, 0.0), (3.0, 9.0)]);
    assert!(bent.r2 < 0.8, "{bent:?}");
    assert_eq!(Line::through(&[(4.0, 2.0)]), Line { a: 2.0, b: 0.0, r2: 1.0 });
    assert_eq!(Line::through(&[]).at(9.0), 0.0);
    let times: Vec<f64> = (1..=100).rev().map(f64::from).collect();
    assert_eq!(spread(times, 100), [50.0, 95.0, 100.0]);
    // Whoever is missing counts as never.
    assert_eq!(spread(vec![1.0, 2.0, 3.0], 4), [2.0, f64::INFINITY, f64::INFINITY]);
}

#[test]
fn lines_of_runs_become_plots_and_those_that_failed_are_left_out() {
    let folder = tempfile::tempdir().unwrap();
    let line = |gateways: usize, force: &str, failed: &str| {
        format!(
            r#"{{"size":{{"gateways":{gateways}}},"percent":1.0,"failed":{failed},"changes":[{{"force_s":[0.1,0.2,{force}]}}],"changing":{{"whole":{{"bytes":0}},"changes":{{"bytes":9000}}}},"leader":{{"change_cpu_s":0.5,"peak_mb":20.0}}}}"#
        )
    };
    let lines = [line(30, "0.3", "null"), line(100, "null", "null"), line(300, "0.9", "\"no\"")].join("\n");
    std::fs::write(folder.path().join("runs.jsonl"), lines).unwrap();
    granite_lab::scale::report::plots(folder.path()).unwrap();
    let circles =
        |name: &str| std::fs::read_to_string(folder.path().join(name)).unwrap().matches("<circle").count();
    // A change that never came to all has no place on a plot of times, but one on the others.
    assert_eq!([circles("force.svg"), circles("bytes.svg"), circles("leader-memory.svg")], [1, 2, 2]);
    std::fs::write(folder.path().join("runs.jsonl"), "no line").unwrap();
    assert!(granite_lab::scale::report::plots(folder.path()).is_err());
}
