//! Configurations as people write them: every bad file with its exact words, the layers, and what is made from the
//! typed structure.
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

/// Writes a file of its own with that ending.
fn file(text: impl AsRef<[u8]>, ending: &str) -> PathBuf {
    let path = write_config(&serde_json::json!({})).with_extension(ending);
    std::fs::write(&path, text).unwrap();
    path
}

/// What `check` says of a file: the mistakes without the program's and the file's names.
fn mistakes(path: &Path) -> Vec<String> {
    let (code, out, err) = run_command(gateway_command().arg("check").arg(path));
    assert_eq!((code, out.as_str()), (2, ""), "{err}");
    let start = format!("heronstage: {}:", path.display());
    err.lines().map(|line| line.strip_prefix(&start).unwrap_or(line).to_owned()).collect()
}

#[test]
fn the_example_is_right_and_starts_as_printed() {
    let text = example();
    let path = file(&text, "toml");
    assert_eq!(
        run_command(gateway_command().arg("check").arg(&path)),
        (0, "no mistake\n".to_owned(), String::new())
    );
    // On its own ports it may meet another program here; all else is as printed.
    let child = std::process::Command::new(env!("CARGO_BIN_EXE_heronstage"))
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
fn what_is_made_from_the_types_stands_in_the_documents() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let read = |name: &str| std::fs::read_to_string(root.join(name)).unwrap();
    let made = |what: &str| run_command(gateway_command().args(["config", what])).1;
    assert_eq!(read("configuration.schema.json"), made("schema"), "heronstage config schema has moved on");
    assert_eq!(read("configuration.example.toml"), made("example"), "heronstage config example has moved on");
    assert!(read("configuration.md").contains(&made("keys")), "heronstage config keys has moved on");
}

#[test]
fn every_mistake_is_told_at_once_with_its_line_and_what_is_wanted() {
    let bad = "\
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
    let mut told = mistakes(&file(bad, "toml"));
    told.sort_by_key(|line| line.split(':').next().unwrap().parse::<u32>().unwrap());
    let wanted = [
        "1: zone: \"east\" is none of zones",
        "4: listeners.operators: 127.0.0.1:9000 is taken by listeners.clients, 127.0.0.1:9000",
        "5: discovery.address: missing; wanted an address and its port, like 10.0.0.4:9000",
        "6: discovery.adress: not known; the nearest known key is address",
        "8: limits.descriptors: got 12, wanted a whole number of at least 40",
        "9: limits.memory: got 192, wanted a size with its unit, like 64 KiB or 192 MiB",
        "11: servers.connect_timeout: got \"soon\", wanted a time with its unit, like 250ms, 2s or 1m 30s",
        "13: retries.attempts: got \"three\", wanted a whole number of at least 1",
        "16: classes[0].aim: got 500, wanted a time with its unit, like 250ms, 2s or 1m 30s",
        "17: classes[0].deadline: a deadline that is not above 0",
        "18: classes[0].effect: got \"harmless\", wanted one of safe, keyed, unsafe",
        "20: classes[1].name: a name stands twice",
        "26: plans[0].rate: got -2.0, wanted a number of at least 0",
    ];
    assert_eq!(told, wanted);
}

