//! Follows the configuration and the maintenance waves that operators publish in the store.

use std::rc::Rc;

use syc_sched::Wave;
use syc_types::Millis;
use syc_types::WorkspaceName;

use crate::Configuration;
use crate::Node;
use crate::clock::now;
use crate::clock::pause;
use crate::log;
use crate::node::PublishedWave;
use crate::ports::Newest;
use crate::ports::Platform;
use crate::ports::Published;
use crate::ports::ReadError;
use crate::ports::Record;
use crate::ports::Topic;
use crate::unreadable::Source;
use crate::unreadable::UNREADABLE_KEY;

/// Longest wait of a read for new records. Its answer also shows that the connection still works.
const LONG_POLL_MS: u64 = 800;

/// Interval at which a node that the scheduler keeps informed checks whether it still does.
const INFORMED_POLL_MS: u64 = 200;

/// Delay after a failed read.
const RETRY_MS: u64 = 100;

/// The way by which a node got a record that operators published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// A read of the store.
    Store,
    /// Another node.
    Node,
}

impl Way {
    /// Returns its name in log lines.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Node => "node",
        }
    }
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Records that another node knew of no version newer than `version` at `at`. Returns whether this node is behind.
    pub(crate) fn hear_of_version(&self, version: u64, at: Millis) -> bool {
        let mut freshness = self.configuration_freshness.borrow_mut();
        freshness.record_heard(version, at, now())
    }

    /// Returns whether this node has heard of a newer configuration than its own.
    pub(crate) fn is_behind_configuration(&self) -> bool {
        self.configuration_freshness.borrow().is_behind()
    }

    /// Returns how long to wait until another node is asked for its newer configuration.
    pub(crate) fn configuration_fetch_delay_ms(&self) -> u64 {
        let follows_store = !self.is_informed();
        let freshness = self.configuration_freshness.borrow();
        freshness.fetch_delay_ms(follows_store, now())
    }

    /// Returns whether this node need not look for configurations in the store, since the scheduler states the newest
    /// version.
    fn leaves_configuration_to_scheduler(&self) -> bool {
        self.is_informed() && self.configuration.borrow().is_some()
    }

    /// Records that the store had no newer configuration than the one in force at `at`.
    fn confirm_configuration(&self, at: Millis) {
        let mut freshness = self.configuration_freshness.borrow_mut();
        freshness.record_confirmed(at);
    }
}

/// Applies each configuration with a greater version as soon as it is in the store.
pub(crate) async fn follow_configuration<P>(node: Rc<Node<P>>)
where
    P: Platform,
{
    let mut position = None;
    loop {
        if node.leaves_configuration_to_scheduler() {
            pause(INFORMED_POLL_MS).await;
            position = None;
            continue;
        }
        position = match position {
            None => read_newest(&node).await,
            Some(from) => read_next(&node, from).await,
        };
        if position.is_none() {
            pause(RETRY_MS).await;
        }
    }
}

/// Reads the newest records that operators published, and returns the position after them.
pub(crate) async fn read_newest<P>(node: &Node<P>) -> Option<u64>
where
    P: Platform,
{
    let sent_at = now();
    let newest = node.newest(Topic::Operators, 0).await.ok()?;
    apply_newest(node, &newest);
    node.confirm_configuration(sent_at);
    Some(newest.read_from)
}

/// Applies a record that another node has sent.
pub(crate) fn apply_from_node<P>(node: &Node<P>, record: &Record)
where
    P: Platform,
{
    apply_record(node, record, Way::Node);
}

/// Applies the newest records that operators published.
pub(crate) fn apply_newest<P>(node: &Node<P>, newest: &Newest)
where
    P: Platform,
{
    for (_offset, record) in &newest.records {
        apply_record(node, record, Way::Store);
    }
}

/// Reads the records at `from` and returns the next position. The position is kept if the store does not answer.
async fn read_next<P>(node: &Node<P>, from: u64) -> Option<u64>
where
    P: Platform,
{
    let sent_at = now();
    match node.read(Topic::Operators, 0, from, LONG_POLL_MS).await {
        Ok(page) => {
            for record in &page.records {
                apply_record(node, record, Way::Store);
            }
            node.confirm_configuration(sent_at);
            let count = u64::try_from(page.records.len()).unwrap_or(0);
            Some(page.first + count)
        }
        Err(ReadError::Gone { .. }) => None,
        Err(ReadError::Unavailable(_) | ReadError::Malformed(_)) => {
            pause(RETRY_MS).await;
            Some(from)
        }
    }
}

fn apply_record<P>(node: &Node<P>, record: &Record, way: Way)
where
    P: Platform,
{
    if record.is_placeholder() {
        node.report_unreadable(Source::Operators, "", UNREADABLE_KEY);
    }
    if record.value.is_empty() {
        return;
    }
    let published = match node.platform.published(&record.key, &record.value) {
        Ok(published) => published,
        Err(error) => {
            let in_force = node.configuration().map_or(0, |current| current.version);
            let reason = format!("{error}; configuration {in_force} stays in force");
            node.report_unreadable(Source::Operators, &record.key, &reason);
            return;
        }
    };
    node.unreadable.forget(Source::Operators, &record.key);
    match published {
        Published::Configuration(configuration) => {
            apply_configuration(node, configuration, record, way);
        }
        Published::Wave(wave) => record_wave(node, wave),
        Published::Other => {}
    }
}

/// Records a wave and passes it to the scheduler if this node holds the role. Published waves stay in the store
/// forever, so waves that are already known are skipped.
fn record_wave<P>(node: &Node<P>, wave: Wave)
where
    P: Platform,
{
    let mut waves = node.waves.borrow_mut();
    if waves.iter().any(|seen| seen.wave.number == wave.number) {
        return;
    }
    waves.push(PublishedWave {
        wave: wave.clone(),
        seen_at: now(),
    });
    drop(waves);
    if let Some(leader) = node.leader() {
        leader.apply_wave(wave, 0);
    }
}

fn apply_configuration<P>(
    node: &Node<P>,
    mut configuration: Configuration,
    record: &Record,
    way: Way,
) where
    P: Platform,
{
    let current = node.configuration();
    let in_force = current.as_ref().map_or(0, |current| current.version);
    let newer = configuration.version > in_force;
    let behind_ms = node.configuration_age().behind_ms;
    log::configuration(&configuration, in_force, newer, way, behind_ms);
    if newer {
        let mut freshness = node.configuration_freshness.borrow_mut();
        freshness.record_applied(configuration.version);
        drop(freshness);
        for skipped in &configuration.skipped_workspaces {
            let name = skipped.name.as_ref().map_or("", WorkspaceName::as_str);
            node.report_unreadable(Source::Workspaces, name, &skipped.reason);
        }
        if let Some(current) = current {
            configuration.keep_skipped_workspaces(&current);
        }
        *node.configuration.borrow_mut() = Some(Rc::new(configuration));
        *node.configuration_record.borrow_mut() = Some(record.clone());
        if let Some(leader) = node.leader() {
            leader.apply_standby();
            leader.apply_workspaces();
        }
    }
}
