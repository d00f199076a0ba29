//! Tests of the gateway's configuration: errors of invalid files, layers, reloads, and generated documentation.
#![allow(missing_docs)]

mod harness;

use harness::*;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

fn example() -> String {
    run_command(gateway_command().args(["config", "example"])).1
}

/// Writes a new temporary file with this extension.
fn write_file(text: impl AsRef<[u8]>, extension: &str) -> PathBuf {
    let path = write_config(&serde_json::json!({})).with_extension(extension);
    std::fs::write(&path, text).unwrap();
    path
}

/// The errors that `check` prints for a file, without the program's name and the file's path.
fn check_errors(path: &Path) -> Vec<String> {
    let (code, out, err) = run_command(gateway_command().arg("check").arg(path));
    assert_eq!((code, out.as_str()), (2, ""), "{err}");
    let prefix = format!("oakfall-gateway: {}:", path.display());
    err.lines().map(|line| line.strip_prefix(&prefix).unwrap_or(line).to_owned()).collect()
}

#[test]
fn example_is_valid_and_starts_a_gateway() {
    let text = example();
    let path = write_file(&text, "toml");
    assert_eq!(
        run_command(gateway_command().arg("check").arg(&path)),
        (0, "no mistake\n".to_owned(), String::new())
    );
    // The example's ports may be in use; all else is unchanged.
    let child = std::process::Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"))
        .args(["serve", "--set", "listeners.clients=127.0.0.1:0", "--set", "listeners.operators=127.0.0.1:0"])
        .arg("--config")
        .arg(&path)
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let gateway = Gateway::started((child, path));
    assert_eq!(gateway.request("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

#[test]
fn generated_documentation_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let read = |name: &str| std::fs::read_to_string(root.join(name)).unwrap();
    let generate = |part: &str| run_command(gateway_command().args(["config", part])).1;
    assert_eq!(read("configuration.schema.json"), generate("schema"), "expected the output of config schema");
    assert_eq!(
        read("configuration.example.toml"),
        generate("example"),
        "expected the output of config example"
    );
    assert!(read("configuration.md").contains(&generate("keys")), "expected the output of config keys");
}

#[test]
fn all_errors_are_reported_at_once_with_line_and_expected_value() {
    let invalid = "\
zone = \"east\"
[listeners]
clients = \"127.0.0.1:9000\"
operators = \"127.0.0.1:9000\"
[discovery]
adress = \"127.0.0.1:8500\"
[limits]
descriptors = 12
memory = 192
[servers]
connect_timeout = \"soon\"
[retries]
attempts = \"three\"
[[classes]]
name = \"look\"
aim = 500
deadline = \"0s\"
effect = \"harmless\"
[[classes]]
name = \"look\"
aim = \"1s\"
deadline = \"2s\"
effect = \"safe\"
[[plans]]
name = \"small\"
rate = -2.0
burst = 4
";
    let mut errors = check_errors(&write_file(invalid, "toml"));
    errors.sort_by_key(|line| line.split(':').next().unwrap().parse::<u32>().unwrap());
    let expected = [
        "1: zone: \"east\" is not in zones",
        "4: listeners.operators: 127.0.0.1:9000 conflicts with listeners.clients, 127.0.0.1:9000",
        "5: discovery.address: missing; expected an address and its port, like 10.0.0.4:9000",
        "6: discovery.adress: unknown key; did you mean address?",
        "8: limits.descriptors: got 12, expected a whole number of at least 40",
        "9: limits.memory: got 192, expected a size with its unit, like 64 KiB or 192 MiB",
        "11: servers.connect_timeout: got \"soon\", expected a time with its unit, like 250ms, 2s or 1m 30s",
        "13: retries.attempts: got \"three\", expected a whole number of at least 1",
        "16: classes[0].aim: got 500, expected a time with its unit, like 250ms, 2s or 1m 30s",
        "17: classes[0].deadline: must be greater than 0",
        "18: classes[0].effect: got \"harmless\", expected one of safe, keyed, unsafe",
        "20: classes[1].name: duplicate name",
        "26: plans[0].rate: got -2.0, expected a number of at least 0",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn malformed_files_are_reported_with_the_line_of_the_error() {
    let text = example();
    let truncated = &text[..text.find("clients = \"127").unwrap() + 14];
    let deep = "[".repeat(10_000_000);
    let nested = format!("a = {deep}");
    for (text, extension, expected) in [
        ("", "toml", "1: empty"),
        (" \n\t", "json", "1: empty"),
        (truncated, "toml", "18: invalid basic string, expected `\"`"),
        ("name = \"a\"\nname = \"b\"\n", "toml", "2: duplicate key"),
        ("{\"name\": \"a\",\n \"name\": \"b\"}", "json", "2: name: duplicate key"),
        ("{\"a\": {\"b\": [1, {\"c\": 1,\n\"c\": 2}]}}", "json", "2: a.b[1].c: duplicate key"),
        (&nested, "toml", "1: cannot recurse further; max recursion depth met"),
        ("{\"name\": \"a\"", "json", "1: EOF while parsing an object at line 1 column 12"),
        (&deep, "json", "1: recursion limit exceeded at line 1 column 128"),
        ("[quotas]\nunits_most = nan\n", "toml", "2: quotas.units_most: got nan, expected a finite number"),
        (
            "[quotas]\nunits_most = 99999999999999999999\n",
            "toml",
            "2: quotas.units_most: 99999999999999999999: number too large to fit in target type",
        ),
    ] {
        let errors = check_errors(&write_file(text, extension));
        assert_eq!(errors, [expected], "{}", &text[..text.len().min(60)]);
    }
    assert_eq!(check_errors(&write_file(b"name = \"\xff\"", "toml")).len(), 1);
    let absent = check_errors(Path::new("/nowhere/at.toml"));
    assert_eq!(absent, [" No such file or directory (os error 2)"]);
    let directory = check_errors(&std::env::temp_dir());
    assert_eq!(directory, [" Is a directory (os error 21)"]);
    let oversized = write_file(vec![b'#'; (16 << 20) + 1], "toml");
    assert_eq!(check_errors(&oversized), [" over 16 MiB"]);
    std::fs::remove_file(oversized).unwrap();
}

#[test]
fn constraints_beyond_the_types_are_checked() {
    let errors_with_change = |from: &str, to: &str| {
        let text = example();
        assert!(text.contains(from), "{from}");
        check_errors(&write_file(text.replacen(from, to, 1), "toml")).join("\n")
    };
    let errors = errors_with_change("# position = 0", "position = 1");
    assert!(errors.ends_with(" fleet.position: must be less than fleet.gateways"), "{errors}");
    let errors = errors_with_change("name = \"look\"", "name = \"a/b\"");
    assert!(errors.contains("classes[0].name: must consist of letters, digits"), "{errors}");
    let errors = errors_with_change("# tick = \"1ms\"", "tick = \"2d\"");
    assert!(errors.ends_with("rules.tick: out of range"), "{errors}");
    let cluster = "# [cluster]\n# Name of the cluster; datagrams of other clusters are dropped.\n# name = \"granite\"\n# UDP address on which datagrams of other members are received.\n# listen = \"127.0.0.1:7946\"";
    let errors = errors_with_change(
        cluster,
        "[cluster]\nname = \"granite\"\nlisten = \"0.0.0.0:7946\"\ntimeout = \"900ms\"",
    );
    assert!(
        errors.contains("cluster.advertise: must be an address at which")
            && errors.contains("cluster.timeout: must be between 1 ms and half"),
        "{errors}"
    );
}

#[test]
fn errors_of_a_platform_file_name_its_own_keys_and_unknown_keys_are_allowed() {
    let mut config = basic_config(&[refusing_address()]);
    config["unknown-key"] = 1.into();
    config["operator"] = serde_json::Value::Null;
    let valid = write_file(config.to_string(), "json");
    assert_eq!(run_command(gateway_command().arg("check").arg(&valid)).0, 0);
    config["settings"]["rules"]["cold-from"] = "warm".into();
    config["settings"]["limits"]["try-limit"] = 0.into();
    config["settings"]["categories"][1]["give-up-ms"] = 0.into();
    config["limits"]["sockets"] = 7.into();
    config["counter"] = 12.into();
    let errors = check_errors(&write_file(format!("{config:#}"), "json"));
    let errors: Vec<_> = errors.iter().map(|line| line.split_once(": ").unwrap().1).collect();
    for expected in [
        "counter: got 12, expected an address and its port, like 10.0.0.4:9000",
        "limits.sockets: must be at least 40",
        "settings.categories[1].give-up-ms: must be greater than 0",
        "settings.limits.try-limit: must be greater than 0",
        "settings.rules.cold-from: got \"warm\", expected a number",
    ] {
        assert!(errors.contains(&expected), "{expected}\n{errors:#?}");
    }
    assert_eq!(errors.len(), 5, "{errors:#?}");
}

#[test]
fn flags_override_environment_overrides_file_and_each_source_is_named() {
    let path = write_file(example(), "toml");
    let mut command = gateway_command();
    command
        .env("HERONSTAGE_LIMITS__DESCRIPTORS", "512")
        .env("HERONSTAGE_NAME", "from the environment")
        .args(["config", "show", "--json", "--set", "name=from a flag", "--set", "retries.attempts=2"])
        .arg(&path);
    let (code, out, err) = run_command(&mut command);
    assert_eq!((code, err.as_str()), (0, ""));
    let rows: Vec<serde_json::Value> = serde_json::from_str(&out).unwrap();
    let value_and_source = |key: &str| {
        let row = rows.iter().find(|row| row["key"] == key).unwrap();
        (row["value"].clone(), row["from"].as_str().unwrap().to_owned())
    };
    assert_eq!(value_and_source("name"), ("from a flag".into(), "flag --set".into()));
    assert_eq!(value_and_source("retries.attempts"), (2.into(), "flag --set".into()));
    assert_eq!(
        value_and_source("limits.descriptors"),
        (512.into(), "environment HERONSTAGE_LIMITS__DESCRIPTORS".into())
    );
    assert_eq!(value_and_source("servers.connect_timeout"), ("250ms".into(), "default".into()));
    let line = example().lines().position(|line| line.starts_with("clients = ")).unwrap() + 1;
    assert_eq!(value_and_source("listeners.clients").1, format!("{}:{line}", path.display()));
    // An error names the source of the value.
    let mut command = gateway_command();
    command.env("HERONSTAGE_LIMITS__DESCRIPTORS", "many").arg("check").arg(&path).args(["--set", "zoen=a"]);
    let (code, _, err) = run_command(&mut command);
    assert_eq!(code, 2);
    let expected = "oakfall-gateway: flag --set: zoen: unknown key; did you mean zone?\n\
        oakfall-gateway: environment HERONSTAGE_LIMITS__DESCRIPTORS: limits.descriptors: got \"many\", expected a whole number of at least 40\n";
    let mut lines: Vec<_> = err.lines().collect();
    lines.sort_by_key(|line| !line.contains("zoen"));
    assert_eq!(lines.join("\n") + "\n", expected);
}

/// Starts a gateway with the example, changed by the test. Returns it with the operators' address.
fn start_with_example(change: impl Fn(String) -> String) -> (Gateway, std::net::SocketAddr) {
    let text = example().replace("127.0.0.1:9000", "127.0.0.1:0").replace("127.0.0.1:9100", "127.0.0.1:0");
    let path = write_file(change(text), "toml");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_oakfall-gateway"));
    let child =
        command.args(["serve", "--config"]).arg(&path).stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
    let gateway = Gateway::started((child.unwrap(), path));
    let operators = gateway.operator();
    (gateway, operators)
}

#[test]
fn reload_applies_all_changes_or_none_and_names_the_keys() {
    let (gateway, operators) = start_with_example(|text| text);
    let reload = |text: &str| {
        std::fs::write(&gateway.path, text).unwrap();
        run_command(gateway_command().args(["reload", "--operators", &operators.to_string()]))
    };
    let first = std::fs::read_to_string(&gateway.path).unwrap();
    assert_eq!(reload(&first), (0, "nothing changed\n".to_owned(), String::new()));
    let changed =
        first.replace("# attempts = 3", "attempts = 2").replace("name = \"small\"", "name = \"large\"");
    assert_eq!(
        reload(&changed),
        (0, "changed: plans\nchanged: retries.attempts\n".to_owned(), String::new())
    );
    let (code, out, err) =
        reload(&changed.replace("127.0.0.1:8500", "nowhere").replace("attempts = 2", "attempts = 0"));
    assert_eq!((code, out.as_str()), (1, ""));
    assert!(
        err.contains("discovery.address: got \"nowhere\"") && err.contains("retries.attempts: got 0"),
        "{err}"
    );
    let needs_restart = changed
        .replace("clients = \"127.0.0.1:0\"", "clients = \"127.0.0.2:0\"")
        .replace("attempts = 2", "attempts = 1");
    let (code, _, err) = reload(&needs_restart);
    assert_eq!(code, 1);
    assert!(err.contains("listeners.clients: needs a restart"), "{err}");
    // The rejected reloads changed nothing.
    assert_eq!(reload(&changed), (0, "nothing changed\n".to_owned(), String::new()));
    wait_for_stat(operators, "relay_cfg_accepted_total", 3);
    wait_for_stat(operators, "relay_cfg_invalid_total", 2);
}

#[test]
fn native_json_has_the_same_keys_and_errors_as_toml() {
    let config = serde_json::json!({
        "listeners": {"clients": "127.0.0.1:0"},
        "discovery": {"address": "127.0.0.1:8500"},
        "classes": [{"name": "look", "aim": "1s", "deadline": "2s", "effect": "safe"}],
        "plans": [{"name": "small", "rate": 1.0, "burst": 2.0}],
    });
    let valid = write_file(format!("{config:#}"), "json");
    assert_eq!(
        run_command(gateway_command().arg("check").arg(&valid)),
        (0, "no mistake\n".to_owned(), String::new())
    );
    let mut invalid = config;
    invalid["classes"][0]["deadline"] = 2000.into();
    invalid["plans"][0]["rat"] = 1.0.into();
    invalid["counter"] = serde_json::Value::Null;
    let mut errors = check_errors(&write_file(format!("{invalid:#}"), "json"));
    errors.iter_mut().for_each(|line| *line = line.split_once(": ").unwrap().1.to_owned());
    errors.sort_unstable();
    let expected = [
        "classes[0].deadline: got 2000, expected a time with its unit, like 250ms, 2s or 1m 30s",
        "counter: got nothing, expected a table",
        "plans[0].rat: unknown key; did you mean rate?",
    ];
    assert_eq!(errors, expected);
}

#[test]
fn reload_of_a_platform_file_succeeds_and_names_keys_that_need_a_restart() {
    let (backend, _) = healthy_backend();
    let config = config_with_operator(&[backend]);
    let gateway = Gateway::new(&config);
    let operators = gateway.operator();
    let mut changed = config.clone();
    changed["settings"]["limits"]["try-limit"] = 2.into();
    changed["limits"]["sockets"] = 300.into();
    changed["seed"] = "1".into();
    std::fs::write(&gateway.path, changed.to_string()).unwrap();
    let (code, out, err) =
        run_command(gateway_command().args(["reload", "--operators", &operators.to_string()]));
    let expected = "changed: limits.sockets, holds after a restart\nchanged: settings.limits.try-limit\n";
    assert_eq!((code, out.as_str(), err.as_str()), (0, expected, ""));
    let line = loop {
        let line = gateway.log.recv_timeout(TEST_TIMEOUT).unwrap();
        if line.contains("after a restart") {
            break line;
        }
    };
    assert!(
        line.starts_with(" WARN heronstage::gateway: these hold after a restart: limits.sockets"),
        "{line}"
    );
}

#[test]
fn native_file_with_counter_and_discovery_serves_requests() {
    let (backend, received) = healthy_backend();
    let (counter, discovery) = (counter(Default::default()), Discovery::new());
    let (gateway, operators) = start_with_example(|text| {
        let with_counter = text
            .replace("# [counter]", "[counter]")
            .replace("# address = \"127.0.0.1:6400\"", &format!("address = \"{counter}\""));
        with_counter.replace("127.0.0.1:8500", &discovery.addr.to_string())
    });
    let (_, mut watch) = discovery.watch();
    let servers = serde_json::json!({"version": 1, "full": true, "servers": [entry(0, backend, "Ready")]});
    send_discovery_line(&mut watch, &servers.to_string());
    wait_until_healthy(operators);
    assert_eq!(gateway.get(7, 2).status(), 200);
    assert_eq!(gateway.get(7, 30).status(), 429);
    assert_eq!(gateway.request(&post_request("order", IDEMPOTENCY_KEY_HEADER, "x")).status(), 404);
    assert_eq!(received.lock().unwrap().len(), 1);
}

#[test]
fn file_replaced_during_the_read_is_read_in_one_version() {
    let texts =
        [example(), example().replace("descriptors = 1024", "descriptors = 2048") + &"#\n".repeat(20_000)];
    let path = write_file(&texts[0], "toml");
    let (stopped, replacements) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let writer = std::thread::spawn({
        let (stopped, replacements, path) = (stopped.clone(), replacements.clone(), path.clone());
        move || {
            let temporary = write_file("", "beside");
            while !stopped.load(Ordering::SeqCst) {
                let number = replacements.fetch_add(1, Ordering::SeqCst);
                std::fs::write(&temporary, &texts[number % 2]).unwrap();
                std::fs::rename(&temporary, &path).unwrap();
            }
        }
    });
    // Only checks during which the file was replaced count.
    let start = Instant::now();
    let mut checks_with_replacement = 0;
    while checks_with_replacement < 20 && start.elapsed() < 3 * TEST_TIMEOUT {
        let before = replacements.load(Ordering::SeqCst);
        assert_eq!(run_command(gateway_command().arg("check").arg(&path)).0, 0);
        checks_with_replacement += usize::from(replacements.load(Ordering::SeqCst) > before + 1);
    }
    stopped.store(true, Ordering::SeqCst);
    writer.join().unwrap();
    assert_eq!(checks_with_replacement, 20, "expected 20 checks during which the file was replaced");
}
