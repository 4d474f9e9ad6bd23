//! Publishing: compare-and-set, the same id through several daemons, lost answers.

use syc_config::Document;
use syc_config::Limits;
use syc_config::Team;
use syc_standin::LogFaults;
use syc_types::TeamId;
use uuid::Uuid;

use crate::bed::Bed;
use crate::bed::BedOptions;

fn options() -> BedOptions {
    BedOptions {
        daemons: 3,
        limits: Limits {
            appends_per_s: 100,
            ..Limits::default()
        },
        ..BedOptions::default()
    }
}

fn team(weight: u32) -> Document {
    Document::Team(Team {
        name: TeamId::new("freight"),
        weight,
        ..Team::default()
    })
}

#[actix_rt::test]
async fn of_racing_operators_at_three_daemons_one_wins_each_round() {
    let bed = Bed::start(options()).await;
    for round in 0..5 {
        let (first, second, third) = futures_util::join!(
            bed.publish(0, round, team(1)),
            bed.publish(1, round, team(2)),
            bed.publish(2, round, team(3)),
        );
        let mut statuses = [first.0, second.0, third.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409]);
    }
    let mut seen = Vec::new();
    for daemon in 0..3 {
        bed.await_revision(daemon, "team/freight", 5).await;
        seen.push(bed.get_json(bed.control_url(daemon, "/v1/config")).await);
    }
    assert_eq!(seen[0], seen[1]);
    assert_eq!(seen[1], seen[2]);
}

#[actix_rt::test]
async fn a_publication_repeated_through_other_daemons_counts_once() {
    let bed = Bed::start(options()).await;
    let id = Uuid::now_v7();
    bed.log.set_faults(LogFaults {
        lose_answers: 1,
        ..LogFaults::default()
    });
    let first = bed.publish_as(0, id, 0, team(7)).await;
    let again = bed.publish_as(1, id, 0, team(7)).await;
    let at_once = futures_util::join!(
        bed.publish_as(1, id, 0, team(7)),
        bed.publish_as(2, id, 0, team(7)),
    );
    for (status, text) in [first, again, at_once.0, at_once.1] {
        assert_eq!(status, 200, "{text}");
        assert!(text.contains('1'), "{text}");
    }
    let (status, text) = bed.publish(2, 1, team(8)).await;
    assert_eq!(status, 200, "{text}");
}

#[actix_rt::test]
async fn a_publication_that_was_not_run_can_be_repeated_with_its_id() {
    let bed = Bed::start(options()).await;
    let before = bed.log.appends();
    bed.log.set_faults(LogFaults {
        late_writes: 1,
        late_ms: 200,
        ..LogFaults::default()
    });
    let id = Uuid::now_v7();
    let (status, text) = bed.publish_as(0, id, 0, team(7)).await;
    assert_eq!(status, 503, "{text}");
    bed.until("the late write", |bed| bed.log.appends() >= before + 2)
        .await;
    let (status, text) = bed.publish_as(1, id, 0, team(7)).await;
    assert_eq!(status, 200, "{text}");
    for daemon in 0..3 {
        bed.await_revision(daemon, "team/freight", 1).await;
    }
}
