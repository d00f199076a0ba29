//! The program as a command, with gateways that do not start, hang or die, and its end by a signal.
#![allow(missing_docs)]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// Waits are on conditions; this only ends a test that has failed.
const LONG: Duration = Duration::from_secs(30);

struct Place(tempfile::TempDir);

impl Place {
    fn new() -> Place {
        Place(tempfile::tempdir().unwrap())
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    /// A program in place of a gateway. Each of its processes notes its number first.
    fn program(&self, does: &str) -> PathBuf {
        let pids = self.0.path().join("pids");
        let path = self.file("gateway", &format!("#!/bin/sh\necho $$ >> {}\n{does}\n", pids.display()));
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

    /// Its own folder for what a run writes.
    fn folder(&self) -> PathBuf {
        let folder = self.0.path().join("tmp");
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn lab(&self, gateway: &Path, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_granite-lab"));
        command.arg("--gateway").arg(gateway).args(arguments).env("TMPDIR", self.folder());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    /// No process that was started is left, and no file.
    fn assert_clean(&self) {
        assert!(!self.pids().is_empty(), "something was started");
        let start = Instant::now();
        while self.pids().iter().any(|pid| Path::new(&format!("/proc/{pid}")).exists()) {
            assert!(start.elapsed() < LONG, "left: {:?}", self.pids());
            std::thread::sleep(Duration::from_millis(20));
        }
        let left: Vec<_> = std::fs::read_dir(self.folder()).unwrap().collect();
        assert!(left.is_empty(), "{left:?}");
    }
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn until(what: &str, mut is: impl FnMut() -> bool) {
    let start = Instant::now();
    while !is() {
        assert!(start.elapsed() < LONG, "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn ends(mut child: Child) -> Output {
    until("it ends", || child.try_wait().unwrap().is_some());
    child.wait_with_output().unwrap()
}

#[test]
fn a_gateway_that_dies_at_its_start_is_told_with_its_last_words() {
    let place = Place::new();
    let (program, plan) = (place.program("echo no such luck >&2; exit 3"), place.plan());
    let output = place.lab(&program, &["run", plan.to_str().unwrap()]).output().unwrap();
    let told = told(&output);
    assert_eq!(output.status.code(), Some(2), "{told}");
    assert!(told.contains("ended at its start") && told.contains("no such luck"), "{told}");
    place.assert_clean();
}

#[test]
fn one_that_hangs_is_told_and_killed() {
    let place = Place::new();
    let (program, plan) = (place.program("trap '' TERM INT; exec sleep 1000"), place.plan());
    let arguments = ["run", plan.to_str().unwrap(), "--ready-s", "0.5"];
    let output = place.lab(&program, &arguments).output().unwrap();
    let told = told(&output);
    assert_eq!(output.status.code(), Some(2), "{told}");
    assert!(told.contains("is not ready after 0.5 s"), "{told}");
    place.assert_clean();
}

#[test]
fn a_program_that_is_none_is_told() {
    let place = Place::new();
    let (program, plan) = (place.file("gateway", "no program"), place.plan());
    let output = place.lab(&program, &["run", plan.to_str().unwrap()]).output().unwrap();
    let told = told(&output);
    assert!(told.contains("ended at its start") && told.contains("Permission denied"), "{told}");
    assert_eq!(output.status.code(), Some(2));
}

/// Also processes that turn a deaf ear to signals, and one that stands still.
#[test]
fn nothing_is_left_when_it_is_told_to_stop() {
    for name in ["INT", "TERM"] {
        let place = Place::new();
        let program = place.program(
            "trap '' TERM INT HUP; [ $(wc -l < $(dirname $0)/pids) = 2 ] && kill -STOP $$; exec sleep 1000",
        );
        let plan = place.plan();
        let child = place.lab(&program, &["run", plan.to_str().unwrap()]).spawn().unwrap();
        until("three are started", || place.pids().len() == 3);
        let signal = format!("-{name}");
        assert!(Command::new("kill").args([&signal, &child.id().to_string()]).status().unwrap().success());
        let output = ends(child);
        assert!(told(&output).contains("stopped"), "{}", told(&output));
        place.assert_clean();
    }
}

#[test]
fn mistakes_in_a_plan_and_a_folder_that_can_not_be_written_are_told_before_anything_starts() {
    let place = Place::new();
    let program = place.program("exec sleep 1000");
    let plan = place
        .file("bad.toml", "name = \"bad\"\nseconds = 2\n[fleet]\ngateways = 0\nservers = 0\n[traffic]\n");
    let output = place.lab(&program, &["check", plan.to_str().unwrap()]).output().unwrap();
    let said = told(&output);
    assert!(said.contains("fleet.gateways") && said.contains("fleet.servers"), "{said}");
    let plan = place.plan();
    let output =
        place.lab(&program, &["run", plan.to_str().unwrap(), "--keep", "/proc/none"]).output().unwrap();
    assert_eq!(output.status.code(), Some(2), "{}", told(&output));
    assert!(place.pids().is_empty());
    // More than any limit on descriptors allows.
    let big = "name = \"big\"\nseconds = 2\n[fleet]\ngateways = 2000\nservers = 1000\n[traffic]\nper_s = 100000.0\n";
    let plan = place.file("big.toml", big);
    let run = format!(
        "ulimit -n 256; exec {} --gateway {} run {}",
        env!("CARGO_BIN_EXE_granite-lab"),
        program.display(),
        plan.display()
    );
    let output = Command::new("/bin/sh").args(["-c", &run]).output().unwrap();
    assert!(told(&output).contains("descriptors and may open 256"), "{}", told(&output));
    assert!(place.pids().is_empty());
}

#[test]
fn plans_are_listed_and_printed() {
    let place = Place::new();
    let output = place.lab(Path::new("none"), &["plans"]).output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.lines().count() > 15 && text.contains("mass-kill"), "{text}");
    let output = place.lab(Path::new("none"), &["plans", "calm"]).output().unwrap();
    let plan = place.file("again.toml", &String::from_utf8(output.stdout).unwrap());
    assert!(place.lab(Path::new("none"), &["check", plan.to_str().unwrap()]).status().unwrap().success());
}
