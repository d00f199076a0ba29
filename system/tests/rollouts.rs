//! Roll-outs of new versions of services: the operator's orders, and what the system does with them.

mod simulated;

use oakfall_system::api::Reply;
use simulated::callers::config_body;
use simulated::World;

/// A started system whose configuration holds the service `s`.
fn started_world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 0, 2, 4, 0);
    world.callers.churn = false;
    world.start();
    world.run_until(3_000.0);
    let version = world.model.add_version(world.now, 1, 0);
    let reply = call(&mut world, 0, "POST", "/api/Config.Put", &config_body(1, 0, version as u64));
    assert_eq!(reply.status, 200, "{}", reply.body);
    world.model.acknowledge(world.now, version);
    world
}

/// The reply to a call at a core process; one with status 0 if none came.
fn call(world: &mut World, core: usize, method: &'static str, path: &str, body: &str) -> Reply {
    let token = world.call(core, method, path.to_owned(), body.as_bytes().to_vec());
    world.run_until(world.now + 1_500.0);
    let no_reply = Reply { status: 0, body: String::new(), retry_after_ms: None };
    world.replies.remove(&token).unwrap_or(no_reply)
}

/// Guards against a valid order that is answered 404 and never acknowledged.
#[test]
fn an_order_to_roll_out_a_version_is_acknowledged() {
    let mut world = started_world(1);
    let order = r#"{"service":"s","to_edition":"v2","by_time":"12s"}"#;
    let reply = call(&mut world, 0, "POST", "/api/Rollouts.Start", order);
    assert_eq!(reply.status, 200, "{}", reply.body);
    let progress = call(&mut world, 1, "GET", "/api/Rollouts.Get/s", "");
    assert_eq!(progress.status, 200, "{}", progress.body);
}
