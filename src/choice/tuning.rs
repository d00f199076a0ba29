//! Tuning constants of the decisions.

/// Usage decays by a factor e in this many times burst / rate, and a customer's limit is this many bursts.
/// Larger values tolerate random arrivals better, smaller ones limit sudden bursts better.
pub(super) const USAGE_DECAY: f64 = 1.25;
/// Length of a counting window, in decay times. Usage at its end goes unread, so long windows are better.
pub(super) const WINDOW_DECAYS: f64 = 20.0;
/// Longest counting window. A count outlives it; the counter keeps one for `MAX_COUNT_LIFETIME_MS` at most.
pub(super) const MAX_WINDOW_MS: f64 = 50_000.0;
pub(super) const MAX_COUNT_LIFETIME_MS: f64 = 60_000.0;
/// Longest waits for the counter and for a peer's response, as shares of the latency target.
pub(super) const COUNTER_WAIT_SHARE: f64 = 0.05;
pub(super) const PEER_WAIT_SHARE: f64 = 0.1;
/// The wait may be this many shortest round trips, up to this share: a distant counter is worth waiting for.
pub(super) const COUNTER_WAIT_RTTS: f64 = 1.5;
pub(super) const MAX_COUNTER_WAIT_SHARE: f64 = 0.12;
/// The shortest round trip doubles in this time without another sample.
pub(super) const MIN_RTT_MEMORY_MS: f64 = 30_000.0;
/// After this many consecutive slow or failed calls, requests no longer wait for the counter.
pub(super) const MAX_COUNTER_MISSES: u32 = 3;
/// Initial call rate of one gateway, at most, and of all; the minimum still notices a counter's recovery.
pub(super) const INITIAL_CALLS_PER_S: f64 = 10.0;
pub(super) const INITIAL_FLEET_CALLS_PER_S: f64 = 300.0;
pub(super) const MIN_CALLS_PER_S: f64 = 0.2;
pub(super) const MAX_CALLS_PER_S: f64 = 10_000.0;
/// A missed call multiplies the call rate by this.
pub(super) const CALL_RATE_DECREASE: f64 = 0.75;
/// A timely response adds this and a share of the rate to it; the share is larger until the first cut.
pub(super) const CALL_RATE_STEP_PER_S: f64 = 0.02;
pub(super) const CALL_RATE_GROWTH: f64 = 0.02;
pub(super) const CALL_RATE_START_GROWTH: f64 = 0.1;
/// Capacity of the token bucket of counter calls, in ms of the call rate: evens out random variation.
pub(super) const CALL_BUCKET_MS: f64 = 500.0;
pub(super) const MIN_CALL_BUCKET: f64 = 2.0;
/// Time constant of the averages of requests in flight and responses per second: some dozens of requests.
pub(super) const LOAD_AVERAGE_MS: f64 = 1500.0;
/// Responses within that time at which these get half the weight in an estimate, the target share the rest.
pub(super) const LOAD_HALF_WEIGHT_RESPONSES: f64 = 20.0;
/// Factor on the mean share of the latency target in an estimate: it lags, being known after the response.
pub(super) const TARGET_SHARE_FACTOR: f64 = 1.5;
/// Time constant of the average of peer usage: a few requests of a customer.
pub(super) const PEER_USAGE_MS: f64 = 2000.0;
/// Peer usage is extrapolated for at most this long after the last total.
pub(super) const MAX_PROJECTION_MS: f64 = 10_000.0;
/// Unused customers and unlisted backends are forgotten after this time; token buckets are full by then.
pub(super) const IDLE_EXPIRY_MS: f64 = 60_000.0;
/// Requests of other gateways assumed to be at each backend.
pub(super) const ASSUMED_PEER_REQUESTS: f64 = 1.0;
/// Weight of a sample in a backend's relative latency and a pool's target share: about the last ten count.
pub(super) const RELATIVE_LATENCY_GAIN: f64 = 0.1;
pub(super) const TARGET_SHARE_GAIN: f64 = 0.1;
/// A relative latency without new samples returns to 1 with this time constant.
pub(super) const RELATIVE_LATENCY_MEMORY_MS: f64 = 10_000.0;
/// Weight of a sample in a class's mean latency and a request's mean units: about the last hundred count.
pub(super) const MEAN_GAIN: f64 = 0.01;
/// Latency of a class before any sample, as a share of its latency target.
pub(super) const INITIAL_LATENCY_SHARE: f64 = 0.2;
/// A backend that is silent for longer than this many mean latencies counts as slower in proportion.
pub(super) const SILENCE_LATENCIES: f64 = 3.0;
/// Random part of a backend's cost, in mean latencies, so that gateways do not all choose the same one.
pub(super) const COST_JITTER: f64 = 0.05;
/// Least number of backends in a gateway's subset, so that connections stay open and their latency is known,
/// and of gateways whose subsets contain a backend, so that none depends on a few.
pub(super) const MIN_SUBSET_BACKENDS: f64 = 12.0;
pub(super) const MIN_GATEWAYS_PER_BACKEND: f64 = 10.0;
/// In mean latencies: cost of a backend outside the subset, reduction for one with a warm-up token, and
/// distance beyond the nearest canary's up to which others count as near.
pub(super) const OUTSIDE_SUBSET_COST: f64 = 1.0;
pub(super) const WARM_UP_BONUS: f64 = 1.0;
pub(super) const NEAR_COST: f64 = 1.0;
/// Points of consecutive failures at which a backend is ejected. Resets get fewer: the network may cause one.
pub(super) const EJECTION_POINTS: u32 = 4;
pub(super) const FAILURE_POINTS: u32 = 2;
pub(super) const RESET_POINTS: u32 = 1;
/// First ejection time; doubles with each failed trial, up to 32-fold.
pub(super) const EJECTION_MS: f64 = 500.0;
/// Weight of one response in a backend's error rate, and time constant of its decay without responses. A
/// backend that fails every other request rarely fails several in a row, and it fails quickly.
pub(super) const ERROR_RATE_GAIN: f64 = 0.3;
pub(super) const ERROR_RATE_MEMORY_MS: f64 = 10_000.0;
/// Factor of the error rate in a backend's cost, for requests that can be retried and others.
pub(super) const RETRYABLE_ERROR_COST: f64 = 0.5;
pub(super) const UNSAFE_ERROR_COST: f64 = 10.0;
/// An attempt whose late response earns nothing times out this long, and two ticks, before its target.
pub(super) const TARGET_MARGIN_MS: f64 = 4.0;
/// After a rejection a backend is avoided for the longer of this time and the time of this many requests.
pub(super) const MIN_AVOIDANCE_MS: f64 = 200.0;
pub(super) const AVOIDANCE_REQUESTS: f64 = 20.0;
/// Retry tokens earned by each first attempt.
pub(super) const RETRY_RATIO: f64 = 0.1;
pub(super) const MAX_RETRY_TOKENS: f64 = 10.0;
/// Requests per backend, over all gateways, that are always admitted: without responses nothing is learned.
pub(super) const MIN_REQUESTS_PER_BACKEND: f64 = 3.0;
/// A request is refused if its expected latency exceeds this share of its latency target.
pub(super) const ADMISSION_SHARE: f64 = 0.36;
/// A request over its quota may be sent while the expected latency is below this share of the target.
pub(super) const OVER_QUOTA_SHARE: f64 = 0.35;
/// Standard deviations by which the requests in flight must exceed their mean to indicate a queue.
pub(super) const QUEUE_DEVIATIONS: f64 = 2.0;
/// Time constant of the average request rate, and least age that is assumed for it after the start.
pub(super) const REQUEST_RATE_MS: f64 = 5000.0;
pub(super) const MIN_REQUEST_RATE_AGE_MS: f64 = 1000.0;
pub(super) const MIN_COUNT_READ_INTERVAL_MS: f64 = 100.0;
/// Largest relative increase of a latency estimate over quota; 0 with many responses or this few gateways.
pub(super) const UNCERTAINTY: f64 = 0.75;
pub(super) const CERTAIN_GATEWAYS: f64 = 10.0;
/// No request over its quota is sent for this long after a refusal for lack of capacity.
pub(super) const OVERLOAD_MEMORY_MS: f64 = LOAD_AVERAGE_MS;
/// Time constant with which the gateway count falls: missing ones may still send, and clients move slowly.
pub(super) const GATEWAY_DECREASE_MS: f64 = 10_000.0;
/// Share of `cold_per_s` that a gateway uses.
pub(super) const WARM_UP_RATE_SHARE: f64 = 0.6;
pub(super) const TICK_MS: f64 = 1000.0;

pub(super) const TOKEN_TICK: u64 = 0;
/// Set in the token of a request's wait for the counter or a peer; the other bits are the request's id.
pub(super) const TOKEN_WAIT: u64 = 1 << 60;
pub(super) const TOKEN_ID_MASK: u64 = (1 << 60) - 1;
