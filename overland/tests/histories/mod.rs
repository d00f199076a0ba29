//! Histories of the core: members of the agreement against a plain model, under loss, doubling, reordering, cuts one way,
//! kills at every step, slow processes and wiped disks. A history may be played with a fault in the program, too.
#![allow(dead_code)] // Each test program takes what it needs of it.

#[path = "../kept/mod.rs"]
mod kept;

use kept::{apply_save, InvariantCheck};
use overland::agreement::{Action, Agreement, Entry, Event, Saved, Say, Sizes};
use std::collections::{BTreeMap, BTreeSet};

/// What has been agreed on, as plainly as can be: one list. Whoever applies an entry must find it there, or adds it.
#[derive(Default)]
pub struct Model {
    pub agreed: BTreeMap<u64, Vec<u8>>,
    /// The highest number whose proposer was told that it is agreed on.
    told: u64,
    leaders: BTreeMap<u64, String>,
}

impl Model {
    fn applied(&mut self, index: u64, data: &[u8]) {
        let known = self.agreed.entry(index).or_insert_with(|| data.to_vec());
        assert_eq!(known, data, "two entries were agreed on as number {index}");
    }
}

/// A process of the core: its disk outlives it.
pub struct Machine {
    disk: Option<Saved>,
    founds: bool,
    pub running: Option<Agreement>,
    /// It is lost for good, with its disk.
    gone: bool,
    /// What it has applied, by number.
    state: BTreeMap<u64, Vec<u8>>,
}

fn encode(state: &BTreeMap<u64, Vec<u8>>) -> Vec<u8> {
    state
        .iter()
        .flat_map(|(index, data)| [&index.to_le_bytes()[..], &[data.len() as u8], data].concat())
        .collect()
}

fn decode(mut bytes: &[u8]) -> BTreeMap<u64, Vec<u8>> {
    let mut state = BTreeMap::new();
    while let Some((index, rest)) = bytes.split_first_chunk::<8>() {
        let (length, rest) = rest.split_first().expect("a length");
        let (data, rest) = rest.split_at(*length as usize);
        state.insert(u64::from_le_bytes(*index), data.to_vec());
        bytes = rest;
    }
    state
}

/// What is deliberately wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// A vote is sent before it is on disk.
    VoteBeforeSync,
    /// Entries are accepted before they are on disk.
    EntriesBeforeSync,
    /// A member forgets whom it voted for when it starts again.
    VoteForgotten,
    /// A process with an empty disk counts like any other.
    EmptyDiskCounts,
    /// A process with an empty disk founds the system again.
    FoundsAgain,
    /// What a leader of an earlier term sends is taken like the present one's.
    TermUnchecked,
    /// Whoever wrote a change down tells its proposer that it is agreed on.
    ToldUnreplicated,
    /// A leader answers for all as long as it knows of no other.
    OldLeaderAnswers,
    /// A leader goes by a clock that stood still while it slept.
    ClockStoodStill,
    /// Members are swapped in one entry, and the new list counts alone at once.
    SwappedInOneEntry,
    /// Who is told to end ends.
    LeaverJustEnds,
    /// A listener says that it holds what it is sent before it does, and takes a place without the log.
    PlacedWithoutLog,
}

fn swap_at_once(entry: &mut Entry) {
    if !entry.next_members.is_empty() {
        entry.new_members = std::mem::take(&mut entry.next_members);
    }
}

struct Letter {
    at: f64,
    from: usize,
    to: usize,
    say: Say,
}

pub struct World {
    rng: fastrand::Rng,
    now: f64,
    pub machines: Vec<Machine>,
    letters: Vec<Letter>,
    /// Pairs of which the first can't reach the second.
    cuts: BTreeSet<(usize, usize)>,
    pub model: Model,
    proposed: u64,
    loss: f64,
    compacts: bool,
    /// Which size of pieces, and which tail.
    sizes: (usize, usize),
    mutant: Option<Mutant>,
    /// Members die right after they have voted, now and then, and start again at once.
    pub nervous: bool,
    /// The history is in one of its troubles.
    troubled: bool,
    /// Things that have happened.
    pub events: u64,
    watched: InvariantCheck,
}

fn name(number: usize) -> String {
    format!("core{number}")
}

