//! What an agent goes by, without sockets or clock: whom of the core it follows, its copy of the agreed state, what it
//! tells the core, and what it feeds its proxy. What happens comes in as [`Event`]s with the time, what is to be done
//! goes out as [`Action`]s; [`Follow::due`] tells when it wants to be told of time.

use crate::agreement::MAX_ENTRY_VERSION;
use crate::news::{FromAgent, FromProxy, Gateway, Mend, Numbered, Pulse, ToAgent, ToProxy};
use crate::settings::Settings;
use crate::state::{Digest, State, Touched};
use cherrytally::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How often the core process that is followed hears of an agent that has nothing to tell, in ms.
const WORD_MS: Millis = 400.0;
/// And one that does not lead: it only tells clients who is ready.
const WORD_ASIDE_MS: Millis = 650.0;
/// A link on which nothing was heard for so long is opened anew, in ms.
const SILENT_MS: Millis = 2000.0;
/// A core process that is no member any more is let go after so long without a word of it among the members, in ms.
const LET_GO_MS: Millis = 30_000.0;
/// Core processes that an agent keeps links to at most: members, and those that come in their place.
const CORES_MOST: usize = 16;

/// What happens at an agent.
pub enum Event {
    /// Time has passed.
    Tick,
    /// A link to this core process is open.
    Open(String),
    /// It has ended.
    Closed(String),
    /// A core process said something.
    Said {
        /// Which.
        core: String,
        /// What.
        news: Box<ToAgent>,
    },
    /// The proxy opened a link of this number.
    ProxyOpen(u64),
    /// It has ended.
    ProxyClosed(u64),
    /// The proxy said something.
    Proxy {
        /// The link's number.
        link: u64,
        /// What.
        word: FromProxy,
    },
    /// The settings name these core processes.
    Seeds(Vec<SocketAddr>),
}

/// What an agent is to do, in order.
#[derive(Debug)]
pub enum Action {
    /// Keep a link to this core process, as long as [`Follow::wants`] it.
    Keep(String),
    /// End the link to it; it is opened anew.
    End(String),
    /// Tell a core process.
    Say {
        /// Which.
        core: String,
        /// What.
        word: Box<FromAgent>,
    },
    /// Tell the proxy.
    Feed(Box<ToProxy>),
}

/// A link to a core process.
struct Link {
    heard: Millis,
    /// When it hears the next word.
    due: Millis,
    /// What it was told of this gateway.
    known: Option<Gateway>,
}

/// What an agent goes by.
pub struct Follow {
    node: String,
    zone: String,
    /// The port of the core processes that counts.
    inner: u16,
    seeds: Vec<String>,
    state: Option<State>,
    digest: Digest,
    /// The copy differs from the leader's: its ranges are to be told.
    differs: bool,
    /// The link to the proxy, and what it last told on it.
    proxy: Option<(u64, FromProxy)>,
    /// Core processes by control address, and when each was last known to be one.
    cores: BTreeMap<String, Millis>,
    /// The members of the core, as they were last told: they are told again only where they have changed.
    members: Vec<String>,
    links: BTreeMap<String, Link>,
    /// Who leads, and in which term.
    leader: Option<(String, u64)>,
    /// The latest term in which one was heard to lead, whether or not the link to that one has ended since.
    term: u64,
    /// The last change that brought a configuration: orders wait until the leader hears that it is held here.
    awaited: u64,
    /// When the last question was asked that the leader answered, and the state was up to date.
    fresh: Option<Millis>,
    /// The leader had not heard every backend then.
    unsettled: bool,
}

impl Follow {
    /// An agent that starts, and the links that it wants.
    pub fn new(settings: &Settings, now: Millis, out: &mut Vec<Action>) -> Self {
        let mut follow = Follow {
            node: settings.node.clone(),
            zone: settings.zone.clone(),
            inner: settings.inner_ports.0,
            seeds: Vec::new(),
            state: None,
            digest: Digest::default(),
            differs: false,
            proxy: None,
            cores: BTreeMap::new(),
            members: Vec::new(),
            links: BTreeMap::new(),
            leader: None,
            term: 0,
            awaited: 0,
            fresh: None,
            unsettled: false,
        };
        follow.learn(now, &settings.seeds, out);
        follow
    }

    /// Its copy of the agreed state.
    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    /// Whether a link to this core process is wanted.
    pub fn wants(&mut self, now: Millis, core: &str) -> bool {
        let known = self.cores.get(core).is_some_and(|at| now - at <= LET_GO_MS);
        let named = self.members.iter().chain(&self.seeds).any(|name| name == core);
        let wanted = known || named;
        if !wanted {
            self.cores.remove(core);
        }
        wanted
    }

    /// Whether a proxy is fed.
    pub fn feeds(&self) -> bool {
        self.proxy.is_some()
    }

