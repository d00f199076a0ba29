//! A plan's steps, each played at its time and undone at its end.

use crate::model::registry::State;
use crate::plan::{
    CounterAction, CounterFault, DiscoveryAction, DiscoveryFault, GatewayAction, GatewayFault, LinkFault,
    ServerAction, ServerFault,
};
use crate::stage::World;
use std::sync::Arc;

/// What a step begins or ends with.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Turn {
    Begins,
    Ends,
}

/// Plays all steps; returns once the last one is over or undone.
pub async fn run(world: &Arc<World>) {
    let mut playing = tokio::task::JoinSet::new();
    for number in 0..world.plan.step.len() {
        let world = world.clone();
        playing.spawn(async move { step(&world, number).await });
    }
    while playing.join_next().await.is_some() {}
}

async fn step(world: &Arc<World>, number: usize) {
    let step = world.plan.step[number].clone();
    let at = world.begin() + step.at;
    let ends = step.duration_s.map(|lasts| at + lasts);
    if let Some(on) = &step.gateways {
        gateways(world, number, on, (at, ends)).await;
    } else if let Some(on) = &step.servers {
        servers(world, number, on, (at, ends)).await;
    } else {
        world.sleep_until(at).await;
        let mut fault = None;
        if let Some(on) = &step.link {
            fault = Some(begin_link(world, number, on));
        }
        turn(world, number, &step, Turn::Begins);
        if let Some(ends) = ends {
            world.sleep_until(ends).await;
            turn(world, number, &step, Turn::Ends);
            if let Some(fault) = fault {
                world.links.heal(&fault);
                world.refilter(&fault);
            }
        }
    }
}

fn begin_link(world: &World, number: usize, on: &LinkFault) -> crate::fault::FaultHandle {
    let fault = world.links.inject(&world.plan, number, on, world.now());
    world.refilter(&fault);
    fault
}

fn turn(world: &World, number: usize, step: &crate::plan::Step, turn: Turn) {
    if let Some(on) = &step.counter {
        counter(world, on, turn);
    }
    if let Some(on) = &step.discovery {
        discovery(world, number, on, turn);
    }
}

async fn gateways(world: &Arc<World>, number: usize, on: &GatewayFault, (at, ends): (f64, Option<f64>)) {
    let mut playing = tokio::task::JoinSet::new();
    for (turn, place) in world.plan.gateways(on.who, number).into_iter().enumerate() {
        let (world, act, late) = (world.clone(), on.action, on.every * turn as f64);
        playing.spawn(async move {
            world.sleep_until(at + late).await;
            let seat = world.gateways[place].clone();
            let done = match act {
                GatewayAction::Kill => {
                    seat.kill(&world).await;
                    match ends {
                        Some(ends) => {
                            world.sleep_until(ends + late).await;
                            seat.start(&world).await
                        }
                        None => Ok(()),
                    }
                }
                GatewayAction::Pause => {
                    seat.pause(&world, true);
                    world.sleep_until(ends.unwrap_or(at) + late).await;
                    seat.pause(&world, false);
                    Ok(())
                }
                GatewayAction::Restart => seat.restart(&world).await,
                GatewayAction::Upgrade => seat.upgrade(&world).await,
                GatewayAction::Reload => seat.reload(&world),
            };
            if let Err(e) = done {
                world.fault(e);
            }
        });
    }
    while playing.join_next().await.is_some() {}
}

async fn servers(world: &Arc<World>, number: usize, on: &ServerFault, (at, ends): (f64, Option<f64>)) {
    let mut playing = tokio::task::JoinSet::new();
    for (turn, place) in world.plan.servers(on.who, number).into_iter().enumerate() {
        let (world, on, late) = (world.clone(), on.clone(), on.every * turn as f64);
        playing.spawn(async move {
            world.sleep_until(at + late).await;
            server(&world, place, &on, Turn::Begins).await;
            if let Some(ends) = ends {
                world.sleep_until(ends + late).await;
                server(&world, place, &on, Turn::Ends).await;
            }
        });
    }
    while playing.join_next().await.is_some() {}
}

async fn server(world: &Arc<World>, place: usize, on: &ServerFault, turn: Turn) {
    use crate::ledger::ServerState;
    let (seat, begins) = (world.servers[place].clone(), turn == Turn::Begins);
    let share = if begins { on.by } else { 0.0 };
    match on.action {
        ServerAction::Kill if begins => {
            seat.kill(world);
            world.discovery_hears(place, State::Gone, false);
        }
        ServerAction::Kill => {
            seat.start(world).await;
            world.discovery_hears(place, State::Ready, true);
        }
        ServerAction::Vanish if begins => {
            seat.vanish(world, true);
            world.stands(place, ServerState::Unavailable);
            world.discovery_hears(place, State::Gone, false);
        }
        ServerAction::Vanish => {
            // The machine is back with a new process.
            seat.kill(world);
            seat.vanish(world, false);
            seat.start(world).await;
            world.discovery_hears(place, State::Ready, true);
        }
        ServerAction::Drain if begins => {
            world.stands(place, ServerState::Draining);
            world.discovery_hears(place, State::Draining, false);
        }
        ServerAction::Drain => {
            seat.kill(world);
            world.discovery_hears(place, State::Gone, false);
        }
        ServerAction::Join => {
            if begins {
                seat.start(world).await;
                world.discovery_hears(place, State::Ready, true);
            }
        }
        ServerAction::Slow => seat.trouble(world, |trouble| trouble.slow = if begins { on.by } else { 1.0 }),
        ServerAction::Errors => {
            let usual = world.plan.fleet.errors;
            seat.trouble(world, |trouble| trouble.errors = share.max(usual));
        }
        ServerAction::TurnAway => seat.trouble(world, |trouble| trouble.turn_away = share),
        ServerAction::Reset => seat.trouble(world, |trouble| trouble.reset = share),
        ServerAction::Spoil => seat.trouble(world, |trouble| trouble.spoil = share),
        ServerAction::Report => seat.trouble(world, |trouble| trouble.report = begins.then_some(on.by)),
    }
}

fn counter(world: &World, on: &CounterFault, turn: Turn) {
    let begins = turn == Turn::Begins;
    match on.action {
        CounterAction::Slow => {
            world.counter.model().slow_s = if begins { on.by / 1000.0 } else { 0.0 };
        }
        CounterAction::Out => world.counter.out(world, begins),
        CounterAction::Flush => {
            if begins {
                world.counter.model().flush();
            }
        }
        CounterAction::TurnAway => world.counter.model().turn_away = if begins { on.by } else { 0.0 },
    }
}

fn discovery(world: &World, number: usize, on: &DiscoveryFault, turn: Turn) {
    let begins = turn == Turn::Begins;
    for place in world.plan.gateways(on.who, number) {
        let mut agent = world.discovery.agent(place);
        match on.action {
            DiscoveryAction::Silent => agent.silent = begins,
            DiscoveryAction::Late => agent.late_s = if begins { on.by } else { 0.0 },
            DiscoveryAction::Stale => agent.stale_since = begins.then(|| world.now()),
        }
    }
    if on.action == DiscoveryAction::Silent && begins {
        world.discovery.silenced();
    }
    // Whoever waits for news looks again.
    world.changed.send_modify(|times| *times += 1);
}
