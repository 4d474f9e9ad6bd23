//! The platform's store: an append-only log with the newest record of each key, and the limits that its page names.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reply, Request, reply};
use crate::journal::Journal;
use crate::ms;

/// Largest record, without its length.
const RECORD_BYTES: usize = 262_144;

/// Largest sum of the records of a call.
const CALL_BYTES: usize = 2_097_152;

const APPEND_MS: u64 = 4;
const PART_BYTES_PER_S: usize = 20_000_000;
const PART_BYTES: usize = 200_000_000;
const KEEP: Duration = Duration::from_secs(20);

/// Partitions of a topic.
pub const PARTS: u32 = 8;

#[derive(Default)]
pub struct Producer {
    epoch: u64,
    last: Option<u64>,
    recent: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
pub struct Partition {
    first: u64,
    records: VecDeque<(Instant, Vec<u8>)>,
    bytes: usize,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

impl Partition {
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub fn push(&mut self, record: Vec<u8>) {
        let offset = self.end();
        let key_bytes = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=key_bytes]).into_owned();
        let value = record[1 + key_bytes..].to_vec();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (value, offset));
        }
        self.bytes += record.len();
        self.records.push_back((Instant::now(), record));
        while self.bytes > PART_BYTES || self.records.front().is_some_and(|(at, _)| at.elapsed() > KEEP) {
            let Some((_, old)) = self.records.pop_front() else { break };
            self.bytes -= old.len();
            self.first += 1;
        }
    }
}

#[derive(Default)]
pub struct StoreState {
    partitions: HashMap<(String, u32), Partition>,
}

pub struct Store {
    pub state: Mutex<StoreState>,
    pub news: Condvar,
    pub appending: Mutex<HashMap<(String, u32), Arc<Mutex<()>>>>,
    pub journal: Arc<Journal>,
    pub refused: AtomicU64,
}

pub fn frame(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    record
}

impl Store {
    /// Writes as the operator or as a minion.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let place = (topic.to_owned(), 0);
        state.partitions.entry(place).or_default().push(frame(key, value));
        drop(state);
        self.news.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Reply {
        let topic = request.query.get("Topic").cloned().unwrap_or_default();
        let part: u32 = request.query.get("part").and_then(|p| p.parse().ok()).unwrap_or(0);
        if topic.is_empty() || part >= PARTS {
            return reply(400, "{}".into());
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append((topic, part), request),
            ("GET", "/log-read") => self.read((topic, part), request),
            ("GET", "/log-newest") => self.newest((topic, part), request),
            _ => reply(404, "{}".into()),
        }
    }

    pub fn append(&self, place: (String, u32), request: &Request) -> Reply {
        if place.0 == "keyed.op" || place.0 == "keyed.servers" {
            return reply(403, "{}".into());
        }
        let mut records = Vec::new();
        let mut rest = &request.body[..];
        while !rest.is_empty() {
            if rest.len() < 4 {
                return reply(400, "{}".into());
            }
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length {
                return reply(400, "{}".into());
            }
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        // "Each record consists of a length (4 bytes, big-endian) and at most `RecordBytes`; the records of one call
        // total at most `CallBytes`."
        let longest = records.iter().map(Vec::len).max().unwrap_or(0);
        let total: usize = records.iter().map(Vec::len).sum();
        if longest > RECORD_BYTES || total > CALL_BYTES {
            if self.refused.fetch_add(1, Ordering::Relaxed) % 100 == 0 {
                self.journal.note(&format!(
                    "store: refuses an append to {}/{}: {} records, the longest of {longest} bytes, {total} in all",
                    place.0,
                    place.1,
                    records.len()
                ));
            }
            return reply(400, "{\"Error\":\"too large\"}".into());
        }
        let turn = Arc::clone(self.appending.lock().unwrap().entry(place.clone()).or_default());
        let _turn = turn.lock().unwrap();
        thread::sleep(ms(APPEND_MS) + Duration::from_secs_f64(total as f64 / PART_BYTES_PER_S as f64));
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(place).or_default();
        let end = partition.end();
        let number = |name: &str| request.query.get(name).and_then(|n| n.parse::<u64>().ok());
        if number("At").is_some_and(|at| at != end) {
            return reply(412, format!("{{\"End\":{end}}}"));
        }
        if let Some(name) = request.query.get("Producer") {
            let (epoch, sequence) = (number("epoch").unwrap_or(0), number("Sequence").unwrap_or(0));
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return reply(409, "{\"Reason\":\"fenced\"}".into());
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, ..Producer::default() };
            }
            if !records.is_empty() {
                if let Some((_, offset, end)) = producer.recent.iter().find(|(s, _, _)| *s == sequence) {
                    return reply(200, format!("{{\"Offset\":{offset},\"End\":{end}}}"));
                }
                if let Some(last) = producer.last.filter(|last| last + 1 != sequence) {
                    return reply(409, format!("{{\"Reason\":\"seq\",\"Sequence\":{}}}", last + 1));
                }
                producer.last = Some(sequence);
                producer.recent.push_back((sequence, end, end + records.len() as u64));
                if producer.recent.len() > 5 {
                    producer.recent.pop_front();
                }
            }
        }
        let is_news = !records.is_empty();
        for record in records {
            partition.push(record);
        }
        let new_end = partition.end();
        drop(state);
        if is_news {
            self.news.notify_all();
        }
        reply(200, format!("{{\"Offset\":{end},\"End\":{new_end}}}"))
    }

    pub fn read(&self, place: (String, u32), request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|n| n.parse::<u64>().ok());
        let from = number("From").unwrap_or(0);
        let most = number("MaxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + ms(number("WaitMs").unwrap_or(0).min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let partition = state.partitions.entry(place.clone()).or_default();
            if from < partition.first {
                return reply(410, format!("{{\"First\":{}}}", partition.first));
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < partition.end() || left.is_zero() {
                let mut body = partition.end().to_be_bytes().to_vec();
                body.extend_from_slice(&partition.first.to_be_bytes());
                for (_, record) in partition.records.iter().skip((from - partition.first) as usize) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Reply { status: 200, body };
            }
            state = self.news.wait_timeout(state, left).unwrap().0;
        }
    }

    pub fn newest(&self, place: (String, u32), request: &Request) -> Reply {
        let after = request.query.get("After").cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry(place).or_default();
        let mut items = String::new();
        let (mut count, mut bytes, mut more) = (0, 0, false);
        for (key, (value, offset)) in &partition.newest {
            if !after.is_empty() && *key <= after {
                continue;
            }
            if count >= 500 || (count > 0 && bytes + value.len() > 1_000_000) {
                more = true;
                break;
            }
            count += 1;
            bytes += value.len();
            let comma = if items.is_empty() { "" } else { "," };
            items += &format!("{comma}{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Offset\":{offset}}}", base64(value));
        }
        reply(200, format!("{{\"items\":[{items}],\"HasMore\":{more},\"End\":{}}}", partition.end()))
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16 | u32::from(*chunk.get(1).unwrap_or(&0)) << 8 | u32::from(*chunk.get(2).unwrap_or(&0));
        for digit in 0..4 {
            if digit <= chunk.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * digit) & 63) as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

