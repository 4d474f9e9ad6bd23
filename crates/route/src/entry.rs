//! What an entry VM knows of one endpoint.

use syc_types::Millis;

use crate::EndpointInfo;
use crate::HealthOptions;
use crate::free::Place;
use crate::health::Health;
use crate::health::Leaving;

/// Weight of the newest latency in the moving average.
const LATENCY_WEIGHT: f32 = 0.1;

/// Slots that the learned limit grows by with each answer while it is exhausted.
const LEARNED_GROWTH: f32 = 0.1;

pub(crate) const MICROS_PER_MILLI: f32 = 1_000.0;

/// One endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) info: EndpointInfo,
    pub(crate) in_flight: u32,
    pub(crate) learned: f32,
    pub(crate) latency_us: f32,
    pub(crate) resting_until: Option<Millis>,
    pub(crate) health: Health,
    pub(crate) leaving: Leaving,
    pub(crate) place: Option<Place>,
}

impl Entry {
    /// Makes the entry of an endpoint of which nothing is known yet.
    pub(crate) fn new(info: EndpointInfo) -> Self {
        Self {
            #[expect(clippy::cast_precision_loss, reason = "slots are few")]
            learned: info.slots as f32,
            info,
            in_flight: 0,
            latency_us: 0.0,
            resting_until: None,
            health: Health::default(),
            leaving: Leaving::default(),
            place: None,
        }
    }

    /// Takes over new facts; an endpoint at a new address starts anew, without its history.
    pub(crate) fn update(&mut self, info: EndpointInfo) {
        if self.info.address != info.address {
            self.health = Health::default();
            self.leaving = Leaving::default();
        }
        self.info = info;
    }

    /// Says whether the endpoint gets nothing now.
    pub(crate) fn is_out(&self) -> bool {
        self.leaving.holds() || self.health.out_until.is_some() || self.resting_until.is_some()
    }

    /// Learns from an answer.
    pub(crate) fn answered(&mut self, latency_us: u64) {
        average(&mut self.latency_us, latency_us);
        self.health.answered(self.info.slots);
        #[expect(clippy::cast_precision_loss, reason = "slots are few")]
        let (slots, used) = (self.info.slots as f32, (self.in_flight + 1) as f32);
        if used + 1.0 > self.learned {
            self.learned = (self.learned + LEARNED_GROWTH).min(slots);
        }
    }

    /// Learns from a busy refusal; returns the end of a rest where one begins.
    pub(crate) fn refused_busy(&mut self, options: &HealthOptions, now: Millis) -> Option<Millis> {
        #[expect(clippy::cast_precision_loss, reason = "slots are few")]
        let taken = self.in_flight as f32;
        self.learned = self.learned.min(taken).max(1.0);
        if self.in_flight > 0 {
            return None;
        }
        // Nothing of ours ends there soon that would say when to try again.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a latency is positive and far below the limit"
        )]
        let half_ms = (self.latency_us / MICROS_PER_MILLI / 2.0) as u64;
        let (shortest_ms, longest_ms) = options.rest_ms;
        let until = now.plus(half_ms.clamp(shortest_ms, longest_ms));
        self.resting_until = Some(until);
        Some(until)
    }

    /// Ends what is over at `now`.
    pub(crate) fn take_back(&mut self, now: Millis) {
        if self.health.out_until.is_some_and(|until| until <= now) {
            self.health.out_until = None;
        }
        if self.resting_until.is_some_and(|until| until <= now) {
            self.resting_until = None;
        }
        let drained_until = &mut self.leaving.drained_until;
        if drained_until.is_some_and(|until| until <= now) {
            *drained_until = None;
        }
    }
}

/// Moves a mean latency towards the latest one.
pub(crate) fn average(mean_us: &mut f32, latest_us: u64) {
    #[expect(clippy::cast_precision_loss, reason = "a moving average needs no more")]
    let latest = latest_us as f32;
    if *mean_us == 0.0 {
        *mean_us = latest;
    } else {
        *mean_us += (latest - *mean_us) * LATENCY_WEIGHT;
    }
}
