//! Plans of faults with five to twelve real gateways: what must hold under each, and what is left behind.
#![allow(missing_docs)]

mod harness;

use granite_lab::plan::Plan;
use granite_lab::plans;
use granite_lab::report;
use granite_lab::stage::{play, play_watched, Options, Outcome};
use std::path::Path;
use std::sync::Mutex;

/// Plays of one plan at most: one in which the stage itself was starved tells nothing of gateways.
const PLAYS: usize = 4;
/// Plans that are played at one time: more would starve the stage on a small machine.
const AT_ONCE: usize = 3;

fn options() -> Options {
    Options::new(env!("CARGO_BIN_EXE_heronstage"))
}

fn plan(name: &str) -> Plan {
    Plan::read(plans::plan(name).expect("it comes with the stage")).unwrap()
}

/// Plays a plan until a run of it is valid.
fn valid(plan: &Plan) -> Outcome {
    for _ in 0..PLAYS {
        let outcome = play(plan, &options(), std::future::pending()).unwrap();
        if outcome.not_valid.is_empty() {
            return outcome;
        }
        println!("{}", report::text(&outcome));
    }
    panic!("{}: the machine is too busy to play it", plan.name);
}

#[test]
fn the_fleet_bears_each_plan_of_faults() {
    let plans = Mutex::new(vec![
        "split-in-two",
        "mass-kill",
        "lost-zone",
        "paused-gateway",
        "upgrade",
        "rolling-restart",
        "half-open",
        "reset-midway",
        "counter-out",
        "leaving-servers",
        "discovery-silent",
        "client-links",
    ]);
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| loop {
                let Some(name) = plans.lock().unwrap().pop() else { return };
                let outcome = valid(&plan(name));
                println!("{}", report::text(&outcome));
                if !outcome.verdict.held() {
                    failed.lock().unwrap().push(name);
                }
            });
        }
    });
    assert_eq!(*failed.lock().unwrap(), Vec::<&str>::new());
}

/// Not a test of its own: the gateway of the next one. It answers each request itself, and lets go of every third.
#[test]
#[ignore = "a stand-in that another test starts"]
fn broken_gateway() {
    let path = std::env::var_os("RELAY_CONFIG").expect("it is started by the stage");
    let config: serde_json::Value = serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    let asked = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for address in ["listen", "operator"] {
            let listener = std::net::TcpListener::bind(config[address].as_str().unwrap()).unwrap();
            let asked = &asked;
            scope.spawn(move || {
                for stream in listener.incoming() {
                    scope.spawn(move || answer_all(stream.unwrap(), address == "listen", asked));
                }
            });
        }
    });
}

fn answer_all(stream: std::net::TcpStream, counts: bool, asked: &std::sync::atomic::AtomicUsize) {
    use std::io::Write;
    let mut from = std::io::BufReader::new(stream);
    while harness::read_message(&mut from).is_some() {
        if counts && asked.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 3 == 2 {
            return;
        }
        if from.get_mut().write_all(harness::response_text(200, "", "hi").as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn a_broken_gateway_is_caught() {
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join("gateway");
    let own = std::env::current_exe().unwrap();
    let text = format!("#!/bin/sh\nexec {} --exact broken_gateway --ignored\n", own.display());
    std::fs::write(&program, text).unwrap();
    std::fs::set_permissions(&program, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    let text = "name = \"broken\"\nseconds = 2\n[fleet]\ngateways = 2\nservers = 2\n[traffic]\nspread = 2\nper_s = 30.0\n[hold]\nserved = 0.9";
    let outcome = play(&Plan::read(text).unwrap(), &Options::new(&program), std::future::pending()).unwrap();
    let rules: Vec<_> = outcome.verdict.broken.iter().map(|broken| broken.rule).collect();
    for rule in [
        "each request has one answer, the right one",
        "a request that a living gateway took has its answer",
        "what the plan says must hold",
    ] {
        assert!(rules.contains(&rule), "{rules:?}");
    }
}

/// Processes of this gateway whose parent is this test.
fn children() -> usize {
    let own = std::process::id().to_string();
    let stats = std::fs::read_dir("/proc").unwrap().filter_map(|entry| {
        let text = std::fs::read_to_string(entry.ok()?.path().join("stat")).ok()?;
        // What comes behind the name: state, parent.
        let rest = text.rsplit_once(") ")?.1.to_owned();
        Some((text, rest))
    });
    stats.filter(|(text, rest)| text.contains("(heronstage") && rest.split(' ').nth(1) == Some(&own)).count()
}

#[test]
fn a_panic_and_a_stop_leave_no_process_and_no_file() {
    // A process of its own, in which no other test plays meanwhile.
    if std::env::var_os("LAB_ALONE").is_none() {
        let own = std::env::current_exe().unwrap();
        let mut command = std::process::Command::new(own);
        command.args(["--exact", "a_panic_and_a_stop_leave_no_process_and_no_file", "--nocapture"]);
        let output = command.env("LAB_ALONE", "1").output().unwrap();
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        return;
    }
    let folder = tempfile::tempdir().unwrap();
    std::env::set_var("TMPDIR", folder.path());
    let mut calm = plan("calm");
    calm.seconds = 60.0;
    let seen = std::cell::Cell::new(0);
    let panicked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        play_watched(&calm, &options(), std::future::pending(), |_| {
            seen.set(children());
            panic!("on purpose")
        })
    }));
    assert!(panicked.is_err() && seen.get() == calm.fleet.gateways, "{seen:?}");
    assert_gone(folder.path());
    let after = async { tokio::time::sleep(std::time::Duration::from_secs(3)).await };
    let stopped = play_watched(&calm, &options(), after, |_| seen.set(children()));
    assert!(stopped.unwrap_err().contains("stopped"));
    assert_eq!(seen.get(), calm.fleet.gateways);
    assert_gone(folder.path());
}

fn assert_gone(folder: &Path) {
    let start = std::time::Instant::now();
    while children() > 0 {
        assert!(start.elapsed() < std::time::Duration::from_secs(20), "{} are left", children());
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(std::fs::read_dir(folder).unwrap().count(), 0);
}
