//! A scheduler's node whose answers a test chooses.

use std::future::pending;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_rt::Arbiter;
use bytes::Bytes;
use syc_cell::ports::Condition;
use syc_cell::ports::Record;
use syc_cell::ports::Topic;
use syc_cell::records;
use syc_cell::records::HolderRecord;
use syc_fleet::SharedPlatform;
use syc_net::Intake;
use syc_net::UnsentReplies;
use syc_net::serve_peers;
use syc_wire::cell::CellBody;
use syc_wire::cell::CellMessage;
use syc_wire::cell::ContactReply;
use syc_wire::cell::JobStateReply;
use syc_wire::cell::Knowledge;
use syc_wire::cell::NoticeReply;
use syc_wire::cell::RelayReply;
use syc_wire::cell::ShedRow;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// More links than any test opens.
const MAX_LINKS: usize = 64;

/// What the fake answers, and what it was asked.
#[derive(Debug, Clone)]
pub struct Answers {
    /// Rows of the view in replies to contacts.
    pub rows: Vec<ShedRow>,
    /// Append time that it reports.
    pub append_ms: u64,
    /// Whether it answers contacts.
    pub contacts: bool,
    /// What it says of every job. It answers no query if there is none.
    pub knowledge: Option<Knowledge>,
    /// Jobs that it was asked about.
    pub queried: Vec<u64>,
    /// Notices of stored jobs that it still refuses, as a node does that is no longer the scheduler.
    pub notices_to_refuse: u32,
    /// Notices of stored jobs that it received.
    pub notices: u32,
}

/// A scheduler's node that runs no jobs.
pub struct FakeScheduler {
    answers: Arc<Mutex<Answers>>,
    arbiter: Arbiter,
}

impl FakeScheduler {
    /// Starts a fake that holds the role in the cell of this platform.
    pub fn start(platform: &SharedPlatform, answers: Answers) -> Self {
        let answers = Arc::new(Mutex::new(answers));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let token = append_holder(platform, address, 0) + 1;
        let arbiter = Arbiter::new();
        let served = Arc::clone(&answers);
        let platform = platform.clone();
        arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                loop {
                    actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
                    append_holder(&platform, address, token);
                }
            });
            actix_rt::spawn(serve_peers(
                listener,
                MAX_LINKS,
                Intake::default(),
                UnsentReplies::default(),
                move |call| {
                    let answers = Arc::clone(&served);
                    async move { answer(&answers, token, &call).await }
                },
            ));
        });
        Self { answers, arbiter }
    }

    /// Returns the answers, which the test may change.
    pub fn answers(&self) -> MutexGuard<'_, Answers> {
        lock(&self.answers)
    }
}

impl Drop for FakeScheduler {
    fn drop(&mut self) {
        self.arbiter.stop();
    }
}

fn lock(answers: &Mutex<Answers>) -> MutexGuard<'_, Answers> {
    answers.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Appends a claim (token 0) or a heartbeat, and returns its offset.
fn append_holder(platform: &SharedPlatform, address: SocketAddr, token: u64) -> u64 {
    let record = records::holder(&HolderRecord {
        node: "fake".into(),
        address: address.to_string().into(),
        incarnation: u64::MAX,
        token,
        proves: true,
        ..HolderRecord::default()
    });
    platform.with_store(|store| append(store, &record))
}

fn append(store: &mut syc_fleet::StoreModel, record: &Record) -> u64 {
    let records = std::slice::from_ref(record);
    let appended = store.append(Topic::Holders, 0, records, &Condition::None);
    appended.expect("the append succeeds").offset
}

async fn answer(answers: &Mutex<Answers>, token: u64, call: &[u8]) -> Bytes {
    let call = CellMessage::decode_body(call).expect("a readable call");
    let reply = reply_to(&mut lock(answers), token, &call);
    match reply {
        Some(reply) => CellMessage::encode_body(reply),
        None => pending().await,
    }
}

fn reply_to(answers: &mut Answers, token: u64, call: &CellBody) -> Option<CellBody> {
    match call {
        CellBody::Contact(_) if answers.contacts => Some(CellBody::ContactReply(ContactReply {
            leading: true,
            token,
            store_answers: true,
            partition: 1,
            append_ms: answers.append_ms,
            incarnation: u64::MAX,
            shed_rows: answers.rows.clone(),
            ..ContactReply::default()
        })),
        CellBody::JobStateQuery(query) => {
            answers.queried.push(query.job);
            let mut reply = JobStateReply::default();
            reply.set_knowledge(answers.knowledge?);
            Some(CellBody::JobStateReply(reply))
        }
        CellBody::StoredNotice(_) => {
            answers.notices += 1;
            Some(CellBody::NoticeReply(NoticeReply {
                taken: answers.notices > answers.notices_to_refuse,
            }))
        }
        // A node relays records to the scheduler's node while that one reports a slow store.
        CellBody::Relay(_) => Some(CellBody::RelayReply(RelayReply {
            stored: true,
            partition: 1,
            taken: true,
            ..RelayReply::default()
        })),
        _ => None,
    }
}
