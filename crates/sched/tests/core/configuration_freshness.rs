//! What a node knows of how current its configuration is.

use syc_sched::ConfigurationFreshness;
use syc_types::Millis;

/// Without evidence for this long, a configuration may be old.
const UNCONFIRMED_MS: u64 = 2_000;

fn fresh(version: u64) -> ConfigurationFreshness {
    let mut freshness = ConfigurationFreshness::new(Millis(0));
    freshness.record_applied(version);
    freshness
}

#[test]
fn a_node_without_evidence_does_not_take_its_configuration_for_the_newest() {
    let mut freshness = fresh(1);
    assert!(!freshness.is_unconfirmed(Millis(UNCONFIRMED_MS - 1)));
    assert!(freshness.is_unconfirmed(Millis(UNCONFIRMED_MS)));
    freshness.record_confirmed(Millis(1_500));
    assert!(!freshness.is_unconfirmed(Millis(3_499)));
    assert!(freshness.is_unconfirmed(Millis(3_500)));
}

/// The scheduler's node may have had no evidence itself for long when it answers.
#[test]
fn evidence_counts_as_of_its_own_time() {
    let mut freshness = fresh(1);
    assert!(!freshness.record_heard(1, Millis(400), Millis(2_300)));
    assert!(freshness.is_unconfirmed(Millis(2_400)));
    // Older evidence that arrives late changes nothing.
    freshness.record_confirmed(Millis(1_000));
    freshness.record_confirmed(Millis(300));
    assert!(!freshness.is_unconfirmed(Millis(2_999)));
}

#[test]
fn a_newer_version_that_was_heard_of_is_no_evidence_for_an_older_one() {
    let mut freshness = fresh(1);
    assert!(freshness.record_heard(2, Millis(1_000), Millis(1_000)));
    assert!(freshness.is_behind());
    assert!(freshness.is_unconfirmed(Millis(UNCONFIRMED_MS)));
    freshness.record_applied(2);
    assert!(!freshness.is_behind());
}

#[test]
fn the_time_behind_counts_from_the_first_newer_version_that_was_heard_of() {
    let mut freshness = fresh(1);
    assert!(freshness.record_heard(3, Millis(100), Millis(100)));
    assert!(freshness.record_heard(2, Millis(400), Millis(400)));
    let age = freshness.age(Millis(500));
    assert_eq!((age.version, age.newest_heard, age.behind_ms), (1, 3, 400));
    freshness.record_applied(2);
    assert!(freshness.is_behind(), "version 3 is still missing");
}

/// Only a node that follows the store can expect a version from it.
#[test]
fn a_node_that_does_not_follow_the_store_asks_at_once() {
    let mut freshness = fresh(1);
    assert!(freshness.record_heard(2, Millis(100), Millis(100)));
    assert_eq!(freshness.fetch_delay_ms(false, Millis(100)), 0);
    assert_eq!(freshness.fetch_delay_ms(true, Millis(100)), 300);
    assert_eq!(freshness.fetch_delay_ms(true, Millis(350)), 50);
    assert_eq!(freshness.fetch_delay_ms(true, Millis(900)), 0);
}

#[test]
fn an_old_configuration_is_reported_once_and_so_is_its_end() {
    let mut freshness = fresh(1);
    assert_eq!(freshness.take_change(Millis(100)), None);
    assert!(freshness.record_heard(2, Millis(200), Millis(200)));
    assert_eq!(freshness.take_change(Millis(1_199)), None);
    assert_eq!(freshness.take_change(Millis(1_200)), Some(true));
    assert_eq!(freshness.take_change(Millis(1_300)), None);
    freshness.record_applied(2);
    freshness.record_confirmed(Millis(1_350));
    assert_eq!(freshness.take_change(Millis(1_400)), Some(false));
}

/// Before the first configuration, there is none that could be old.
#[test]
fn a_node_without_a_configuration_reports_nothing() {
    let mut freshness = ConfigurationFreshness::new(Millis(0));
    assert_eq!(freshness.take_change(Millis(60_000)), None);
}
