//! Members with real memories in a network that the test drives, and what really ran.

use std::collections::HashMap;

use syc_route::AnswerSize;
use syc_route::Homes;
use syc_route::Once;
use syc_route::OnceAnswer;
use syc_route::OnceOptions;
use syc_route::RunEnd;
use syc_route::Told;
use syc_route::created_at;
use syc_types::MemberId;
use syc_types::Millis;
use syc_types::RequestId;
use syc_types::hash;
use uuid::Builder;

pub const MARGIN_MS: u64 = 10;
pub const OPTIONS: OnceOptions = OnceOptions {
    window_ms: 2_000,
    margin_ms: MARGIN_MS,
    records: 6,
    answer_bytes: 20,
};
const BEGINNING: u64 = 1_000_000;

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer(pub u64);

impl AnswerSize for Answer {
    fn size_bytes(&self) -> usize {
        8
    }
}

/// One incarnation of a member.
struct Member {
    id: MemberId,
    skew_ms: u64,
    installed: usize,
    homes: Homes<Vec<MemberId>>,
    once: Once<Answer>,
}

/// A run that its home has begun and not ended.
struct Run {
    member: MemberId,
    id: RequestId,
    sent: Option<Answer>,
}

/// A question to former homes that goes on.
struct Asking {
    member: MemberId,
    id: RequestId,
    left: Vec<MemberId>,
    told: Vec<Told<Answer>>,
}

pub struct Cluster {
    now: u64,
    members: Vec<Member>,
    views: Vec<Vec<MemberId>>,
    acting: usize,
    pub ids: Vec<RequestId>,
    runs: Vec<Run>,
    asking: Vec<Asking>,
    /// What really ran, and the answer of it.
    ran: HashMap<RequestId, Answer>,
    next_member: u64,
    next_answer: u64,
    pub executed: usize,
}

fn home_of(view: &[MemberId], id: RequestId) -> Option<MemberId> {
    let key = format!("request/{id}");
    let names = view.iter().map(MemberId::as_str);
    hash::rendezvous(&key, names).map(MemberId::new)
}

impl Cluster {
    pub fn new() -> Self {
        let mut cluster = Self {
            now: BEGINNING,
            members: Vec::new(),
            views: Vec::new(),
            acting: 0,
            ids: Vec::new(),
            runs: Vec::new(),
            asking: Vec::new(),
            ran: HashMap::new(),
            next_member: 0,
            next_answer: 0,
            executed: 0,
        };
        let first = (0..3).map(|number| MemberId::new(format!("m{number}")));
        cluster.views.push(first.collect());
        for _ in 0..3 {
            cluster.start_member();
        }
        cluster
    }

    /// Starts a new incarnation, which reads all views.
    pub fn start_member(&mut self) {
        if self.members.len() >= 5 {
            return;
        }
        let id = MemberId::new(format!("m{}", self.next_member));
        let skew_ms = self.next_member * 7 % MARGIN_MS;
        self.next_member += 1;
        let started = Millis(self.now + skew_ms);
        let mut homes = Homes::new(id.clone(), started, MARGIN_MS);
        for (number, view) in self.views.iter().enumerate() {
            homes.install(view.clone(), number == 0);
        }
        self.members.push(Member {
            id,
            skew_ms,
            installed: self.views.len() - 1,
            homes,
            once: Once::new(OPTIONS, started),
        });
    }

    fn pick(&self, member: usize) -> Option<usize> {
        (!self.members.is_empty()).then(|| member % self.members.len())
    }

    fn index_of(&self, id: &MemberId) -> Option<usize> {
        self.members.iter().position(|member| member.id == *id)
    }

    fn clock(&self, member: usize) -> Millis {
        Millis(self.now + self.members[member].skew_ms)
    }

    fn may_act(&self, member: usize) -> bool {
        let member = &self.members[member];
        member.installed == self.acting && self.views[self.acting].contains(&member.id)
    }

    pub fn pass(&mut self, passed_ms: u64) {
        self.now += passed_ms;
    }

    pub fn create(&mut self, ahead_ms: u64) {
        let at = self.now - MARGIN_MS / 2 + ahead_ms % MARGIN_MS;
        let number = self.ids.len().to_be_bytes();
        let mut random = [0; 10];
        random[2..].copy_from_slice(&number);
        let uuid = Builder::from_unix_timestamp_millis(at, &random).into_uuid();
        self.ids.push(RequestId(uuid));
    }

    /// A member dies, with everything it knew.
    pub fn kill(&mut self, member: usize) {
        let Some(member) = self.pick(member) else {
            return;
        };
        let dead = self.members.swap_remove(member);
        self.runs.retain(|run| run.member != dead.id);
        self.asking.retain(|asking| asking.member != dead.id);
    }

    /// The log takes a view of those that live.
    pub fn change_view(&mut self) {
        let live = self.members.iter().map(|member| member.id.clone());
        self.views.push(live.collect());
    }

    /// A member reads the next view.
    pub fn learn(&mut self, member: usize) {
        let Some(member) = self.pick(member) else {
            return;
        };
        let member = &mut self.members[member];
        let Some(view) = self.views.get(member.installed + 1) else {
            return;
        };
        member.installed += 1;
        member.homes.install(view.clone(), false);
    }

    /// The authority of all former views has lapsed.
    pub fn lapse(&mut self) {
        self.acting = self.views.len() - 1;
    }

