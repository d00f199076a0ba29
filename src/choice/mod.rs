//! Every decision of the gateway. Its settings, events and actions are in `src/interface.rs`.
//!
//! The ordinary path: a request's guessed units are added to the customer's shared count before it is sent;
//! past the limit it is refused at once; its true units settle the difference on the customer's next charge;
//! a counter that fails lets requests through. Use fades from the count. The sections follow a request's way.

use crate::interface::*;
use crate::lots::lot;
use crate::state::*;
use std::collections::BTreeMap;
use tuned::*;

mod admission;
mod attempts;
mod cold;
mod counting;
mod health;
mod list;
mod pick;
mod tuned;

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    started: Millis,
    ticking: bool,
    backends: BTreeMap<BackendId, Backend>,
    customers: BTreeMap<CustomerId, Customer>,
    requests: BTreeMap<RequestId, Open>,
    counter: counting::Counter,
    /// The requests by service, by index.
    flows: Vec<Flow>,
    /// Mean units of a request.
    units: f64,
    /// Usual time of each class on an idle backend of usual pace, and answers seen.
    usual: Vec<(f64, f64)>,
    list_retry: Option<Millis>,
    /// Gateways present, as last told, those reckoned with then, and when; none where nobody tells.
    present: Option<(f64, f64, Millis)>,
    told: Told,
}

/// What the next line of the log sums up.
#[derive(Default)]
struct Told {
    ticks: u32,
    requests: u32,
    /// Refused for want of room, beyond the quota, and with no attempt left or allowed.
    crowded: u32,
    beyond: u32,
    unsent: u32,
}

impl Gateway {
    /// A gateway that starts now, knowing its settings alone.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Self {
        let usual: Vec<_> = settings.classes.iter().map(|c| (c.target_ms * USUAL_OF_AIM, 0.0)).collect();
        let counter = counting::Counter::new(settings.gateways, now);
        let flows = vec![Flow::new(&settings.rules, now)];
        Gateway {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            started: now,
            ticking: false,
            backends: BTreeMap::new(),
            customers: BTreeMap::new(),
            requests: BTreeMap::new(),
            counter,
            flows,
            units: 1.0,
            usual,
            list_retry: None,
            present: None,
            told: Told::default(),
        }
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        if !self.ticking {
            self.ticking = true;
            actions.push(Action::Timer { token: TOKEN_TICK, after_ms: TICK_MS });
            if self.settings.list_polled {
                actions.push(Action::Watch);
            }
        }
        match event {
            Event::List { full, entries } => self.list(now, full, entries),
            Event::Settings(settings) => self.retune(settings),
            Event::ListFailed => self.list_retry = Some(now + EJECT_MS * (1.0 + self.rng.f64())),
            Event::Request(request) => self.request(now, request, actions),
            Event::BodySent { id, attempt } => self.whole(now, id, attempt),
            Event::ResponseStarted { id, attempt } => self.started_answer(now, id, attempt),
            Event::Outcome(outcome) => self.outcome(now, outcome, actions),
            Event::ClientGone { id } => self.close(id, actions),
            Event::Timer { token } => match token & !TOKEN_ID {
                TOKEN_WAIT => drop(self.decide(now, token & TOKEN_ID, actions)),
                _ => self.tick(now, actions),
            },
            Event::Gateways { present, majority } => {
                let told = if majority { present.max(1) } else { self.settings.gateways.max(1) };
                self.present = Some((f64::from(told), self.gateways(now), now));
            }
            Event::Message { from, body } => self.message(now, from, &body, actions),
            Event::Probed { .. } => {}
            Event::Counted { name, result, total, took_ms } => {
                self.counted(now, name, result, total, took_ms, actions)
            }
        }
    }

    /// Other settings: what was learned and counted stays. A class that is new or changed starts at the usual
    /// time of those that are known; its first answer tells its own.
    fn retune(&mut self, settings: Settings) {
        let seen = self.usual.iter().filter(|(_, seen)| *seen > 0.0);
        let (sum, known) = seen.fold((0.0, 0.0), |(sum, n), (usual, _)| (sum + usual, n + 1.0));
        let former = std::mem::replace(&mut self.settings, settings);
        let (gateways, position) = (self.settings.gateways, self.settings.position);
        for b in self.backends.values_mut() {
            b.lot = lot(b.listed.id, gateways, position);
        }
        for (number, class) in self.settings.classes.iter().enumerate() {
            let fresh = if known > 0.0 { sum / known } else { class.target_ms * USUAL_OF_AIM };
            match self.usual.get_mut(number) {
                Some(usual) if former.classes[number] != *class => *usual = (fresh, 0.0),
                Some(_) => {}
                None => self.usual.push((fresh, 0.0)),
            }
        }
    }

    /// Gateways among which an even part is reckoned: as the settings say, or as membership tells.
    fn gateways(&self, now: Millis) -> f64 {
        let Some((told, former, at)) = self.present else { return f64::from(self.settings.gateways.max(1)) };
        told + (former - told).max(0.0) * (-(now - at).max(0.0) / GATEWAYS_MS).exp()
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { token: TOKEN_TICK, after_ms: TICK_MS });
        if self.list_retry.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Watch);
        }
        self.told.ticks += 1;
        if self.told.ticks >= TELL_TICKS {
            let told = std::mem::take(&mut self.told);
            let Told { requests, crowded, beyond, unsent, .. } = told;
            if crowded + beyond + unsent > 0 {
                let calls = self.counter.pace;
                let left_out = self.backends.values().filter(|b| now < b.out_until).count();
                let line = format!(
                    "{requests} requests: {crowded} found no room, {beyond} were beyond the quota, {unsent} \
                     could not be sent (on); {left_out} servers left out, counter calls at {calls:.0}/s"
                );
                actions.push(Action::Log { line });
            }
        }
        let longest = self.settings.plans.iter().filter(|p| p.ceiling_rate > 0.0);
        let longest = longest.map(|p| p.ceiling_burst / p.ceiling_rate * 1000.0).fold(IDLE_MS, f64::max);
        self.customers.retain(|_, c| c.calls > 0 || c.out > 0 || c.waiting > 0.0 || now - c.last < longest);
    }
}
