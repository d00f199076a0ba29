//! The command line against a gateway on loopback: output and exit codes of each command.
#![allow(missing_docs)]

mod harness;

use harness::*;
use std::net::SocketAddr;
use std::sync::mpsc::channel;

/// Runs a command against the gateway at this operator address; returns its exit code, standard output and
/// standard error.
fn run(args: &[&str], at: Option<SocketAddr>) -> (i32, String, String) {
    let mut command = gateway_command();
    command.args(args);
    if let Some(at) = at {
        command.args(["--operators", &at.to_string()]);
    }
    run_command(&mut command)
}

#[test]
fn without_arguments_it_serves_with_the_file_in_relay_config() {
    let (code, out, err) = run(&[], None);
    assert_eq!((code, out.as_str(), err.as_str()), (2, "", "oakfall-gateway: RELAY_CONFIG is not set\n"));
    // `serve` without arguments does the same.
    assert_eq!(run(&["serve"], None), (code, out, err));
}

#[test]
fn invalid_usage_exits_with_2() {
    for args in
        [&["frobnicate"][..], &["drain"], &["status", "--operators", "nowhere"], &["completions", "tcsh"]]
    {
        let (code, out, err) = run(args, None);
        assert_eq!((code, out.as_str()), (2, ""), "{args:?}");
        assert!(err.contains("Usage") || err.contains("--help"), "{args:?}: {err}");
    }
    let (code, _, err) = run(&["drain", "--timeout=-1", "--wait", "--operators", "127.0.0.1:1"], None);
    assert!(code == 2 && err.contains("--timeout"), "{code}: {err}");
}

#[test]
fn an_unreachable_gateway_exits_with_3() {
    let unresponsive = serve(|_| ServerAction::HangUntilClosed(channel().0));
    let not_a_gateway = serve(|_| ServerAction::RespondAndClose(response_text(200, "", "hello")));
    for command in ["status", "members", "drain", "resume"] {
        let (code, out, err) = run(&[command], Some(refusing_address()));
        assert_eq!((code, out.as_str()), (3, ""), "{command}: {err}");
    }
    assert_eq!(run(&["status"], Some(unresponsive)).0, 3);
    let (code, out, err) = run(&["status"], Some(not_a_gateway));
    assert!(code == 3 && out.is_empty() && err.contains("not a gateway's answer"), "{code}: {err}");
}

#[test]
fn status_shows_request_counts_and_process_usage() {
    let (backend, _) = healthy_backend();
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    for customer in 0..3 {
        assert_eq!(gateway.get(customer, 1).status(), 200);
    }
    assert_eq!(gateway.get(7, 9).status(), 429);
    let (code, out, err) = run(&["status", "--json"], Some(at));
    assert_eq!((code, err.as_str()), (0, ""));
    let status: serde_json::Value = serde_json::from_str(&out).unwrap();
    assert_eq!((&status["name"], &status["phase"]), (&"n0".into(), &"ready".into()));
    assert_eq!(status["pid"], gateway.child.id());
    let look = status["classes"].as_array().unwrap().iter().find(|c| c["name"] == "look").unwrap();
    assert_eq!((&look["fulfilled"], &look["throttled"], &look["faulted"]), (&3.into(), &1.into(), &0.into()));
    assert_eq!((&status["relayed"], &status["servers"]["listed"]), (&3.into(), &1.into()));
    assert!(status["process"]["resident_bytes"].as_u64().unwrap() > 1 << 20, "{out}");
    assert!(status["process"]["descriptors"].as_u64().unwrap() > 5, "{out}");
    assert_eq!(status["process"]["descriptors_most"], 256);
    let (code, out, _) = run(&["status"], Some(at));
    assert_eq!(code, 0);
    assert!(out.contains("servers        1 listed, 0 avoided\n"), "{out}");
    assert!(out.contains("class  served  refused  failed\n"), "{out}");
    assert!(out.contains("look   3       1        0\n"), "{out}");
}