    /// A whole change of the view: who lives and isn't paused learns it, and then may act.
    pub fn reform(&mut self, paused: usize) {
        self.change_view();
        for member in 0..self.members.len() {
            if member == paused {
                continue;
            }
            for _ in 0..self.views.len() {
                self.learn(member);
            }
        }
        self.lapse();
        for member in 0..self.members.len() {
            self.tick(member);
        }
    }

    pub fn tick(&mut self, member: usize) {
        let Some(index) = self.pick(member) else {
            return;
        };
        let now = self.clock(index);
        let may_act = self.may_act(index);
        let member = &mut self.members[index];
        if may_act {
            member.homes.activate(now);
        }
        member.homes.expire(now, OPTIONS.window_ms);
        member.once.expire(now);
    }

    /// An arrival, maybe a duplicate and maybe at a member that is no longer the home.
    pub fn arrive(&mut self, id: usize, member: usize) {
        let Some(index) = self.pick(member) else {
            return;
        };
        if self.ids.is_empty() {
            return;
        }
        let id = self.ids[id % self.ids.len()];
        let created = created_at(id).expect("version 7");
        let now = self.clock(index);
        let may_act = self.may_act(index);
        let member = &mut self.members[index];
        let standing = member
            .homes
            .standing(created, may_act, |view| home_of(view, id));
        let answer = member.once.begin(id, created, standing, now);
        let member = member.id.clone();
        if let OnceAnswer::Ask(left) = answer {
            let told = Vec::new();
            self.asking.push(Asking {
                member,
                id,
                left,
                told,
            });
            return;
        }
        self.carry_out(member, id, answer);
    }

    fn carry_out(&mut self, member: MemberId, id: RequestId, answer: OnceAnswer<Answer>) {
        match answer {
            OnceAnswer::Run => {
                let sent = None;
                self.runs.push(Run { member, id, sent });
            }
            OnceAnswer::Repeat(answer) => assert_eq!(Some(&answer), self.ran.get(&id)),
            OnceAnswer::NotRun(_) => self.assert_not_run(id),
            OnceAnswer::Ask(_) => unreachable!("asked already"),
            OnceAnswer::Wait | OnceAnswer::Unknown(_) | OnceAnswer::Elsewhere => {}
        }
    }

    fn assert_not_run(&self, id: RequestId) {
        assert!(!self.ran.contains_key(&id), "a false 'not run'");
    }

    /// A question reaches the next former home, or is lost.
    pub fn ask(&mut self, asking: usize, lost: bool) {
        if self.asking.is_empty() {
            return;
        }
        let index = asking % self.asking.len();
        let id = self.asking[index].id;
        let Some(former) = self.asking[index].left.last().cloned() else {
            self.end_asking(index);
            return;
        };
        let mut told = Told::Forgotten;
        if let Some(former) = self.index_of(&former).filter(|_| !lost) {
            let now = self.clock(former);
            let created = created_at(id).expect("version 7");
            told = self.members[former].once.tell(id, created, now);
        }
        let asking = &mut self.asking[index];
        asking.left.pop();
        asking.told.push(told);
        if asking.left.is_empty() {
            self.end_asking(index);
        }
    }

    fn end_asking(&mut self, index: usize) {
        let ended = self.asking.swap_remove(index);
        let Some(member) = self.index_of(&ended.member) else {
            return;
        };
        let now = self.clock(member);
        let once = &mut self.members[member].once;
        let answer = once.asked(ended.id, ended.told, now);
        self.carry_out(ended.member, ended.id, answer);
    }

    /// A begun run is sent, if its home may still act.
    pub fn send(&mut self, run: usize) {
        if self.runs.is_empty() {
            return;
        }
        let index = run % self.runs.len();
        if self.runs[index].sent.is_some() {
            return;
        }
        let id = self.runs[index].id;
        let member = self.index_of(&self.runs[index].member).expect("live");
        if !self.may_act(member) {
            self.end(index, RunEnd::NotRun);
            self.assert_not_run(id);
            return;
        }
        self.next_answer += 1;
        let answer = Answer(self.next_answer);
        let earlier = self.ran.insert(id, answer.clone());
        assert_eq!(earlier, None, "a second run");
        self.executed += 1;
        self.runs[index].sent = Some(answer);
    }

    /// A run ends: with its answer, with the answer lost, or refused before it was sent.
    pub fn finish(&mut self, run: usize, lost: bool) {
        if self.runs.is_empty() {
            return;
        }
        let index = run % self.runs.len();
        let end = match self.runs[index].sent.clone() {
            None => RunEnd::NotRun,
            Some(_) if lost => RunEnd::Unknown,
            Some(answer) => RunEnd::Answered(answer, 8),
        };
        if end == RunEnd::NotRun {
            self.assert_not_run(self.runs[index].id);
        }
        self.end(index, end);
    }

    fn end(&mut self, index: usize, end: RunEnd<Answer>) {
        let run = self.runs.swap_remove(index);
        let member = self.index_of(&run.member).expect("live");
        let now = self.clock(member);
        self.members[member].once.end(run.id, end, now);
    }

    /// Everything that goes on comes to its end, without a fault.
    pub fn settle(&mut self) {
        while !self.asking.is_empty() {
            self.ask(0, false);
        }
        while !self.runs.is_empty() {
            self.send(0);
            self.finish(0, false);
        }
    }

    pub fn assert_bounded(&self) {
        for member in &self.members {
            assert!(member.once.len() <= OPTIONS.records);
        }
    }
}