    /// When it wants to be told of time next.
    pub fn due(&self) -> Millis {
        self.links.values().map(|link| link.due).fold(f64::INFINITY, f64::min)
    }

    /// Takes in one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.speak(now, out),
            Event::Open(core) => {
                self.links.insert(core, Link { heard: now, due: now, known: None });
                self.speak(now, out);
            }
            Event::Closed(core) => {
                self.links.remove(&core);
                if self.leader.as_ref().is_some_and(|(name, _)| *name == core) {
                    self.leader = None;
                }
            }
            Event::Said { core, news } => self.heard(now, &core, *news, out),
            Event::ProxyOpen(link) => {
                self.proxy = Some((link, FromProxy::default()));
                let whole = self.state.as_ref().map(|state| state.whole(now, false));
                self.feed(now, ToProxy { whole, ..ToProxy::default() }, out);
            }
            Event::ProxyClosed(link) => {
                if self.proxy.as_ref().is_some_and(|(of, _)| *of == link) {
                    self.proxy = None;
                    self.speak_to_all(now, out);
                }
            }
            Event::Proxy { link, word } => self.proxy_said(now, link, word, out),
            Event::Seeds(seeds) => self.learn(now, &seeds, out),
        }
    }

    fn held(&self) -> u64 {
        self.state.as_ref().map_or(0, |state| state.index)
    }

    // ---- The core -----------------------------------------------------------------------------------------------

    fn learn(&mut self, now: Millis, seeds: &[SocketAddr], out: &mut Vec<Action>) {
        self.seeds = seeds.iter().map(SocketAddr::to_string).collect();
        for seed in self.seeds.clone() {
            self.know(now, seed, out);
        }
    }

    /// Learns of a core process.
    fn know(&mut self, now: Millis, core: String, out: &mut Vec<Action>) {
        let known = self.cores.contains_key(&core);
        if !known && (core.parse::<SocketAddr>().is_err() || self.cores.len() >= CORES_MOST) {
            return;
        }
        self.cores.insert(core.clone(), now);
        if !known {
            out.push(Action::Keep(core));
        }
    }

    /// Tells those that are due, and ends links that are silent.
    fn speak(&mut self, now: Millis, out: &mut Vec<Action>) {
        let due = self.links.iter().filter(|(_, link)| link.due <= now);
        for core in due.map(|(core, _)| core.clone()).collect::<Vec<_>>() {
            let gateway = self.gateway();
            let follows = self.leader.as_ref().is_some_and(|(name, _)| *name == core);
            let Some(link) = self.links.get_mut(&core) else { continue };
            if now - link.heard > SILENT_MS {
                // It comes back with `Open`.
                link.due = f64::INFINITY;
                out.push(Action::End(core));
                continue;
            }
            link.due = now + if follows { WORD_MS } else { WORD_ASIDE_MS };
            let gateway = Some(gateway).filter(|gateway| Some(gateway) != link.known.as_ref());
            link.known = gateway.clone().or(link.known.take());
            let tells = follows && std::mem::take(&mut self.differs);
            let proxy = self.proxy.as_ref().map(|(_, word)| word);
            let word = FromAgent {
                gateway,
                ready: proxy.is_some_and(|proxy| proxy.ready),
                held: self.held(),
                at: now,
                follows,
                applied: proxy.map_or(0, |proxy| proxy.held),
                ranges: self.state.as_ref().filter(|_| tells).map(State::ranges),
                reads: MAX_ENTRY_VERSION,
            };
            out.push(Action::Say { core, word: Box::new(word) });
        }
    }

    /// There is something new to tell that all of the core want to know: who takes clients.
    fn speak_to_all(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.links.values_mut().filter(|link| link.due.is_finite()).for_each(|link| link.due = now);
        self.speak(now, out);
    }

    /// There is something new to tell that only who leads waits for. The others hear of it with the next word.
    fn speak_to_leader(&mut self, now: Millis, out: &mut Vec<Action>) {
        let link = self.leader.as_ref().and_then(|(name, _)| self.links.get_mut(name));
        if let Some(link) = link.filter(|link| link.due.is_finite()) {
            link.due = now;
            self.speak(now, out);
        }
    }

    fn gateway(&self) -> Gateway {
        let front = self.proxy.as_ref().map_or(String::new(), |(_, proxy)| proxy.front.clone());
        Gateway { node: self.node.clone(), zone: self.zone.clone(), front }
    }

    fn heard(&mut self, now: Millis, core: &str, news: ToAgent, out: &mut Vec<Action>) {
        let ToAgent { whole, changes, pulse, mend } = news;
        let Some(link) = self.links.get_mut(core) else { return };
        link.heard = now;
        let before = self.held();
        let mut tell = false;
        if let Some(whole) = whole.filter(|whole| whole.index > before) {
            self.awaited = whole.index;
            self.state = Some(State::from_whole(now, whole.clone()));
            self.feed(now, ToProxy { whole: Some(whole), ..ToProxy::default() }, out);
            tell = true;
        }
        if let Some(state) = &mut self.state {
            if state.follow(now, &changes).contains(&Touched::Config) {
                self.awaited = state.index;
            }
        }
        if self.held() != before {
            let read = self.proxy.as_ref().is_some_and(|(_, word)| word.reads >= MAX_ENTRY_VERSION);
            if !changes.is_empty() && (read || !changes.iter().any(Numbered::differs)) {
                self.feed(now, ToProxy { changes, ..ToProxy::default() }, out);
            } else if !changes.is_empty() {
                // The proxy is of an earlier program.
                let whole = self.state.as_ref().map(|state| state.whole(now, false));
                self.feed(now, ToProxy { whole, ..ToProxy::default() }, out);
            }
        }
        if let Some(mend) = mend {
            self.mend(now, mend);
        }
        if let Some(pulse) = pulse {
            tell |= self.pulse(now, core, pulse, out);
        }
        if tell {
            self.speak_to_all(now, out);
        }
    }

    /// A core process answered a word. True if there is something to tell.
    fn pulse(&mut self, now: Millis, core: &str, pulse: Pulse, out: &mut Vec<Action>) -> bool {
        let Pulse { at, leads, term, index, members, digest, unsettled } = pulse;
        for member in &members {
            self.know(now, member.clone(), out);
        }
        if !members.is_empty() {
            self.members = members;
        }
        if !leads {
            return false;
        }
        // What an earlier leader said may come after a later one's link has ended.
        if term < self.term {
            return false;
        }
        self.term = term;
        let mut tell = false;
        match self.leader.as_ref().map(|(name, term)| (name == core, *term)) {
            Some((true, known)) if known == term => {}
            _ => {
                log::info!("agent: {core} leads in term {term}");
                self.leader = Some((core.to_owned(), term));
                tell = true;
            }
        }
        let differs = self
            .state
            .as_ref()
            .is_some_and(|state| digest != 0 && state.index == index && self.digest.of(state) != digest);
        if differs && !std::mem::replace(&mut self.differs, true) {
            log::warn!("agent: the copy of change {index} differs from the leader's");
            tell = true;
        }
        if self.held() >= index {
            self.fresh = Some(self.fresh.map_or(at, |fresh| fresh.max(at)));
            self.unsettled = unsettled;
        }
        self.feed(now, ToProxy::default(), out);
        tell
    }

    /// Ranges of the copy are replaced by the leader's.
    fn mend(&mut self, now: Millis, mend: Mend) {
        let names = mend.names.join(", ");
        if self.state.as_mut().is_some_and(|state| state.mend(now, mend)) {
            log::warn!("agent: mended: {names}");
            self.digest.forget();
        }
    }

    // ---- The proxy ------------------------------------------------------------------------------------------------

    fn feed(&self, now: Millis, news: ToProxy, out: &mut Vec<Action>) {
        if self.proxy.is_none() {
            return;
        }
        let counter = self.leader.as_ref().and_then(|(name, _)| name.parse::<SocketAddr>().ok());
        let counter = counter.map(|addr| SocketAddr::new(addr.ip(), self.inner).to_string());
        out.push(Action::Feed(Box::new(ToProxy {
            counter: counter.unwrap_or_default(),
            term: self.leader.as_ref().map_or(0, |(_, term)| *term),
            age_ms: self.fresh.map_or(-1.0, |fresh| now - fresh),
            index: self.held(),
            digest: self.state.as_ref().map_or(0, |state| self.digest.lately(now, state)),
            at: self.proxy.as_ref().and_then(|(_, word)| word.at),
            unsettled: self.unsettled,
            ..news
        })));
    }

    fn proxy_said(&mut self, now: Millis, link: u64, mut word: FromProxy, out: &mut Vec<Action>) {
        let ranges = word.ranges.take();
        let Some((of, known)) = &mut self.proxy else { return };
        if *of != link {
            return;
        }
        let before = std::mem::replace(known, word);
        let changed = FromProxy { at: known.at, held: known.held, ..before.clone() } != *known;
        // What else it holds is told with the next word: nobody waits for a backend's change to be held everywhere.
        let awaited = before.held < self.awaited && known.held >= self.awaited;
        let mend = self.state.as_ref().and_then(|state| state.mend_for(now, ranges.as_ref()?));
        if mend.is_some() {
            self.feed(now, ToProxy { mend, ..ToProxy::default() }, out);
        }
        if before.at.is_none() {
            // From now on it can tell how old what it hears is.
            self.feed(now, ToProxy::default(), out);
        }
        if changed {
            self.speak_to_all(now, out);
        } else if awaited {
            self.speak_to_leader(now, out);
        }
    }
}
