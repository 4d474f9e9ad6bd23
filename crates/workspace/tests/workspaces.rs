//! Tests of keys and of the lookup by key.

use syc_types::WorkspaceName;
use syc_workspace::AddError;
use syc_workspace::Credential;
use syc_workspace::DenialReason;
use syc_workspace::KeyDigest;
use syc_workspace::MAX_WEIGHT;
use syc_workspace::MIN_WEIGHT;
use syc_workspace::WorkspacePolicy;
use syc_workspace::Workspaces;
use syc_workspace::may_access;
use test_case::test_case;

const KEY: &str = "gkcuyj8pjbvk9m68k7b2";

fn policy(name: &str) -> WorkspacePolicy {
    WorkspacePolicy::unlimited(WorkspaceName::new(name))
}

fn two_workspaces() -> Workspaces {
    let mut workspaces = Workspaces::default();
    let first = [KeyDigest::of(KEY), KeyDigest::of("second")];
    workspaces.add(policy("a"), &first).expect("new names");
    let other = [KeyDigest::of("third")];
    workspaces.add(policy("b"), &other).expect("new names");
    workspaces
}

#[test]
fn each_key_identifies_its_workspace() {
    let workspaces = two_workspaces();
    for (key, name) in [(KEY, "a"), ("second", "a"), ("third", "b")] {
        let credential = Credential::Key(KeyDigest::of(key));
        let caller = workspaces.authenticate(&credential, true).expect("known");
        assert_eq!(caller, Some(&WorkspaceName::new(name)));
    }
}

#[test_case(Credential::Missing, DenialReason::Missing; "no key")]
#[test_case(Credential::Malformed, DenialReason::Malformed; "malformed")]
#[test_case(Credential::Key(KeyDigest::of("gkcuyj8pjbvk9m68k7b3")), DenialReason::Unknown; "unknown key")]
fn other_credentials_are_denied_where_a_key_is_needed(
    credential: Credential,
    reason: DenialReason,
) {
    let workspaces = two_workspaces();
    let denied = workspaces
        .authenticate(&credential, true)
        .expect_err("denied");
    assert_eq!(denied.reason, reason);
    assert_eq!(workspaces.authenticate(&credential, false), Ok(None));
}

#[test]
fn a_known_key_counts_where_none_is_needed() {
    let workspaces = two_workspaces();
    let credential = Credential::Key(KeyDigest::of(KEY));
    let caller = workspaces
        .authenticate(&credential, false)
        .expect("allowed");
    assert_eq!(caller, Some(&WorkspaceName::new("a")));
}

#[test]
fn neither_keys_nor_digests_are_printed() {
    let workspaces = two_workspaces();
    let digest = KeyDigest::of(KEY);
    let credential = Credential::Key(digest);
    let empty = Workspaces::default();
    let denied = empty.authenticate(&credential, true);
    let printed = format!("{workspaces:?} {digest:?} {credential:?} {denied:?}");
    assert!(!printed.contains(KEY));
    assert!(printed.contains(digest.fingerprint().as_str()));
    assert_eq!(digest.fingerprint().len(), 8);
}

/// The digest is that of the standard, so that an operator can compute a fingerprint.
#[test]
fn fingerprints_are_the_first_digits_of_sha256() {
    assert_eq!(KeyDigest::of("abc").fingerprint(), "ba7816bf");
}

#[test]
fn a_workspace_with_a_name_or_key_of_another_is_not_added() {
    let mut workspaces = two_workspaces();
    let before = workspaces.clone();
    let same_name = workspaces.add(policy("a"), &[KeyDigest::of("fourth")]);
    assert_eq!(
        same_name,
        Err(AddError::DuplicateName(WorkspaceName::new("a")))
    );
    let same_key = workspaces.add(policy("c"), &[KeyDigest::of("fourth"), KeyDigest::of(KEY)]);
    assert!(matches!(same_key, Err(AddError::DuplicateKey { .. })));
    assert_eq!(workspaces, before);
}

#[test]
fn a_workspace_can_keep_its_earlier_definition() {
    let earlier = two_workspaces();
    let mut workspaces = Workspaces::default();
    workspaces
        .add_from(&earlier, &WorkspaceName::new("a"))
        .expect("new names");
    workspaces
        .add_from(&earlier, &WorkspaceName::new("unknown"))
        .expect("nothing to add");
    assert_eq!(workspaces.key_count(), 2);
    assert!(workspaces.policy(&WorkspaceName::new("a")).is_some());
    assert_eq!(workspaces.policies().count(), 1);
}

#[test_case(0.0, MIN_WEIGHT; "zero")]
#[test_case(-3.0, MIN_WEIGHT; "negative")]
#[test_case(f64::NAN, MIN_WEIGHT; "not a number")]
#[test_case(f64::INFINITY, MAX_WEIGHT; "infinite")]
#[test_case(2.5, 2.5; "in range")]
fn weights_are_limited(given: f64, weight: f64) {
    let limited = policy("a").with_weight(given).weight;
    assert!((limited - weight).abs() < f64::EPSILON);
}

#[test_case(None, None, (7.0, 14.0); "the defaults follow the weight")]
#[test_case(Some(0.0), Some(0.0), (7.0, 14.0); "zero")]
#[test_case(Some(-3.0), Some(f64::NAN), (7.0, 14.0); "negative and not a number")]
#[test_case(Some(0.5), None, (0.5, 2.0); "two jobs at once at any rate")]
#[test_case(Some(20.0), Some(5.0), (20.0, 5.0); "both given")]
#[test_case(None, Some(0.25), (7.0, 1.0); "a burst that no job would fit in")]
fn rates_have_defaults(rate: Option<f64>, burst: Option<f64>, expected: (f64, f64)) {
    let policy = policy("a").with_weight(7.0).with_rate(rate, burst);
    assert_eq!((policy.rate_per_s, policy.burst_jobs), expected);
}

#[test_case(None, None, true; "of no workspace, by anyone")]
#[test_case(None, Some("a"), true; "of no workspace, by a workspace")]
#[test_case(Some("a"), Some("a"), true; "by its own")]
#[test_case(Some("a"), Some("b"), false; "by another")]
#[test_case(Some("a"), None, false; "without a key")]
fn jobs_are_open_to_their_own_workspace(owner: Option<&str>, caller: Option<&str>, may: bool) {
    let owner = owner.map(WorkspaceName::new::<&str>);
    let caller = caller.map(WorkspaceName::new::<&str>);
    assert_eq!(may_access(owner.as_ref(), caller.as_ref()), may);
}
