//! Fault plans of the lab, run against five to twelve gateway processes, and the cleanup after a run.
#![allow(missing_docs)]

mod harness;

use oakfall_lab::builtin_plans;
use oakfall_lab::plan::Plan;
use oakfall_lab::report;
use oakfall_lab::testbed::{run_plan, run_plan_with_ready_callback, Options, Outcome};
use std::path::Path;
use std::sync::Mutex;

/// Maximum number of runs of one plan. A run is not valid if the lab itself got too little CPU time.
const MAX_RUNS: usize = 4;
/// Plans that run at the same time. More would leave the lab too little CPU time on a small machine.
const CONCURRENT_PLANS: usize = 3;

fn options() -> Options {
    Options::new(env!("CARGO_BIN_EXE_oakfall-gateway"))
}

fn plan(name: &str) -> Plan {
    Plan::read(builtin_plans::plan(name).expect("the plan is built into the lab")).unwrap()
}

/// Runs a plan until a run is valid.
fn run_until_valid(plan: &Plan) -> Outcome {
    for _ in 0..MAX_RUNS {
        let outcome = run_plan(plan, &options(), std::future::pending()).unwrap();
        if outcome.invalid_reasons.is_empty() {
            return outcome;
        }
        println!("{}", report::text(&outcome));
    }
    panic!("{}: the machine is too busy for a valid run", plan.name);
}

#[test]
fn the_fleet_meets_the_rules_of_each_fault_plan() {
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
        for _ in 0..CONCURRENT_PLANS {
            scope.spawn(|| loop {
                let Some(name) = plans.lock().unwrap().pop() else { return };
                let outcome = run_until_valid(&plan(name));
                println!("{}", report::text(&outcome));
                if !outcome.verdict.passed() {
                    failed.lock().unwrap().push(name);
                }
            });
        }
    });
    assert_eq!(*failed.lock().unwrap(), Vec::<&str>::new());
}

/// The gateway process of the next test: it answers requests itself, and closes the connection on every third one.
#[test]
#[ignore = "a test double that another test starts"]
fn broken_gateway() {
    let path = std::env::var_os("RELAY_CONFIG").expect("the lab sets RELAY_CONFIG");
    let config: serde_json::Value = serde_json::from_slice(&std::fs::read(path).unwrap()).unwrap();
    let requests = std::sync::atomic::AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for address in ["listen", "operator"] {
            let listener = std::net::TcpListener::bind(config[address].as_str().unwrap()).unwrap();
            let requests = &requests;
            scope.spawn(move || {
                for stream in listener.incoming() {
                    scope.spawn(move || answer_all(stream.unwrap(), address == "listen", requests));
                }
            });
        }
    });
}

fn answer_all(stream: std::net::TcpStream, is_client: bool, requests: &std::sync::atomic::AtomicUsize) {
    use std::io::Write;
    let mut connection = std::io::BufReader::new(stream);
    while harness::read_message(&mut connection).is_some() {
        if is_client && requests.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 3 == 2 {
            return;
        }
        if connection.get_mut().write_all(harness::response_text(200, "", "hi").as_bytes()).is_err() {
            return;
        }
    }
}

#[test]
fn a_broken_gateway_breaks_the_rules() {
    let directory = tempfile::tempdir().unwrap();
    let program = directory.path().join("gateway");
    let test_program = std::env::current_exe().unwrap();
    let script = format!("#!/bin/sh\nexec {} --exact broken_gateway --ignored\n", test_program.display());
    std::fs::write(&program, script).unwrap();
    std::fs::set_permissions(&program, std::os::unix::fs::PermissionsExt::from_mode(0o755)).unwrap();
    let text = "name = \"broken\"\nseconds = 2\n[fleet]\ngateways = 2\nservers = 2\n[traffic]\nspread = 2\nper_s = 30.0\n[hold]\nserved = 0.9";
    let outcome =
        run_plan(&Plan::read(text).unwrap(), &Options::new(&program), std::future::pending()).unwrap();
    let rules: Vec<_> = outcome.verdict.violations.iter().map(|broken| broken.rule).collect();
    for rule in [
        "each request has one answer, the right one",
        "a request that a living gateway took has its answer",
        "what the plan says must hold",
    ] {
        assert!(rules.contains(&rule), "{rule:?} is not among the broken rules {rules:?}");
    }
}

/// Number of gateway processes whose parent is this process.
fn child_gateways() -> usize {
    let own_pid = std::process::id().to_string();
    let stats = std::fs::read_dir("/proc").unwrap().filter_map(|entry| {
        let text = std::fs::read_to_string(entry.ok()?.path().join("stat")).ok()?;
        // The fields after the name: state, parent.
        let rest = text.rsplit_once(") ")?.1.to_owned();
        Some((text, rest))
    });
    stats
        .filter(|(text, rest)| text.contains("(oakfall-gateway") && rest.split(' ').nth(1) == Some(&own_pid))
        .count()
}

#[test]
fn a_panicked_or_stopped_run_leaves_no_process_and_no_file() {
    // Runs in a separate process, as the other tests start gateways at the same time.
    if std::env::var_os("LAB_ALONE").is_none() {
        let test_program = std::env::current_exe().unwrap();
        let mut command = std::process::Command::new(test_program);
        command.args(["--exact", "a_panicked_or_stopped_run_leaves_no_process_and_no_file", "--nocapture"]);
        let output = command.env("LAB_ALONE", "1").output().unwrap();
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        return;
    }
    let directory = tempfile::tempdir().unwrap();
    std::env::set_var("TMPDIR", directory.path());
    let mut calm = plan("calm");
    calm.seconds = 60.0;
    let running = std::cell::Cell::new(0);
    let panicked = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        run_plan_with_ready_callback(&calm, &options(), std::future::pending(), |_| {
            running.set(child_gateways());
            panic!("intended by the test")
        })
    }));
    assert!(panicked.is_err() && running.get() == calm.fleet.gateways, "{running:?}");
    assert_cleaned_up(directory.path());
    let stop = async { tokio::time::sleep(std::time::Duration::from_secs(3)).await };
    let stopped = run_plan_with_ready_callback(&calm, &options(), stop, |_| running.set(child_gateways()));
    assert!(stopped.unwrap_err().contains("stopped"));
    assert_eq!(running.get(), calm.fleet.gateways);
    assert_cleaned_up(directory.path());
}

/// Waits until no gateway process is left, and checks that the directory is empty.
fn assert_cleaned_up(directory: &Path) {
    let start = std::time::Instant::now();
    while child_gateways() > 0 {
        let in_time = start.elapsed() < std::time::Duration::from_secs(20);
        assert!(in_time, "{} gateway processes are left", child_gateways());
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(std::fs::read_dir(directory).unwrap().count(), 0);
}