#[test]
fn drain_waits_for_open_requests_and_resume_ends_it() {
    let (received_sender, received) = channel();
    let (release_sender, release) = channel::<()>();
    let release = std::sync::Mutex::new(release);
    let backend = serve(move |_| {
        let _ = received_sender.send(());
        let _ = release.lock().unwrap().recv_timeout(TEST_TIMEOUT);
        ServerAction::Respond(response_text(200, "", "done"))
    });
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    let client = std::thread::spawn({
        let mut connection = gateway.connect();
        move || {
            use std::io::Write;
            connection.get_mut().write_all(get_request(1, 1, 20_000).as_bytes()).unwrap();
            read_message(&mut connection).unwrap().status()
        }
    });
    received.recv_timeout(TEST_TIMEOUT).unwrap();
    let (code, out, err) = run(&["drain", "--wait", "--timeout", "0.2"], Some(at));
    assert_eq!((code, out.as_str()), (1, ""));
    assert!(err.contains("not drained: 1 requests open, 1 connections"), "{err}");
    release_sender.send(()).unwrap();
    let (code, out, err) = run(&["drain", "--wait"], Some(at));
    assert_eq!((code, out.as_str(), err.as_str()), (0, "drained\n", ""));
    assert_eq!(client.join().unwrap(), 200);
    assert!(!gateway.ready());
    assert_eq!(
        run(&["resume", "--json"], Some(at)),
        (0, "{\"state\":\"resumed\"}\n".to_owned(), String::new())
    );
    assert!(gateway.ready());
}

#[test]
fn members_shows_the_cluster_and_exits_with_1_without_one() {
    let without_cluster = Gateway::new(&config_with_operator(&[refusing_address()]));
    let at = without_cluster.operator();
    let (code, out, err) = run(&["members"], Some(at));
    assert_eq!((code, out.as_str()), (1, ""));
    assert!(err.contains("not a member of a cluster"), "{err}");
    let mut config = config_with_operator(&[refusing_address()]);
    config["cluster"] = serde_json::json!({"name": "granite", "listen": "127.0.0.1:0"});
    let gateway = Gateway::started(start(&config));
    // Log lines about the cluster come first.
    let at = loop {
        let line = gateway.log.recv_timeout(TEST_TIMEOUT).unwrap();
        if let Some((_, at)) = line.split_once("operators call at ") {
            break at.parse().unwrap();
        }
    };
    let (code, out, err) = run(&["members"], Some(at));
    assert_eq!((code, err.as_str()), (0, ""));
    assert!(out.starts_with("cluster granite: 1 present, 1 expected\n"), "{out}");
    assert!(out.contains("n0 ") && out.contains("this one"), "{out}");
    let view: serde_json::Value = serde_json::from_str(&run(&["members", "--json"], Some(at)).1).unwrap();
    assert_eq!(view["standing"], "member");
}

#[test]
fn top_prints_lines_if_the_output_is_not_a_terminal() {
    let (backend, _) = healthy_backend();
    let gateway = Gateway::new(&config_with_operator(&[backend]));
    let at = gateway.operator();
    assert_eq!(gateway.get(1, 1).status(), 200);
    let (code, out, err) = run(&["top", "--looks", "2", "--every", "0.05"], Some(at));
    assert_eq!((code, err.as_str()), (0, ""));
    let lines: Vec<_> = out.lines().collect();
    assert_eq!(lines.len(), 2, "{out}");
    assert!(lines[0].contains(" phase=ready served/s=- ") && lines[0].contains(" servers=1/1 "), "{out}");
    assert!(lines[1].contains(" served/s=0.0 refused/s=0.0 failed/s=0.0 "), "{out}");
    let (code, out, _) = run(&["top", "--looks", "2", "--every", "0.05", "--json"], Some(at));
    assert_eq!(code, 0);
    let objects: Vec<serde_json::Value> =
        out.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(objects.len(), 2);
    assert_eq!(run(&["top"], Some(refusing_address())).0, 3);
}

#[test]
fn the_log_command_changes_log_levels() {
    let gateway = Gateway::new(&config_with_operator(&[refusing_address()]));
    let at = gateway.operator();
    assert_eq!(
        run(&["log", "info,request=debug"], Some(at)),
        (0, "other levels\n".to_owned(), String::new())
    );
    assert_eq!(run(&["log", "request=loud"], Some(at)).0, 2);
    gateway.get(1, 1);
    while !gateway
        .log
        .recv_timeout(TEST_TIMEOUT)
        .expect("a log line about the request")
        .contains("request ended")
    {}
}

#[test]
fn completions_and_the_manual_page_name_the_commands() {
    let commands = ["serve", "status", "members", "drain", "resume"];
    for args in [&["completions", "bash"][..], &["completions", "zsh"], &["completions", "fish"], &["man"]] {
        let (code, out, err) = run(args, None);
        assert_eq!((code, err.as_str()), (0, ""));
        assert!(commands.iter().all(|command| out.contains(command)), "{args:?}: {out}");
    }
}

#[test]
fn a_closed_output_pipe_is_not_a_failure() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"));
    let output = command.arg("man").stdout(writer).stderr(std::process::Stdio::piped()).output().unwrap();
    assert_eq!((output.status.code(), output.stderr.as_slice()), (Some(0), &b""[..]));
}
