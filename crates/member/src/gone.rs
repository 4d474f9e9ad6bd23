//! Which members are surely gone: replaced on their VM, or silent with their VM off the list.

use std::collections::BTreeMap;

use smol_str::SmolStr;
use syc_types::MemberId;
use syc_types::Millis;

use crate::Member;
use crate::Membership;
use crate::vm_name;

impl Membership {
    pub(crate) fn vms_listed(&mut self, names: Vec<SmolStr>, now: Millis) {
        self.listed = names.into_iter().collect();
        self.ever_listed.extend(self.listed.iter().cloned());
        let views = self.views.former.iter().chain([&self.views.current]);
        let mut unlisted = BTreeMap::new();
        for member in views.flat_map(|view| &view.members) {
            let name = SmolStr::new(vm_name(&member.id));
            if self.listed.contains(&name) {
                continue;
            }
            let since = self.unlisted_since.get(&name).copied().unwrap_or(now);
            unlisted.insert(name, since);
        }
        self.unlisted_since = unlisted;
    }

    /// Notes which members of any view are surely gone.
    pub(crate) fn mark_gone(&mut self, now: Millis) {
        let mut gone = Vec::new();
        for view in self.views.former.iter().chain([&self.views.current]) {
            for member in &view.members {
                let known = self.peers.get(&member.id).and_then(|peer| peer.gone_at);
                if known.is_none() && (self.replaced(member) || self.vm_gone(&member.id, now)) {
                    gone.push(member.id.clone());
                }
            }
        }
        for id in gone {
            self.peers.entry(id).or_default().gone_at = Some(now);
        }
    }

    /// A later incarnation on the same VM answers at the same address: the process has ended, or
    /// its socket could not have been opened again.
    fn replaced(&self, member: &Member) -> bool {
        let later = |id: &MemberId, address: &SmolStr| {
            vm_name(id) == vm_name(&member.id) && *id > member.id && *address == member.peer_address
        };
        if later(&self.me.id, &self.me.peer_address) {
            return true;
        }
        self.peers.iter().any(|(id, peer)| {
            peer.heard_at.is_some() && self.address(id).is_some_and(|address| later(id, &address))
        })
    }

    /// The VM is off the list and its member silent.
    ///
    /// A VM that was never on the list counts as gone only after the list's greatest lag, and only
    /// if the list names entry VMs at all.
    fn vm_gone(&self, id: &MemberId, now: Millis) -> bool {
        let silent = !self.heard_within(id, self.options.suspect_ms / 2, now);
        let name = vm_name(id);
        if !silent || *id == self.me.id || !self.listed.contains(vm_name(&self.me.id)) {
            return false;
        }
        let Some(since) = self.unlisted_since.get(name) else {
            return false;
        };
        self.ever_listed.contains(name) || now.since(*since) >= self.options.vm_lag_ms
    }
}
