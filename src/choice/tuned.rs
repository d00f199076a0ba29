//! Tuned values.

/// Use fades from the count by a factor e in so many times burst over rate, and so many bursts are its
/// limit: together they hold a customer to its rate. More is kinder to chance, less to sudden bursts.
pub(super) const FADE: f64 = 1.25;
/// Length of a count's window, in times its fading. Longer windows have fewer edges with a blind spot.
pub(super) const WINDOW_FADES: f64 = 20.0;
/// Longest window, in ms: the counter keeps a name for 60 s at most.
pub(super) const WINDOW_MOST_MS: f64 = 50_000.0;
/// Longest life of a count's name, in ms, as the counter allows it.
pub(super) const NAME_LIFE_MS: f64 = 60_000.0;
/// Longest wait for the counter, as a share of the class's aim: small beside the work itself.
pub(super) const WAIT_OF_AIM: f64 = 0.05;
/// Where the counter's way alone takes longer: so many times that, up to this share of the class's aim. What
/// is slower than it need be is crowded; what is merely far can still be waited for.
pub(super) const WAIT_WAYS: (f64, f64) = (1.5, 0.12);
/// The least time that the counter took is forgotten at this pace: it doubles in so many ms without another.
pub(super) const WAY_MEMORY_MS: f64 = 30_000.0;
/// Longest wait for another gateway's answer, as a share of the class's aim: there and back takes longer.
pub(super) const ASK_OF_AIM: f64 = 0.1;
/// After so many slow or failed calls in a row requests no longer wait for the counter.
pub(super) const COUNTER_MISSES: u32 = 3;
/// Calls a second before anything is known of the counter, at most and of all gateways together, and the
/// fewest, to hear of its return.
pub(super) const CALLS: (f64, f64, f64) = (10.0, 300.0, 0.2);
/// A missed call cuts the calls a second to this share.
pub(super) const CALLS_CUT: f64 = 0.75;
/// A good one adds so many a second and this share to them; while none was missed, the second share.
pub(super) const CALLS_MORE: (f64, f64, f64) = (0.02, 0.02, 0.1);
/// Most calls a second: beyond any counter.
pub(super) const CALLS_MOST: f64 = 10_000.0;
/// Calls saved up, in ms of their pace, and how many at least: evens out chance.
pub(super) const CALLS_SAVED: (f64, f64) = (500.0, 2.0);
/// Time over which work in hand and answers are averaged, in ms: some dozens of requests.
pub(super) const FLOW_MS: f64 = 1500.0;
/// Answers in that time at which these averages count half; the rest is told by single answers.
pub(super) const FLOW_TELLS: f64 = 20.0;
/// Weight of one answer's share of its aim: about the last ten count, however long ago.
pub(super) const LATE_GAIN: f64 = 0.1;
/// Time over which the other gateways' use of a customer is averaged, in ms: a few of its requests.
pub(super) const OTHERS_MS: f64 = 2000.0;
/// For so long after the last total the others are taken to go on as before while calls are few, in ms.
pub(super) const PROJECT_MS: f64 = 10_000.0;
/// Times by which that share is raised as an expected time: it is known only once the answer is there.
pub(super) const LATE_TIMES: f64 = 1.5;
/// A customer idle for so long is forgotten, in ms, once its stores must be full.
pub(super) const IDLE_MS: f64 = 60_000.0;
/// Requests of others taken to be at each backend beside this gateway's own.
pub(super) const UNSEEN: f64 = 1.0;
/// Weight of one answer in a backend's pace: about the last ten answers count.
pub(super) const PACE_GAIN: f64 = 0.1;
/// Weight of one answer in a class's usual time: about the last hundred.
pub(super) const USUAL_GAIN: f64 = 0.01;
/// A pace not renewed returns to the fleet's in this time, in ms.
pub(super) const PACE_MEMORY_MS: f64 = 10_000.0;
/// A class's usual time before any answer, as a share of its aim.
pub(super) const USUAL_OF_AIM: f64 = 0.2;
/// A backend silent for so many usual times, with work out, counts as slower in proportion.
pub(super) const SILENT_TIMES: f64 = 3.0;
/// Chance added to a backend's cost, in usual times: gateways that know equally little choose differently.
pub(super) const JITTER: f64 = 0.05;
/// Backends that a gateway keeps to, so that its connections stay open and it knows them; and how many
/// gateways keep to each at least, so that none hangs on a few. Either is met by more, up to all.
pub(super) const KEEPS_TO: (f64, f64) = (12.0, 10.0);
/// Cost of another backend, in usual times: it is taken when those kept to are busy, slow or failing.
pub(super) const OTHER: f64 = 1.0;
/// What a cold backend is preferred by when its turn has come, in usual times.
pub(super) const TURN: f64 = 1.0;
/// Points of failures in a row after which a backend is left out.
pub(super) const EJECT_AFTER: u32 = 4;
/// Points of a failure, and of a reset: the path breaks connections too, and a dead backend refuses the next.
pub(super) const POINTS: (u32, u32) = (2, 1);
/// Weight of one answer in the share of a backend's answers that are errors, and the time in ms in which that
/// is forgotten without another. A backend that fails every other request fails few in a row, and quickly.
pub(super) const ERRORS: (f64, f64) = (0.3, 10_000.0);
/// Times by which that share raises its cost: where the request can be sent again, and where it is lost.
pub(super) const ERRORS_COST: (f64, f64) = (0.5, 10.0);
/// First time out of use, in ms; doubles with each failed trial up to 32 times.
pub(super) const EJECT_MS: f64 = 500.0;
/// An attempt that can earn nothing past its aim ends so long before it, in ms, and two ticks.
pub(super) const CUT_MS: f64 = 4.0;
/// A backend that turned a plan's request away is passed over for that plan for so long, in ms, and until so
/// many requests of this gateway have come: it must not be asked each time it comes up.
pub(super) const FULL: (f64, f64) = (200.0, 20.0);
/// Further attempts allowed for each first one.
pub(super) const RETRY_SHARE: f64 = 0.1;
/// Most further attempts saved up.
pub(super) const RETRY_MOST: f64 = 10.0;
/// Requests a backend, over all gateways, that are always let in: without answers nothing would be learned.
pub(super) const ALWAYS: f64 = 3.0;
/// A request is refused early if its expected time passes this share of what is left of its aim.
pub(super) const EARLY_OF_AIM: f64 = 0.36;
/// Spreads by which the number out must pass its mean to tell of a queue.
pub(super) const CHANCE: f64 = 2.0;
/// Time over which first attempts a second are averaged, in ms, and that which counts as known at the start.
pub(super) const RATE_MS: f64 = 5000.0;
pub(super) const RATE_KNOWN_MS: f64 = 1000.0;
/// Least time between two looks at a count for requests refused without a charge, in ms.
pub(super) const LOOK_MS: f64 = 100.0;
/// Sent beyond the quota where that pays and the expected time stays within this share of the aim.
pub(super) const ROOM_OF_AIM: f64 = 0.35;
/// By so much it is taken to be longer there where few answers tell it: one of many gateways sees room by
/// chance while others refuse requests inside their quotas. Up to so many gateways see enough of it.
pub(super) const UNSURE: (f64, f64) = (0.75, 10.0);
/// After a refusal for want of room nobody is sent beyond the quota for so long, in ms.
pub(super) const CROWDED_MS: f64 = FLOW_MS;
/// Where membership tells how many gateways are present, an even part is reckoned for so many. It falls at
/// once with those that come and grows over so many ms with those that go: they may be cut off from this one
/// alone and send all the same, and their clients need a while to turn to others.
pub(super) const GATEWAYS_MS: f64 = 10_000.0;
/// Refusals are summed up in a line of the log after so many housekeeping periods.
pub(super) const TELL_TICKS: u32 = 10;
/// The part that a gateway uses of its share of what a cold backend bears a second.
pub(super) const COLD_PART: f64 = 0.6;
/// Housekeeping period, in ms.
pub(super) const TICK_MS: f64 = 1000.0;

pub(super) const TOKEN_TICK: u64 = 0;
pub(super) const TOKEN_WAIT: u64 = 1 << 60;
pub(super) const TOKEN_ID: u64 = (1 << 60) - 1;
