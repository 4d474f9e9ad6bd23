//! The audit trail: one entry a change, in the log's order, bounded.

use syc_config::Document;
use syc_config::Team;
use syc_coord::AUDIT_ENTRIES;
use syc_coord::Action;
use syc_coord::AuditTrail;
use syc_coord::Place;
use syc_coord::Verdict;
use syc_coord::records::AuditRecord;
use syc_types::Revision;
use uuid::Uuid;

fn place(number: u64) -> Place {
    Place {
        id: Uuid::from_u128(u128::from(number)),
        offset: number,
        at_ms: number,
    }
}

fn drain(member: &str) -> AuditRecord {
    AuditRecord {
        actor: "ana".into(),
        action: "drain".into(),
        detail: member.into(),
    }
}

fn team(base: u64) -> syc_coord::records::ConfigRecord {
    let json = serde_json::json!({
        "publication": Uuid::nil(),
        "author": "ana",
        "base": base,
        "document": Document::Team(Team::default()),
    });
    serde_json::from_value(json).expect("a record")
}

#[test]
fn a_publication_tells_from_which_revision_to_which() {
    let mut trail = AuditTrail::default();
    trail.config(place(1), &team(0), &Verdict::Accepted(Revision(1)));
    trail.config(place(2), &team(0), &Verdict::Conflict(Revision(1)));
    let actions: Vec<_> = trail.entries().map(|entry| entry.action.clone()).collect();
    let scope = "team/";
    assert_eq!(
        actions,
        [
            Action::Published {
                scope: scope.into(),
                from: Revision(0),
                to: Revision(1),
            },
            Action::Refused {
                scope: scope.into(),
                base: Revision(0),
                current: Revision(1),
            },
        ]
    );
}

#[test]
fn a_repeat_is_one_entry() {
    let mut trail = AuditTrail::default();
    trail.other(place(1), &drain("entry-1"));
    let repeat = Place {
        offset: 9,
        ..place(1)
    };
    trail.other(repeat, &drain("entry-1"));
    assert_eq!(trail.entries().count(), 1);
}

#[test]
fn entries_of_a_snapshot_go_before_later_ones_and_the_oldest_are_dropped() {
    let mut whole = AuditTrail::default();
    for number in 0..=AUDIT_ENTRIES as u64 {
        whole.other(place(number), &drain("entry-1"));
    }
    assert_eq!(whole.entries().count(), AUDIT_ENTRIES);
    assert_eq!(whole.entries().next().map(|entry| entry.offset), Some(1));
    let mut restored = AuditTrail::default();
    for entry in whole.entries().rev() {
        restored.restore(entry.clone());
    }
    assert_eq!(restored, whole);
}