#[test]
fn files_that_are_no_configuration_are_told_where_they_break() {
    let text = example();
    let cut = &text[..text.find("clients = \"127").unwrap() + 14];
    let deep = "[".repeat(10_000_000);
    let nested = format!("a = {deep}");
    for (text, ending, wanted) in [
        ("", "toml", "1: empty"),
        (" \n\t", "json", "1: empty"),
        (cut, "toml", "18: invalid basic string, expected `\"`"),
        ("name = \"a\"\nname = \"b\"\n", "toml", "2: duplicate key"),
        ("{\"name\": \"a\",\n \"name\": \"b\"}", "json", "2: name: it stands twice"),
        ("{\"a\": {\"b\": [1, {\"c\": 1,\n\"c\": 2}]}}", "json", "2: a.b[1].c: it stands twice"),
        (&nested, "toml", "1: cannot recurse further; max recursion depth met"),
        ("{\"name\": \"a\"", "json", "1: EOF while parsing an object at line 1 column 12"),
        (&deep, "json", "1: recursion limit exceeded at line 1 column 128"),
        ("[quotas]\nunits_most = nan\n", "toml", "2: quotas.units_most: got nan, wanted a finite number"),
        (
            "[quotas]\nunits_most = 99999999999999999999\n",
            "toml",
            "2: quotas.units_most: 99999999999999999999: number too large to fit in target type",
        ),
    ] {
        let told = mistakes(&file(text, ending));
        assert_eq!(told, [wanted], "{}", &text[..text.len().min(60)]);
    }
    assert_eq!(mistakes(&file(b"name = \"\xff\"", "toml")).len(), 1);
    let absent = mistakes(Path::new("/nowhere/at.toml"));
    assert_eq!(absent, [" No such file or directory (os error 2)"]);
    let folder = mistakes(&std::env::temp_dir());
    assert_eq!(folder, [" Is a directory (os error 21)"]);
    let long = file(vec![b'#'; (16 << 20) + 1], "toml");
    assert_eq!(mistakes(&long), [" over 16 MiB"]);
    std::fs::remove_file(long).unwrap();
}

#[test]
fn what_keys_mean_together_is_checked() {
    let changed = |from: &str, to: &str| {
        let text = example();
        assert!(text.contains(from), "{from}");
        mistakes(&file(text.replacen(from, to, 1), "toml")).join("\n")
    };
    let told = changed("# position = 0", "position = 1");
    assert!(told.ends_with(" fleet.position: not below fleet.gateways"), "{told}");
    let told = changed("name = \"look\"", "name = \"a/b\"");
    assert!(told.contains("classes[0].name: letters, digits"), "{told}");
    let told = changed("# tick = \"1ms\"", "tick = \"2d\"");
    assert!(told.ends_with("rules.tick: out of range"), "{told}");
    let cluster = "# [cluster]\n# The cluster's name; datagrams of others are dropped.\n# name = \"granite\"\n# Where other members are heard, over UDP.\n# listen = \"127.0.0.1:7946\"";
    let told =
        changed(cluster, "[cluster]\nname = \"granite\"\nlisten = \"0.0.0.0:7946\"\ntimeout = \"900ms\"");
    assert!(
        told.contains("cluster.advertise: an address at which")
            && told.contains("cluster.timeout: 1 ms to half"),
        "{told}"
    );
}

#[test]
fn the_platforms_own_file_is_checked_by_its_own_names_and_keeps_its_tolerance() {
    let mut config = basic_config(&[refusing_address()]);
    config["nobody knows"] = 1.into();
    config["operator"] = serde_json::Value::Null;
    let fine = file(config.to_string(), "json");
    assert_eq!(run_command(gateway_command().arg("check").arg(&fine)).0, 0);
    config["settings"]["rules"]["cold-from"] = "warm".into();
    config["settings"]["limits"]["try-limit"] = 0.into();
    config["settings"]["categories"][1]["give-up-ms"] = 0.into();
    config["limits"]["sockets"] = 7.into();
    config["counter"] = 12.into();
    let told = mistakes(&file(format!("{config:#}"), "json"));
    let told: Vec<_> = told.iter().map(|line| line.split_once(": ").unwrap().1).collect();
    for wanted in [
        "counter: got 12, wanted an address and its port, like 10.0.0.4:9000",
        "limits.sockets: at least 40 are needed",
        "settings.categories[1].give-up-ms: a deadline that is not above 0",
        "settings.limits.try-limit: not above 0",
        "settings.rules.cold-from: got \"warm\", wanted a number",
    ] {
        assert!(told.contains(&wanted), "{wanted}\n{told:#?}");
    }
    assert_eq!(told.len(), 5, "{told:#?}");
}

