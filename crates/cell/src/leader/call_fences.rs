//! The tokens with which the scheduler calls each worker.
//!
//! Calls name a worker and not its life, so all lives of a worker share one token. It rises when a life is attached, and
//! when a renewal has failed after other calls: the answer to the next call then proves that no earlier call will be carried
//! out any more, whichever life answers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use smol_str::SmolStr;

use crate::call_token::call_token;

/// The token of the calls to one worker.
#[derive(Debug, Default)]
pub struct CallFence {
    token: Cell<u64>,
    /// Whether a call that changes something was made with this token.
    is_used: Cell<bool>,
}

impl CallFence {
    /// Returns the token for a call that changes something on the worker.
    pub fn token_for_order(&self) -> u64 {
        self.is_used.set(true);
        self.token.get()
    }

    /// Returns the token for a call that changes nothing.
    pub const fn token_for_query(&self) -> u64 {
        self.token.get()
    }

    /// Returns the token for a renewal. One that neither sets a lease nor acknowledges an end changes nothing.
    pub fn token_for_renewal(&self, lease_until_ms: Option<u64>, acknowledged: u64) -> u64 {
        if lease_until_ms.is_none() && acknowledged == 0 {
            self.token_for_query()
        } else {
            self.token_for_order()
        }
    }

    /// Returns whether a call with this token was refused because this scheduler has used a higher one since.
    pub const fn has_risen_above(&self, token: u64) -> bool {
        token < self.token.get()
    }
}

/// The tokens of the calls to all workers.
#[derive(Debug)]
pub struct CallFences {
    scheduler_token: u64,
    latest_epoch: Cell<u32>,
    /// By the name of the worker.
    fences: RefCell<BTreeMap<SmolStr, Rc<CallFence>>>,
}

impl CallFences {
    /// Creates the tokens of the scheduler with this token.
    #[must_use]
    pub const fn new(scheduler_token: u64) -> Self {
        Self {
            scheduler_token,
            latest_epoch: Cell::new(0),
            fences: RefCell::new(BTreeMap::new()),
        }
    }

    /// Returns the fence of a worker of which a life is attached. From the first call under it, that life refuses the calls
    /// that were made before.
    pub fn attach(&self, name: &str) -> Rc<CallFence> {
        let mut fences = self.fences.borrow_mut();
        let fence = Rc::clone(fences.entry(SmolStr::new(name)).or_default());
        self.raise(&fence);
        fence
    }

    /// Returns whether a life of a worker is attached.
    #[must_use]
    pub fn is_in_use(&self, name: &str) -> bool {
        self.fences.borrow().contains_key(name)
    }

    /// Forgets the fence of a worker of which no life is attached any more. The next one gets a higher token all the same.
    pub fn forget(&self, name: &str) {
        self.fences.borrow_mut().remove(name);
    }

    /// Raises the token after a call that was not answered, if an earlier call may still be carried out.
    pub fn raise_after_failure(&self, fence: &CallFence) {
        if fence.is_used.get() {
            self.raise(fence);
        }
    }

    fn raise(&self, fence: &CallFence) {
        let epoch = self.latest_epoch.get().saturating_add(1);
        self.latest_epoch.set(epoch);
        fence.token.set(call_token(self.scheduler_token, epoch));
        fence.is_used.set(false);
    }
}
