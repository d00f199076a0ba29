//! Tests of the `oakfall-lab` command line: gateways that fail to start, invalid input, and shutdown by a signal.
#![allow(missing_docs)]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Maximum time to wait for a condition before a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A temporary folder for the files of a test.
struct TestFolder(tempfile::TempDir);

impl TestFolder {
    fn new() -> TestFolder {
        TestFolder(tempfile::tempdir().unwrap())
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// Writes a shell script that replaces the gateway program. Each of its processes first records its PID.
    fn gateway_script(&self, commands: &str) -> PathBuf {
        let pids = self.0.path().join("pids");
        let path = self.file("gateway", &format!("#!/bin/sh\necho $$ >> {}\n{commands}\n", pids.display()));
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755)).unwrap();
        path
    }

    fn pids(&self) -> Vec<u32> {
        let text = std::fs::read_to_string(self.0.path().join("pids")).unwrap_or_default();
        text.lines().filter_map(|line| line.parse().ok()).collect()
    }

    fn plan(&self) -> PathBuf {
        let text = "name = \"small\"\nseconds = 2\n[fleet]\ngateways = 3\nservers = 2\n[traffic]\n";
        self.file("small.toml", text)
    }

    /// The folder in which the lab creates temporary files.
    fn lab_tmpdir(&self) -> PathBuf {
        let folder = self.0.path().join("tmp");
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn lab(&self, gateway: &Path, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_oakfall-lab"));
        command.arg("--gateway").arg(gateway).args(arguments).env("TMPDIR", self.lab_tmpdir());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    /// Asserts that gateway processes were started, and that none of them and no temporary file is left.
    fn assert_cleaned_up(&self) {
        assert!(!self.pids().is_empty(), "expected gateway processes to be started");
        let start = Instant::now();
        while self.pids().iter().any(|pid| Path::new(&format!("/proc/{pid}")).exists()) {
            assert!(start.elapsed() < WAIT_TIMEOUT, "expected all processes to end: {:?}", self.pids());
            std::thread::sleep(Duration::from_millis(20));
        }
        let files: Vec<_> = std::fs::read_dir(self.lab_tmpdir()).unwrap().collect();
        assert!(files.is_empty(), "expected no temporary files: {files:?}");
    }

    fn assert_nothing_started(&self) {
        assert!(self.pids().is_empty(), "expected no gateway process to be started: {:?}", self.pids());
    }
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < WAIT_TIMEOUT, "timed out waiting until {condition}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn wait_for_exit(mut child: Child) -> Output {
    wait_until("the lab exits", || child.try_wait().unwrap().is_some());
    child.wait_with_output().unwrap()
}

#[test]
fn gateway_that_exits_at_start_is_reported_with_its_log() {
    let folder = TestFolder::new();
    let (program, plan) = (folder.gateway_script("echo no such luck >&2; exit 3"), folder.plan());
    let output = folder.lab(&program, &["run", plan.to_str().unwrap()]).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    assert!(stderr(&output).contains("ended at its start"), "unexpected stderr: {}", stderr(&output));
    assert!(stderr(&output).contains("no such luck"), "unexpected stderr: {}", stderr(&output));
    folder.assert_cleaned_up();
}

#[test]
fn gateway_that_hangs_at_start_is_reported_and_killed() {
    let folder = TestFolder::new();
    let (program, plan) = (folder.gateway_script("trap '' TERM INT; exec sleep 1000"), folder.plan());
    let arguments = ["run", plan.to_str().unwrap(), "--ready-s", "0.5"];
    let output = folder.lab(&program, &arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    assert!(stderr(&output).contains("is not ready after 0.5 s"), "unexpected stderr: {}", stderr(&output));
    folder.assert_cleaned_up();
}

#[test]
fn gateway_file_that_is_not_executable_is_reported() {
    let folder = TestFolder::new();
    let (program, plan) = (folder.file("gateway", "no program"), folder.plan());
    let output = folder.lab(&program, &["run", plan.to_str().unwrap()]).output().unwrap();
    assert!(stderr(&output).contains("ended at its start"), "unexpected stderr: {}", stderr(&output));
    assert!(stderr(&output).contains("Permission denied"), "unexpected stderr: {}", stderr(&output));
    assert_eq!(output.status.code(), Some(2));
}

/// The gateway processes ignore signals, and one of them is stopped (SIGSTOP).
#[test]
fn signal_stops_the_lab_without_leaving_processes_or_files() {
    for name in ["INT", "TERM"] {
        let folder = TestFolder::new();
        let program = folder.gateway_script(
            "trap '' TERM INT HUP; [ $(wc -l < $(dirname $0)/pids) = 2 ] && kill -STOP $$; exec sleep 1000",
        );
        let plan = folder.plan();
        let child = folder.lab(&program, &["run", plan.to_str().unwrap()]).spawn().unwrap();
        wait_until("three gateways are started", || folder.pids().len() == 3);
        let signal = format!("-{name}");
        assert!(Command::new("kill").args([&signal, &child.id().to_string()]).status().unwrap().success());
        let output = wait_for_exit(child);
        assert!(stderr(&output).contains("stopped"), "unexpected stderr: {}", stderr(&output));
        folder.assert_cleaned_up();
    }
}

#[test]
fn invalid_input_is_reported_before_any_gateway_starts() {
    let folder = TestFolder::new();
    let program = folder.gateway_script("exec sleep 1000");
    // An invalid plan.
    let plan = folder
        .file("bad.toml", "name = \"bad\"\nseconds = 2\n[fleet]\ngateways = 0\nservers = 0\n[traffic]\n");
    let output = folder.lab(&program, &["check", plan.to_str().unwrap()]).output().unwrap();
    assert!(stderr(&output).contains("fleet.gateways"), "unexpected stderr: {}", stderr(&output));
    assert!(stderr(&output).contains("fleet.servers"), "unexpected stderr: {}", stderr(&output));
    // A log folder that cannot be created.
    let plan = folder.plan();
    let output =
        folder.lab(&program, &["run", plan.to_str().unwrap(), "--keep", "/proc/none"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{}", stderr(&output));
    folder.assert_nothing_started();
    // A plan that needs more file descriptors than the limit.
    let big = "name = \"big\"\nseconds = 2\n[fleet]\ngateways = 2000\nservers = 1000\n[traffic]\nper_s = 100000.0\n";
    let plan = folder.file("big.toml", big);
    let run = format!(
        "ulimit -n 256; exec {} --gateway {} run {}",
        env!("CARGO_BIN_EXE_oakfall-lab"),
        program.display(),
        plan.display()
    );
    let output = Command::new("/bin/sh").args(["-c", &run]).output().unwrap();
    assert!(
        stderr(&output).contains("descriptors and may open 256"),
        "unexpected stderr: {}",
        stderr(&output)
    );
    folder.assert_nothing_started();
}

#[test]
fn plans_command_lists_plans_and_prints_a_valid_one() {
    let folder = TestFolder::new();
    let output = folder.lab(Path::new("none"), &["plans"]).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.lines().count() > 15 && text.contains("mass-kill"), "expected a list of plans: {text}");
    let output = folder.lab(Path::new("none"), &["plans", "calm"]).output().unwrap();
    let plan = folder.file("again.toml", &String::from_utf8(output.stdout).unwrap());
    let status = folder.lab(Path::new("none"), &["check", plan.to_str().unwrap()]).status().unwrap();
    assert!(status.success(), "expected the printed plan to be valid");
}
