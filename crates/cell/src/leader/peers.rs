//! The nodes that contact the scheduler: what each of them can do for it, and how it makes its next contact.

use smol_str::SmolStr;
use syc_sched::ContactPlan;
use syc_sched::NodeTraits;
use syc_types::Millis;
use syc_types::Zone;
use syc_wire::cell::Contact;

use crate::clock::now;
use crate::clock_agreement::AgreedTime;
use crate::clock_agreement::reported_anchor;
use crate::leader::Leader;
use crate::leader::carriers::CarrierLoad;
use crate::ports::Platform;

impl<P> Leader<P>
where
    P: Platform,
{
    /// Records a contact from another node and returns how it makes the next one.
    pub(crate) fn register_peer(&self, contact: &Contact) -> ContactPlan {
        self.peer_heard_at.set(Some(now()));
        let name = SmolStr::from(contact.node.as_str());
        if contact.has_read_ahead && self.hands_over_soon() {
            self.successor_prepared.notify_one();
        }
        self.register_advice_node(contact);
        self.register_carrier(&name, contact);
        self.note_follower(&name, contact);
        if let Some(day) = reported_anchor(now(), contact.day_ms) {
            let mut clock_agreement = self.clock_agreement.borrow_mut();
            clock_agreement.report(name.clone(), day);
        }
        let traits = NodeTraits {
            has_fast_link: contact.has_fast_link,
            files_limit: contact.files_limit,
            zone: Zone::new(contact.zone.as_str()),
        };
        let mut plans = self.contact_plans.borrow_mut();
        plans.note_contact(&name, traits, now())
    }

    /// Records that another node can relay calls to workers. One that follows another scheduler would send none of
    /// them.
    fn register_carrier(&self, name: &SmolStr, contact: &Contact) {
        if contact.token != self.token {
            return;
        }
        let mut carriers = self.carriers.borrow_mut();
        carriers.note_contact(name, contact.files_limit, &contact.zone, now());
    }

    /// Records that another node follows this scheduler.
    ///
    /// The contact may have been queued here while this node was paused, so it counts as of the
    /// last answer that the other node received.
    fn note_follower(&self, name: &SmolStr, contact: &Contact) {
        if contact.token != self.token {
            return;
        }
        let heard_at = Millis(contact.heard_at_ms).min(now());
        let mut authority = self.authority.borrow_mut();
        if contact.is_informed {
            authority.note_informed_follower(name, heard_at);
        } else {
            authority.note_follower(name, heard_at);
        }
    }

    /// Forgets nodes that were silent for long, and adapts to the interval of contacts. Both cost time in proportion to
    /// the number of nodes, so they are not done at each contact.
    pub(crate) fn review_peers(&self) {
        let interval_ms = self.contact_plans.borrow().interval_ms();
        let mut advice_nodes = self.advice_nodes.borrow_mut();
        advice_nodes.set_heartbeat_interval_ms(interval_ms);
        let silent = advice_nodes.remove_silent(now());
        let mut clients = self.peer_clients.borrow_mut();
        for name in silent {
            clients.remove(&name);
        }
        self.carriers
            .borrow_mut()
            .set_contact_interval_ms(interval_ms);
    }

    /// Returns how many workers are assigned to carriers.
    pub(crate) fn carrier_load(&self) -> CarrierLoad {
        self.carriers.borrow().load()
    }

    /// Returns the agreed time of day, which decides when timed jobs are due.
    pub(crate) const fn agreed_time(&self) -> AgreedTime {
        self.agreed_time.get()
    }

    /// Computes the agreed time of day from the clocks of all nodes, and passes it to the scheduler.
    pub(crate) fn update_agreed_time(&self) {
        let own = self.node.read_wall_clock();
        let agreed = self.clock_agreement.borrow_mut().update(own);
        self.agreed_time.set(agreed);
        self.scheduler.borrow_mut().set_wall_clock(agreed.anchor);
    }
}
