//! Single promises of the memory and of the homes.

use syc_route::Homes;
use syc_route::NotRunReason;
use syc_route::Once;
use syc_route::OnceAnswer;
use syc_route::RunEnd;
use syc_route::Standing;
use syc_route::Told;
use syc_route::UnknownReason;
use syc_route::created_at;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::RequestId;
use uuid::Builder;
use uuid::Uuid;

use crate::cluster::Answer;
use crate::cluster::OPTIONS;

const NOW: Millis = Millis(50_000);
const HOME: Standing = Standing::Home { ask: Vec::new() };

fn id(number: u8) -> RequestId {
    let uuid = Builder::from_unix_timestamp_millis(NOW.0, &[number; 10]).into_uuid();
    RequestId(uuid)
}

fn memory() -> Once<Answer> {
    Once::new(OPTIONS, Millis(0))
}

#[test]
fn an_id_tells_its_time_only_in_version_7() {
    assert_eq!(created_at(id(1)), Some(NOW));
    assert_eq!(created_at(RequestId(Uuid::nil())), None);
}

#[test]
fn an_answer_is_repeated_and_a_lost_one_stays_unknown() {
    let mut once = memory();
    assert_eq!(once.begin(id(1), NOW, HOME, NOW), OnceAnswer::Run);
    assert_eq!(once.begin(id(1), NOW, HOME, NOW), OnceAnswer::Wait);
    once.end(id(1), RunEnd::Answered(Answer(9), 8), NOW);
    assert_eq!(
        once.begin(id(1), NOW, HOME, NOW),
        OnceAnswer::Repeat(Answer(9))
    );
    assert_eq!(once.begin(id(2), NOW, HOME, NOW), OnceAnswer::Run);
    once.end(id(2), RunEnd::Unknown, NOW);
    let unknown = OnceAnswer::Unknown(UnknownReason::AnswerLost);
    assert_eq!(once.begin(id(2), NOW, HOME, NOW), unknown);
}

#[test]
fn answers_beyond_the_bytes_become_unknown_and_ids_beyond_the_records_are_refused() {
    let mut once = memory();
    for number in 0..6 {
        assert_eq!(once.begin(id(number), NOW, HOME, NOW), OnceAnswer::Run);
        once.end(id(number), RunEnd::Answered(Answer(1), 8), NOW);
    }
    let unknown = OnceAnswer::Unknown(UnknownReason::AnswerLost);
    assert_eq!(once.begin(id(0), NOW, HOME, NOW), unknown);
    assert_eq!(
        once.begin(id(5), NOW, HOME, NOW),
        OnceAnswer::Repeat(Answer(1))
    );
    let full = OnceAnswer::NotRun(NotRunReason::Full);
    assert_eq!(once.begin(id(6), NOW, HOME, NOW), full);
    let later = NOW.plus(OPTIONS.window_ms + 5 * OPTIONS.margin_ms);
    once.expire(later);
    assert!(once.is_empty());
    let old = OnceAnswer::Unknown(UnknownReason::TooOld);
    assert_eq!(once.begin(id(0), NOW, HOME, later), old);
}

#[test]
fn a_former_home_seals_what_it_says_it_never_ran() {
    let mut once = memory();
    assert_eq!(once.tell(id(1), NOW, NOW), Told::Never);
    let answer = once.begin(id(1), NOW, HOME, NOW);
    assert_eq!(answer, OnceAnswer::Unknown(UnknownReason::HomeLost));
    assert_eq!(once.begin(id(2), NOW, HOME, NOW), OnceAnswer::Run);
    assert_eq!(once.tell(id(2), NOW, NOW), Told::Running);
    let mut restarted = Once::<Answer>::new(OPTIONS, NOW);
    assert_eq!(restarted.tell(id(3), NOW, NOW), Told::Forgotten);
}

#[test]
fn a_silent_former_home_leaves_the_outcome_unknown_until_it_speaks() {
    let mut once = memory();
    let ask = || Standing::Home {
        ask: vec![MemberId::new("former")],
    };
    let asked = OnceAnswer::Ask(vec![MemberId::new("former")]);
    assert_eq!(once.begin(id(1), NOW, ask(), NOW), asked);
    let unknown = OnceAnswer::Unknown(UnknownReason::HomeLost);
    assert_eq!(once.asked(id(1), [Told::Forgotten], NOW), unknown);
    assert_eq!(once.begin(id(1), NOW, ask(), NOW), asked);
    assert_eq!(once.asked(id(1), [Told::Never], NOW), OnceAnswer::Run);
}

#[test]
fn only_ids_from_before_the_home_ask_its_predecessors() {
    let me = MemberId::new("me");
    let other = MemberId::new("other");
    let mut homes = Homes::new(me.clone(), Millis(0), 10);
    homes.install(other.clone(), true);
    homes.activate(Millis(100));
    homes.install(me, false);
    let standing =
        |homes: &Homes<MemberId>, at| homes.standing(Millis(at), true, |view| Some(view.clone()));
    assert_eq!(standing(&homes, 500), Standing::NotActing);
    homes.activate(Millis(400));
    assert_eq!(standing(&homes, 411), HOME);
    let ask = Standing::Home { ask: vec![other] };
    assert_eq!(standing(&homes, 410), ask);
    assert_eq!(standing(&homes, 50), ask);
    homes.expire(Millis(10_000), 1_000);
    assert_eq!(standing(&homes, 50), Standing::Unsure);
    assert_eq!(standing(&homes, 411), HOME);
}
