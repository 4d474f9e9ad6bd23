//! Which members may know of a request: its home in each view since the request was created.

use std::collections::VecDeque;

use syc_types::MemberId;
use syc_types::Millis;
use syc_types::RequestId;

/// Most views that are remembered.
const ERAS: usize = 64;

#[derive(Debug, Clone)]
struct Era<V> {
    view: V,
    /// When this member first could act in the view, on the wall clock.
    active_from: Option<Millis>,
}

/// What a member may do with a request as its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Another member is the request's home, or none is.
    Elsewhere,
    /// The member is the home, yet has no authority in the current view now.
    NotActing,
    /// The member is the home; these former homes may know of the request.
    Home {
        /// Members to ask first; with none, only this member can have run it.
        ask: Vec<MemberId>,
    },
    /// The member is the home; who may know of the request is not known.
    Unsure,
}

/// The views of a window of time, as one member saw them.
#[derive(Debug, Clone)]
pub struct Homes<V> {
    me: MemberId,
    started: Millis,
    margin_ms: u64,
    eras: VecDeque<Era<V>>,
    /// Whether the oldest remembered view is the first one ever.
    complete: bool,
}

impl<V> Homes<V> {
    /// Makes an empty memory of the member `me`, which started at `started` on the wall clock.
    ///
    /// `margin_ms` bounds how far the clocks of members and callers are apart.
    #[must_use]
    pub const fn new(me: MemberId, started: Millis, margin_ms: u64) -> Self {
        Self {
            me,
            started,
            margin_ms,
            eras: VecDeque::new(),
            complete: false,
        }
    }

    /// Takes over a new view; `first_ever` says that no view came before it.
    ///
    /// Views must come without gaps; [`Homes::forget`] tells of a gap.
    pub fn install(&mut self, view: V, first_ever: bool) {
        if self.eras.is_empty() {
            self.complete = first_ever;
        }
        self.eras.push_back(Era {
            view,
            active_from: None,
        });
        if self.eras.len() > ERAS {
            self.eras.pop_front();
            self.complete = false;
        }
    }

    /// Forgets all views, after a gap in their order.
    pub fn forget(&mut self) {
        self.eras.clear();
        self.complete = false;
    }

    /// Returns the remembered views, the current one first.
    pub fn views(&self) -> impl Iterator<Item = &V> {
        self.eras.iter().rev().map(|era| &era.view)
    }

    /// Notes that the member may act in the current view.
    ///
    /// By then no former home may act any more.
    pub fn activate(&mut self, now: Millis) {
        if let Some(era) = self.eras.back_mut() {
            era.active_from.get_or_insert(now);
        }
    }

    /// Says whether requests that are created from now on need no former home.
    #[must_use]
    pub fn settled(&self, now: Millis) -> bool {
        let era = self.eras.back();
        let from = era.and_then(|era| era.active_from);
        from.is_some_and(|from| self.is_after(now, from))
    }

    /// Forgets views that ended before any request of the last `window_ms` was created.
    pub fn expire(&mut self, now: Millis, window_ms: u64) {
        let kept_ms = window_ms.saturating_add(2 * self.margin_ms);
        while let Some(next) = self.eras.get(1) {
            let ended = next.active_from;
            if ended.is_none_or(|ended| now.since(ended) <= kept_ms) {
                return;
            }
            self.eras.pop_front();
            self.complete = false;
        }
    }

    /// Says what the member may do with a request that was created at `created`.
    ///
    /// `may_act` says whether the member has authority now, and `home_of` finds the home of the
    /// request in a view.
    pub fn standing<F>(&self, created: Millis, may_act: bool, home_of: F) -> Standing
    where
        F: Fn(&V) -> Option<MemberId>,
    {
        let mut eras = self.eras.iter().rev();
        let Some(current) = eras.next() else {
            return Standing::Elsewhere;
        };
        if home_of(&current.view).as_ref() != Some(&self.me) {
            return Standing::Elsewhere;
        }
        let Some(active_from) = current.active_from.filter(|_| may_act) else {
            return Standing::NotActing;
        };
        if self.is_after(created, active_from) {
            return Standing::Home { ask: Vec::new() };
        }
        let mut ask = Vec::new();
        let mut was_home = false;
        let mut covered = false;
        for era in eras {
            let home = home_of(&era.view);
            was_home |= home.as_ref() == Some(&self.me);
            let other = home.filter(|home| *home != self.me && !ask.contains(home));
            ask.extend(other);
            covered = era
                .active_from
                .is_some_and(|from| self.is_after(created, from));
            if covered {
                break;
            }
        }
        let reaches_back = covered || (self.complete && self.eras.len() > 1);
        let remembers = !was_home || self.is_after(created, self.started);
        if reaches_back && remembers {
            return Standing::Home { ask };
        }
        Standing::Unsure
    }

    /// Says whether no earlier home than this member can have run a request.
    ///
    /// So it is where the member could act, in the last view that made it the request's home, from
    /// before the request was created.
    pub fn is_first_home<F>(&self, created: Millis, home_of: F) -> bool
    where
        F: Fn(&V) -> Option<MemberId>,
    {
        let mut eras = self.eras.iter().rev();
        let last = eras.find(|era| home_of(&era.view).as_ref() == Some(&self.me));
        let from = last.and_then(|era| era.active_from);
        from.is_some_and(|from| self.is_after(created, from))
    }

    fn is_after(&self, created: Millis, at: Millis) -> bool {
        created > at.plus(self.margin_ms)
    }
}

/// Reads when a request was created, in milliseconds since 1970; only UUID version 7 tells.
#[must_use]
pub fn created_at(id: RequestId) -> Option<Millis> {
    if id.0.get_version_num() != 7 {
        return None;
    }
    let (head, _) = id.0.as_bytes().split_first_chunk::<6>()?;
    let mut wide = [0; 8];
    wide[2..].copy_from_slice(head);
    Some(Millis(u64::from_be_bytes(wide)))
}