#[test]
fn layers_come_one_over_the_other_and_each_is_named() {
    let path = file(example(), "toml");
    let mut command = gateway_command();
    command
        .env("HERONSTAGE_LIMITS__DESCRIPTORS", "512")
        .env("HERONSTAGE_NAME", "from the environment")
        .args(["config", "show", "--json", "--set", "name=from a flag", "--set", "retries.attempts=2"])
        .arg(&path);
    let (code, out, err) = run_command(&mut command);
    assert_eq!((code, err.as_str()), (0, ""));
    let rows: Vec<serde_json::Value> = serde_json::from_str(&out).unwrap();
    let of = |key: &str| {
        let row = rows.iter().find(|row| row["key"] == key).unwrap();
        (row["value"].clone(), row["from"].as_str().unwrap().to_owned())
    };
    assert_eq!(of("name"), ("from a flag".into(), "flag --set".into()));
    assert_eq!(of("retries.attempts"), (2.into(), "flag --set".into()));
    assert_eq!(of("limits.descriptors"), (512.into(), "environment HERONSTAGE_LIMITS__DESCRIPTORS".into()));
    assert_eq!(of("servers.connect_timeout"), ("250ms".into(), "default".into()));
    let line = example().lines().position(|line| line.starts_with("clients = ")).unwrap() + 1;
    assert_eq!(of("listeners.clients").1, format!("{}:{line}", path.display()));
    // A mistake is told where it was made.
    let mut command = gateway_command();
    command.env("HERONSTAGE_LIMITS__DESCRIPTORS", "many").arg("check").arg(&path).args(["--set", "zoen=a"]);
    let (code, _, err) = run_command(&mut command);
    assert_eq!(code, 2);
    let wanted = "heronstage: flag --set: zoen: not known; the nearest known key is zone\n\
        heronstage: environment HERONSTAGE_LIMITS__DESCRIPTORS: limits.descriptors: got \"many\", wanted a whole number of at least 40\n";
    let mut lines: Vec<_> = err.lines().collect();
    lines.sort_by_key(|line| !line.contains("zoen"));
    assert_eq!(lines.join("\n") + "\n", wanted);
}

/// A gateway by a file for people, which tests change.
fn serving(change: impl Fn(String) -> String) -> (Gateway, std::net::SocketAddr) {
    let own = example().replace("127.0.0.1:9000", "127.0.0.1:0").replace("127.0.0.1:9100", "127.0.0.1:0");
    let path = file(change(own), "toml");
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_heronstage"));
    let child =
        command.args(["serve", "--config"]).arg(&path).stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
    let gateway = Gateway::started((child.unwrap(), path));
    let at = gateway.operator();
    (gateway, at)
}

#[test]
fn a_reload_is_whole_or_nothing_and_names_the_keys() {
    let (gateway, at) = serving(|text| text);
    let reload = |text: &str| {
        std::fs::write(&gateway.path, text).unwrap();
        run_command(gateway_command().args(["reload", "--operators", &at.to_string()]))
    };
    let first = std::fs::read_to_string(&gateway.path).unwrap();
    assert_eq!(reload(&first), (0, "nothing changed\n".to_owned(), String::new()));
    let other =
        first.replace("# attempts = 3", "attempts = 2").replace("name = \"small\"", "name = \"large\"");
    assert_eq!(reload(&other), (0, "changed: plans\nchanged: retries.attempts\n".to_owned(), String::new()));
    let (code, out, err) =
        reload(&other.replace("127.0.0.1:8500", "nowhere").replace("attempts = 2", "attempts = 0"));
    assert_eq!((code, out.as_str()), (1, ""));
    assert!(
        err.contains("discovery.address: got \"nowhere\"") && err.contains("retries.attempts: got 0"),
        "{err}"
    );
    let moved = other
        .replace("clients = \"127.0.0.1:0\"", "clients = \"127.0.0.2:0\"")
        .replace("attempts = 2", "attempts = 1");
    let (code, _, err) = reload(&moved);
    assert_eq!(code, 1);
    assert!(err.contains("listeners.clients: needs a restart"), "{err}");
    // Neither changed a thing.
    assert_eq!(reload(&other), (0, "nothing changed\n".to_owned(), String::new()));
    wait_for_stat(at, "relay_cfg_accepted_total", 3);
    wait_for_stat(at, "relay_cfg_invalid_total", 2);
}

