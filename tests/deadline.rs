//! A request's time from client to last attempt, on loopback sockets.
#![allow(missing_docs)]

mod played;

use played::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in ms, so far from now.
fn moment(ms: i64) -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64 + ms
}

/// A request that states a moment besides what remains.
fn until(text: &str, ms: i64) -> String {
    text.replacen("X-Quota", &format!("X-Deadline-Unix-Ms: {}\r\nX-Quota", moment(ms)), 1)
}

#[test]
fn a_moment_that_is_over_is_answered_at_once_and_sent_nowhere() {
    let (backend, got) = good();
    let gateway = Gateway::new(&operated(&[backend]));
    let at = gateway.operator();
    for text in
        [until(&look(1, 1, 3000), -1), until(&look(2, 1, 3000), -86_400_000), look(3, 1, 0), look(4, 1, 1)]
    {
        let start = Instant::now();
        assert_eq!(gateway.ask(&text).status(), 429, "{text}");
        assert!(start.elapsed() < Duration::from_millis(500));
    }
    assert_eq!(got.lock().unwrap().len(), 0);
    assert_eq!(metric(at, "heronstage_expired_total{place=\"decision\"}"), 4.0);
    assert_eq!(metric(at, "heronstage_refusals_total{reason=\"time\"}"), 4.0);
    // One ahead counts like what remains, and the earlier of both holds.
    assert_eq!(gateway.ask(&until(&look(5, 1, 3000), 600)).status(), 200);
    assert_eq!(gateway.ask(&until(&look(6, 1, 400), 3000)).status(), 200);
    let told: Vec<u64> =
        got.lock().unwrap().iter().map(|m| m.headers["x-remaining-ms"].parse().unwrap()).collect();
    assert!(told[0] > 300 && told[0] <= 590 && told[1] > 200 && told[1] <= 390, "{told:?}");
    assert_eq!(metric(at, "heronstage_time_left_seconds_count{at=\"sent\"}"), 2.0);
}

#[test]
fn times_that_say_nothing_are_the_clients_fault() {
    let (backend, got) = good();
    let gateway = Gateway::new(&calm(&[backend]));
    let fine = look(1, 1, 3000);
    let line = "X-Remaining-Ms: 3000\r\n";
    for bad in ["-1", "1.5", "soon", "", "99999999999999999999", "3600001"] {
        let text = fine.replace(line, &format!("X-Remaining-Ms: {bad}\r\n"));
        assert_eq!(gateway.ask(&text).status(), 400, "{bad:?}");
        let text =
            fine.replace(line, &format!("{line}X-Deadline-Unix-Ms: {}\r\n", bad.replace("3600001", "9")));
        assert_eq!(gateway.ask(&text).status(), if bad == "3600001" { 429 } else { 400 }, "{bad:?}");
    }
    assert_eq!(gateway.ask(&fine.replace(line, &format!("{line}{line}"))).status(), 400);
    assert_eq!(gateway.ask(&fine.replace(line, "")).status(), 400);
    assert_eq!(gateway.ask(&until(&fine, 3_700_000)).status(), 400, "a clock that is an hour off");
    assert_eq!(got.lock().unwrap().len(), 0);
    // A moment alone will do.
    assert_eq!(gateway.ask(&until(&fine.replace(line, ""), 2000)).status(), 200);
}

#[test]
fn an_attempt_gets_no_more_than_what_is_left_of_a_moment() {
    let (closed_to, closed) = channel();
    let addr = serve(move |_| Play::Hush(closed_to.clone()));
    let gateway = Gateway::new(&operated(&[addr]));
    let at = gateway.operator();
    let start = Instant::now();
    let answer = gateway.ask(&until(&post("once", "", "x"), 500));
    assert_eq!(answer.status(), 502, "it may have run");
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(300) && took < Duration::from_millis(900), "{took:?}");
    closed.recv_timeout(LONG).expect("the attempt is withdrawn");
    assert_eq!(metric(at, "heronstage_expired_total{place=\"servers\"}"), 1.0);
}

#[test]
fn a_body_that_is_not_whole_by_the_moment_is_refused_then() {
    let (backend, got) = good();
    let gateway = Gateway::new(&operated(&[backend]));
    let at = gateway.operator();
    let text = until(&post("once", "", "all of it"), 400);
    let mut open = gateway.open();
    let start = Instant::now();
    open.get_mut().write_all(&text.as_bytes()[..text.len() - 4]).unwrap();
    let answer = read(&mut open).expect("an answer");
    assert_eq!(answer.status(), 429, "nothing was sent on");
    let took = start.elapsed();
    assert!(took >= Duration::from_millis(200) && took < Duration::from_millis(900), "{took:?}");
    assert_eq!(metric(at, "heronstage_expired_total{place=\"body\"}"), 1.0);
    assert_eq!(got.lock().unwrap().len(), 0);
}

#[test]
fn a_large_body_moves_what_remains_but_not_a_moment() {
    let addr = serve(|_| Play::Hush(channel().0));
    let gateway = Gateway::new(&calm(&[addr]));
    let body = "b".repeat(200_000);
    let ask = |text: &str| {
        let start = Instant::now();
        let status = gateway.ask(text).status();
        assert!(status == 502 || status == 429, "{status}");
        start.elapsed()
    };
    let text = post("once", "", &body).replace("X-Remaining-Ms: 3000", "X-Remaining-Ms: 2500");
    let took = ask(&until(&text, 700));
    assert!(took < Duration::from_millis(1500), "{took:?}");
    // One whose rest does not come ends at its moment too, at its server's as well.
    let (closed_to, closed) = channel();
    let addr = serve(move |_| Play::Hush(closed_to.clone()));
    let gateway = Gateway::new(&calm(&[addr]));
    let text = until(&text, 700);
    let mut open = gateway.open();
    let start = Instant::now();
    open.get_mut().write_all(&text.as_bytes()[..text.len() - 50_000]).unwrap();
    let answer = read(&mut open).expect("an answer");
    assert_eq!(answer.status(), 408);
    assert!(start.elapsed() < Duration::from_millis(1000), "{:?}", start.elapsed());
    assert!(closed.try_recv().is_err(), "no server had it whole");
}

#[test]
fn no_server_is_sent_what_has_expired() {
    let told = Arc::new(Mutex::new(Vec::<u64>::new()));
    let seen = told.clone();
    let backend = serve(move |m| {
        seen.lock().unwrap().push(m.headers["x-remaining-ms"].parse().unwrap());
        Play::Say(say(200, "", "fine"))
    });
    let gateway = Gateway::new(&calm(&[backend]));
    let mut open = gateway.open();
    let mut statuses = Vec::new();
    for number in 0..400 {
        let text = until(&look(number, 1, 3000), (number % 40) as i64);
        open.get_mut().write_all(text.as_bytes()).unwrap();
        statuses.push(read(&mut open).expect("an answer").status());
    }
    let told = told.lock().unwrap();
    assert!(!told.is_empty() && told.len() < 400, "{} of 400", told.len());
    // What is left when it is written is under the 40 ms stated, less the answer's way.
    assert!(told.iter().all(|ms| *ms < 30), "{told:?}");
    assert!(statuses.iter().filter(|status| **status == 429).count() >= 80, "{statuses:?}");
}