fn number(name: &str) -> usize {
    name.trim_start_matches("core").parse().expect("a number")
}

impl World {
    pub fn new(seed: u64, founders: usize, others: usize, mutant: Option<Mutant>) -> Self {
        let machine = |number| Machine {
            disk: None,
            founds: number < founders,
            running: None,
            gone: false,
            state: BTreeMap::new(),
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let (loss, compacts, nervous) = (rng.f64() * 0.2, rng.bool(), rng.f64() < 0.3);
        World {
            rng,
            now: 0.0,
            machines: (0..founders + others).map(machine).collect(),
            letters: Vec::new(),
            cuts: BTreeSet::new(),
            model: Model::default(),
            proposed: 0,
            loss,
            compacts,
            sizes: (seed as usize % 3, seed as usize / 3 % 2),
            mutant,
            nervous,
            troubled: false,
            events: 0,
            watched: InvariantCheck::start(),
        }
    }

    fn founders(&self) -> Vec<String> {
        (0..self.machines.len()).filter(|number| self.machines[*number].founds).map(name).collect()
    }

    pub fn start(&mut self, number: usize, first: bool) {
        let founders = self.founders();
        let machine = &mut self.machines[number];
        if machine.running.is_some() || machine.gone {
            return;
        }
        if first && machine.founds && machine.disk.is_none() {
            machine.disk = Some(Agreement::found(founders));
        }
        let mut saved = machine.disk.clone().unwrap_or_default();
        match self.mutant {
            Some(Mutant::VoteForgotten) => saved.vow.vote = None,
            Some(Mutant::EmptyDiskCounts) => saved.vow.counts = true,
            Some(Mutant::FoundsAgain) if machine.disk.is_none() => saved = Agreement::found(self.founders()),
            _ => {}
        }
        let machine = &mut self.machines[number];
        machine.state = decode(&saved.base.state);
        let agreement = Agreement::new(name(number), saved, self.rng.u64(..), self.now);
        // In some histories the log keeps nothing that the state holds, and in some a state comes in many pieces.
        let sizes = Sizes {
            piece: [1000, 3000, 1 << 15][self.sizes.0],
            tail: [0, 30][self.sizes.1],
            tail_bytes: 1 << 16,
        };
        machine.running = Some(agreement.sized(sizes));
    }

    fn kill(&mut self, number: usize) {
        self.machines[number].running = None;
    }

    /// Something happens at a machine. It may be killed between any two things that it does.
    fn step(&mut self, number: usize, event: Event, fatal: bool) {
        let Some(agreement) = &mut self.machines[number].running else { return };
        self.events += 1;
        let mut event = event;
        if let (Some(Mutant::TermUnchecked), Event::Heard { say: Say::Append(append), .. }) =
            (self.mutant, &mut event)
        {
            append.term = append.term.max(agreement.term());
        }
        if let (Some(Mutant::SwappedInOneEntry), Event::Heard { say: Say::Append(append), .. }) =
            (self.mutant, &mut event)
        {
            append.entries.iter_mut().for_each(swap_at_once);
        }
        let mut actions = Vec::new();
        agreement.handle(self.now, event, &mut actions);
        if self.mutant == Some(Mutant::PlacedWithoutLog) && number + 1 == self.machines.len() {
            for action in &mut actions {
                if let Action::Send { say: Say::Appended(answer), .. } = action {
                    (answer.ok, answer.counts, answer.matched) =
                        (true, true, self.model.told.max(answer.matched));
                }
            }
        }
        let last = if fatal { self.rng.usize(0..=actions.len()) } else { usize::MAX };
        for (at, action) in actions.into_iter().enumerate() {
            if at >= last {
                return self.kill(number);
            }
            let voted =
                matches!(&action, Action::Send { say: Say::Vote(vote), .. } if vote.granted && !vote.pre);
            self.act(number, action);
            if voted && self.nervous && (self.troubled || self.mutant.is_some()) && self.rng.bool() {
                self.kill(number);
                return self.start(number, false);
            }
        }
        let machine = &mut self.machines[number];
        let Some(agreement) = &mut machine.running else { return };
        if self.mutant == Some(Mutant::SwappedInOneEntry) && agreement.changes() {
            // Its leader's own list changes by a start, as there is no other way from without.
            machine.disk.iter_mut().flat_map(|disk| &mut disk.entries).for_each(swap_at_once);
            self.kill(number);
            return self.start(number, false);
        }
        let answers = match self.mutant {
            Some(Mutant::OldLeaderAnswers) => agreement.leads(),
            Some(Mutant::ClockStoodStill) => agreement.vouches(self.now - 1500.0),
            _ => agreement.vouches(self.now),
        };
        if answers {
            assert!(agreement.applied() >= self.model.told, "it answers for all and lacks what was told");
        }
        if self.compacts && agreement.log_length() > 80 {
            let mut actions = Vec::new();
            agreement.compact(agreement.applied(), encode(&machine.state), &mut actions);
            for action in actions {
                self.act(number, action);
            }
        }
    }

    fn act(&mut self, number: usize, action: Action) {
        match action {
            Action::Save(mut save) => {
                let machine = &mut self.machines[number];
                let leads = machine.running.as_ref().is_some_and(Agreement::leads);
                match self.mutant {
                    Some(Mutant::VoteBeforeSync) if save.entries.is_none() && save.base.is_none() => return,
                    Some(Mutant::EntriesBeforeSync) if !leads && self.rng.bool() => save.entries = None,
                    _ => {}
                }
                if let (Some(Mutant::ToldUnreplicated), true, Some((first, _))) =
                    (self.mutant, leads, &save.entries)
                {
                    self.model.told = self.model.told.max(*first);
                }
                apply_save(&mut machine.disk, save);
            }
            Action::Send { to, say } => {
                for _ in 0..if self.rng.f64() < 0.05 { 2 } else { 1 } {
                    let at = self.now + 1.0 + self.rng.f64().powi(6) * 400.0;
                    if self.rng.f64() >= self.loss {
                        self.letters.push(Letter {
                            at,
                            from: number,
                            to: self::number(&to),
                            say: say.clone(),
                        });
                    }
                }
            }
            Action::Apply(entry) => {
                self.model.applied(entry.index, &entry.data);
                let machine = &mut self.machines[number];
                machine.state.insert(entry.index, entry.data);
                let agreement = machine.running.as_ref().expect("it runs");
                if agreement.leads() && entry.term == agreement.term() {
                    self.model.told = self.model.told.max(entry.index);
                }
            }
            Action::Restore { index, state } => {
                let state = decode(&state);
                state.iter().for_each(|(index, data)| self.model.applied(*index, data));
                assert!(state.keys().all(|of| *of <= index));
                self.machines[number].state = state;
            }
            Action::Leads(true) => {
                let term = self.machines[number].running.as_ref().expect("it runs").term();
                let known = self.model.leaders.entry(term).or_insert_with(|| name(number)).clone();
                assert_eq!(known, name(number), "two lead in term {term}");
            }
            Action::Leads(false) => {}
        }
    }

    /// Plays on until then, with a kill at a step now and then.
    pub fn pass(&mut self, until: f64, kills: f64) {
        while self.now < until {
            self.now += 1.0 + self.rng.f64() * 15.0;
            for number in 0..self.machines.len() {
                // A process may be kept from its processor.
                if self.rng.f64() < 0.7 {
                    let fatal = self.rng.f64() < kills;
                    self.step(number, Event::Tick, fatal);
                }
                let apart = self.machines[number].running.as_ref().is_some_and(Agreement::apart);
                if apart && self.rng.f64() < 0.1 {
                    let to = self.rng.usize(0..self.machines.len());
                    if !self.cuts.contains(&(number, to)) {
                        self.step(to, Event::Join(name(number)), false);
                    }
                }
                if self.machines[number].running.as_ref().is_some_and(Agreement::leads)
                    && self.rng.f64() < 0.1
                {
                    self.proposed += 1;
                    let data = self.proposed.to_string().into_bytes();
                    let fatal = self.rng.f64() < kills;
                    self.step(number, Event::Propose(data), fatal);
                }
            }
            let now = self.now;
            let due: Vec<_> = {
                let (due, later) = std::mem::take(&mut self.letters).into_iter().partition(|l| l.at <= now);
                self.letters = later;
                due
            };
            for letter in due {
                if !self.cuts.contains(&(letter.from, letter.to)) {
                    let fatal = self.rng.f64() < kills;
                    self.step(letter.to, Event::Heard { from: name(letter.from), say: letter.say }, fatal);
                }
            }
        }
        self.watched.assert_none_violated();
    }

    /// A machine is lost for good.
    pub fn lose(&mut self, number: usize) {
        self.kill(number);
        (self.machines[number].gone, self.machines[number].disk) = (true, None);
    }

    /// Who leads and is answered by a majority.
    pub fn leader(&self) -> Option<usize> {
        (0..self.machines.len())
            .find(|n| self.machines[*n].running.as_ref().is_some_and(|agreement| agreement.vouches(self.now)))
    }

    /// The members as each process has them.
    pub fn members(&self) -> Vec<Vec<String>> {
        let running = self.machines.iter().filter_map(|machine| machine.running.as_ref());
        running.map(|agreement| agreement.members().to_vec()).collect()
    }

    /// Plays on until somebody leads, and gives how long that took, in ms; none where nobody does in that time.
    pub fn led_after(&mut self, most: f64) -> Option<f64> {
        let since = self.now;
        while self.now - since <= most {
            if self.leader().is_some() {
                return Some(self.now - since);
            }
            let until = self.now + 1.0;
            self.pass(until, 0.0);
        }
        None
    }

    fn running(&self) -> usize {
        self.machines.iter().filter(|machine| machine.running.is_some()).count()
    }
}

/// One history. `wipes` machines at most are without their disk at a time.
pub fn play(w: &mut World, wipes: usize) {
    let founders = w.machines.iter().filter(|machine| machine.founds).count();
    let others = w.machines.len() - founders;
    for number in 0..founders {
        w.start(number, true);
    }
    w.pass(2500.0, 0.0);
    assert!(w.model.told > 0, "nothing was agreed on in calm");
    for number in founders..founders + others {
        w.start(number, false);
    }
    for _ in 0..w.rng.usize(3..8) {
        let any = w.rng.usize(0..w.machines.len());
        let length = 100.0 + w.rng.f64() * 3000.0;
        match w.rng.u32(0..8) {
            // One way, or both.
            0 => drop(w.cuts.insert((any, w.rng.usize(0..w.machines.len())))),
            1 => (0..w.machines.len()).for_each(|other| {
                w.cuts.insert((any, other));
                w.cuts.insert((other, any));
            }),
            2 => w.kill(any),
            3 => (0..w.machines.len()).for_each(|number| w.kill(number)),
            // The disks of some are lost while all others lose power.
            4 => {
                (0..w.machines.len()).for_each(|number| w.kill(number));
                for _ in 0..wipes {
                    let any = w.rng.usize(0..w.machines.len());
                    w.machines[any].disk = None;
                }
            }
            5 if wipes > 0 => {
                w.kill(any);
                w.machines[any].disk = None;
            }
            6 => {
                let leader = (0..w.machines.len())
                    .find(|n| w.machines[*n].running.as_ref().is_some_and(Agreement::leads));
                if let Some(leader) = leader {
                    w.step(leader, Event::Resign, false);
                }
            }
            _ => {}
        }
        let until = w.now + length;
        w.troubled = true;
        w.pass(until, 0.002);
        w.troubled = false;
        // Everything is back, and what was lost has caught up before the next is.
        w.cuts.clear();
        (0..w.machines.len()).for_each(|number| w.start(number, false));
        let until = w.now + 9000.0;
        w.pass(until, 0.0);
    }
    w.loss = 0.0;
    let (told, until) = (w.model.told, w.now + 6000.0);
    w.pass(until, 0.0);
    assert_eq!(w.running(), founders + others);
    assert!(w.model.told > told, "nothing is agreed on any more");
    for (number, machine) in w.machines.iter().enumerate() {
        let held = machine.state.range(..=told);
        assert!(held.eq(w.model.agreed.range(..=told)), "core{number} lacks what was told");
    }
}

/// A member is lost for good, a newcomer starts, and after so much calm one more is lost, whoever it is. Gives how long
/// nobody led then, in ms.
pub fn replaced(w: &mut World, calm: f64) -> f64 {
    let members = w.machines.len() - 1;
    for number in 0..members {
        w.start(number, true);
    }
    w.pass(2500.0, 0.0);
    let lost = w.rng.usize(0..members);
    // The newcomer starts before the loss, with it, or after it.
    let from = w.rng.f64() * 3000.0 - 1000.0;
    let until = w.now + (-from).max(0.0);
    if from < 0.0 {
        w.start(members, false);
    }
    w.pass(until, 0.0);
    w.lose(lost);
    let until = w.now + from.max(0.0);
    w.pass(until, 0.0);
    w.start(members, false);
    let until = w.now + calm;
    w.pass(until, 0.0);
    let mut next = w.rng.usize(0..members);
    while next == lost {
        next = w.rng.usize(0..=members);
    }
    w.lose(next);
    let members = w.members();
    let led = w.led_after(15_000.0).unwrap_or_else(|| {
        panic!("nobody leads 15 s after core{next} was lost, core{lost} before, with members {members:?}")
    });
    let told = w.model.told;
    let until = w.now + 2000.0;
    w.pass(until, 0.0);
    assert!(w.model.told > told, "nothing is agreed on any more");
    led
}

/// Members hand their places over, one after the other, and in the midst of that the core is cut in two, or all are killed.
pub fn moved(w: &mut World) {
    let members = w.machines.len() - 1;
    for number in 0..members {
        w.start(number, true);
    }
    w.pass(2500.0, 0.0);
    w.start(members, false);
    for _ in 0..w.rng.usize(3..7) {
        let until = w.now + 3000.0;
        w.pass(until, 0.0);
        let leaves = w.rng.usize(0..w.machines.len());
        w.step(leaves, Event::Leave, false);
        let until = w.now + w.rng.f64() * 300.0;
        w.pass(until, 0.0);
        let side: Vec<bool> = (0..w.machines.len()).map(|_| w.rng.bool()).collect();
        for from in 0..w.machines.len() {
            for to in (0..w.machines.len()).filter(|to| side[from] != side[*to]) {
                w.cuts.insert((from, to));
            }
        }
        if w.rng.f64() < 0.3 {
            for number in 0..w.machines.len() {
                w.kill(number);
                w.start(number, false);
            }
        }
        let until = w.now + w.rng.f64() * 4000.0;
        w.pass(until, 0.0);
        w.cuts.clear();
        w.kill(leaves);
        let until = w.now + 300.0;
        w.pass(until, 0.0);
        w.start(leaves, false);
    }
    w.loss = 0.0;
    let (told, until) = (w.model.told, w.now + 8000.0);
    w.pass(until, 0.0);
    assert!(w.model.told > told, "nothing is agreed on any more");
    let leader = w.leader().expect("somebody leads");
    let members = w.machines[leader].running.as_ref().expect("it runs").members().to_vec();
    assert!(members.len() % 2 == 1, "an even number of members in calm: {members:?}");
    for (number, machine) in w.machines.iter().enumerate() {
        let held = machine.state.range(..=told);
        assert!(held.eq(w.model.agreed.range(..=told)), "core{number} lacks what was told");
    }
}

/// With a listener there, a member leaves for good, in order, and at that moment another is lost.
pub fn left(w: &mut World) {
    let members = w.machines.len() - 1;
    for number in 0..members {
        w.start(number, true);
    }
    w.pass(2500.0, 0.0);
    w.start(members, false);
    let until = w.now + 5000.0;
    w.pass(until, 0.0);
    let leaves = w.rng.usize(0..members);
    w.step(leaves, Event::Leave, false);
    // More than control gives it, as letters are lost here.
    let most = w.now + 6000.0;
    let may =
        |w: &World| w.machines[leaves].running.as_ref().is_some_and(|agreement| agreement.left().is_some());
    while w.mutant != Some(Mutant::LeaverJustEnds) && w.now < most && !may(w) {
        let until = w.now + 10.0;
        w.pass(until, 0.0);
    }
    w.lose(leaves);
    let other = (leaves + w.rng.usize(1..=members)) % (members + 1);
    w.lose(other);
    let led = w.led_after(4000.0);
    assert!(led.is_some(), "nobody leads 4 s after core{leaves} left and core{other} was lost");
    let told = w.model.told;
    let until = w.now + 2000.0;
    w.pass(until, 0.0);
    assert!(w.model.told > told, "nothing is agreed on any more");
}