#[test]
fn json_for_people_has_the_same_keys_and_mistakes() {
    let whole = serde_json::json!({
        "listeners": {"clients": "127.0.0.1:0"},
        "discovery": {"address": "127.0.0.1:8500"},
        "classes": [{"name": "look", "aim": "1s", "deadline": "2s", "effect": "safe"}],
        "plans": [{"name": "small", "rate": 1.0, "burst": 2.0}],
    });
    let fine = file(format!("{whole:#}"), "json");
    assert_eq!(
        run_command(gateway_command().arg("check").arg(&fine)),
        (0, "no mistake\n".to_owned(), String::new())
    );
    let mut bad = whole;
    bad["classes"][0]["deadline"] = 2000.into();
    bad["plans"][0]["rat"] = 1.0.into();
    bad["counter"] = serde_json::Value::Null;
    let mut told = mistakes(&file(format!("{bad:#}"), "json"));
    told.iter_mut().for_each(|line| *line = line.split_once(": ").unwrap().1.to_owned());
    told.sort_unstable();
    let wanted = [
        "classes[0].deadline: got 2000, wanted a time with its unit, like 250ms, 2s or 1m 30s",
        "counter: got nothing, wanted a table",
        "plans[0].rat: not known; the nearest known key is rate",
    ];
    assert_eq!(told, wanted);
}

#[test]
fn the_platforms_file_is_taken_and_what_needs_a_restart_is_named() {
    let (backend, _) = healthy_backend();
    let config = config_with_operator(&[backend]);
    let gateway = Gateway::new(&config);
    let at = gateway.operator();
    let mut other = config.clone();
    other["settings"]["limits"]["try-limit"] = 2.into();
    other["limits"]["sockets"] = 300.into();
    other["seed"] = "1".into();
    std::fs::write(&gateway.path, other.to_string()).unwrap();
    let (code, out, err) = run_command(gateway_command().args(["reload", "--operators", &at.to_string()]));
    let wanted = "changed: limits.sockets, holds after a restart\nchanged: settings.limits.try-limit\n";
    assert_eq!((code, out.as_str(), err.as_str()), (0, wanted, ""));
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
fn a_file_for_people_serves_as_the_platforms_does() {
    let (backend, got) = healthy_backend();
    let (counter, list) = (counter(Default::default()), Discovery::new());
    let (gateway, at) = serving(|text| {
        let counted = text
            .replace("# [counter]", "[counter]")
            .replace("# address = \"127.0.0.1:6400\"", &format!("address = \"{counter}\""));
        counted.replace("127.0.0.1:8500", &list.addr.to_string())
    });
    let (_, mut watch) = list.watch();
    let servers = serde_json::json!({"version": 1, "full": true, "servers": [entry(0, backend, "Ready")]});
    send_discovery_line(&mut watch, &servers.to_string());
    wait_until_healthy(at);
    assert_eq!(gateway.get(7, 2).status(), 200);
    assert_eq!(gateway.get(7, 30).status(), 429);
    assert_eq!(gateway.request(&post_request("order", IDEMPOTENCY_KEY_HEADER, "x")).status(), 404);
    assert_eq!(got.lock().unwrap().len(), 1);
}

#[test]
fn a_file_that_is_replaced_meanwhile_is_read_as_it_stood_at_one_moment() {
    let texts =
        [example(), example().replace("descriptors = 1024", "descriptors = 2048") + &"#\n".repeat(20_000)];
    let path = file(&texts[0], "toml");
    let (ended, turns) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let writer = std::thread::spawn({
        let (ended, turns, at) = (ended.clone(), turns.clone(), path.clone());
        move || {
            let beside = file("", "beside");
            while !ended.load(Ordering::SeqCst) {
                let turn = turns.fetch_add(1, Ordering::SeqCst);
                std::fs::write(&beside, &texts[turn % 2]).unwrap();
                std::fs::rename(&beside, &at).unwrap();
            }
        }
    });
    // Each check counts if the file was replaced while it ran; how many that takes is the machine's affair.
    let start = Instant::now();
    let mut replaced = 0;
    while replaced < 20 && start.elapsed() < 3 * TEST_TIMEOUT {
        let before = turns.load(Ordering::SeqCst);
        assert_eq!(run_command(gateway_command().arg("check").arg(&path)).0, 0);
        replaced += usize::from(turns.load(Ordering::SeqCst) > before + 1);
    }
    ended.store(true, Ordering::SeqCst);
    writer.join().unwrap();
    assert_eq!(replaced, 20, "the file was not replaced meanwhile");
}
