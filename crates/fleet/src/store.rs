//! Model of the store: partitions with offsets, conditional appends, fenced producers, the newest record of each key,
//! and a truncated history.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use smol_str::SmolStr;
use syc_cell::ports::AppendError;
use syc_cell::ports::Appended;
use syc_cell::ports::Condition;
use syc_cell::ports::Newest;
use syc_cell::ports::Page;
use syc_cell::ports::ReadError;
use syc_cell::ports::Record;
use syc_cell::ports::Topic;

/// Number of appends of a producer whose results are kept for deduplication.
const REMEMBERED_APPENDS: usize = 5;

/// State of the store.
#[derive(Debug, Clone, Default)]
pub struct StoreModel {
    partitions: HashMap<(Topic, u32), Partition>,
    /// Whether repeats are recognized before epochs are checked. The platform does not state the order.
    answers_repeats_first: bool,
}

#[derive(Debug, Clone, Default)]
struct Partition {
    /// Offset of the first retained record of the history.
    first: u64,
    end: u64,
    history: VecDeque<Record>,
    newest: BTreeMap<SmolStr, (u64, Record)>,
    producers: HashMap<SmolStr, Producer>,
}

#[derive(Debug, Clone, Default)]
struct Producer {
    epoch: u64,
    /// Sequence number of the next append; `None` before the first append of an epoch.
    next: Option<u64>,
    answers: VecDeque<Answer>,
}

/// The first response to an append.
#[derive(Debug, Clone)]
struct Answer {
    epoch: u64,
    sequence: u64,
    appended: Appended,
}

impl StoreModel {
    /// Appends records if the condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the condition does not hold.
    pub fn append(
        &mut self,
        topic: Topic,
        partition: u32,
        records: &[Record],
        condition: &Condition,
    ) -> Result<Appended, AppendError> {
        let repeated = self.find_repeated(topic, partition, condition);
        if let Some(appended) = repeated.filter(|_| self.answers_repeats_first) {
            return Ok(appended);
        }
        let partition = self.partitions.entry((topic, partition)).or_default();
        match condition {
            Condition::None => Ok(partition.add(records)),
            Condition::EndsAt(end) if *end == partition.end => Ok(partition.add(records)),
            Condition::EndsAt(_) => Err(AppendError::EndMismatch { end: partition.end }),
            Condition::Producer {
                name,
                epoch,
                sequence,
            } => partition.add_produced(records, name, *epoch, *sequence),
        }
    }

    /// Recognizes repeats before checking epochs, so that a fenced producer still gets its first responses.
    pub const fn answer_repeats_first(&mut self) {
        self.answers_repeats_first = true;
    }

    /// Returns whether an append repeats one of the last ones of its producer.
    #[must_use]
    pub fn is_repeat(&self, topic: Topic, partition: u32, condition: &Condition) -> bool {
        self.find_repeated(topic, partition, condition).is_some()
    }

    fn find_repeated(
        &self,
        topic: Topic,
        partition: u32,
        condition: &Condition,
    ) -> Option<Appended> {
        let Condition::Producer {
            name,
            epoch,
            sequence,
        } = condition
        else {
            return None;
        };
        let partition = self.partitions.get(&(topic, partition))?;
        partition.producers.get(name)?.answer(*epoch, *sequence)
    }

    /// Reads the records from an offset on.
    ///
    /// # Errors
    ///
    /// Returns an error if the history no longer contains the offset.
    pub fn read(&self, topic: Topic, partition: u32, from: u64) -> Result<Page, ReadError> {
        let Some(partition) = self.partitions.get(&(topic, partition)) else {
            return Ok(Page::default());
        };
        if from < partition.first {
            return Err(ReadError::Gone {
                first: partition.first,
            });
        }
        let skip = usize::try_from(from - partition.first).unwrap_or(usize::MAX);
        Ok(Page {
            first: from,
            end: partition.end,
            records: partition.history.iter().skip(skip).cloned().collect(),
        })
    }

    /// Returns the newest record of each key.
    #[must_use]
    pub fn newest(&self, topic: Topic, partition: u32) -> Newest {
        let Some(partition) = self.partitions.get(&(topic, partition)) else {
            return Newest::default();
        };
        Newest {
            records: partition.newest.values().cloned().collect(),
            read_from: partition.end,
        }
    }

    /// Returns the offset of the first retained record of the history.
    #[must_use]
    pub fn first(&self, topic: Topic, partition: u32) -> u64 {
        let partition = self.partitions.get(&(topic, partition));
        partition.map_or(0, |partition| partition.first)
    }

    /// Deletes the history of a topic, but keeps the newest record of each key.
    pub fn forget_history(&mut self, topic: Topic) {
        for ((of_topic, _), partition) in &mut self.partitions {
            if *of_topic == topic {
                partition.history.clear();
                partition.first = partition.end;
            }
        }
    }
}

impl Producer {
    /// Returns the first response to one of the last appends.
    fn answer(&self, epoch: u64, sequence: u64) -> Option<Appended> {
        let mut answers = self.answers.iter();
        let found = answers.find(|answer| (answer.epoch, answer.sequence) == (epoch, sequence));
        found.map(|answer| answer.appended)
    }
}

impl Partition {
    fn add(&mut self, records: &[Record]) -> Appended {
        let offset = self.end;
        for record in records {
            if record.value.is_empty() {
                self.newest.remove(&record.key);
            } else {
                let newest = (self.end, record.clone());
                self.newest.insert(record.key.clone(), newest);
            }
            self.history.push_back(record.clone());
            self.end += 1;
        }
        Appended {
            offset,
            end: self.end,
        }
    }

    fn add_produced(
        &mut self,
        records: &[Record],
        name: &SmolStr,
        epoch: u64,
        sequence: u64,
    ) -> Result<Appended, AppendError> {
        let mut producer = self.producers.get(name).cloned().unwrap_or_default();
        if epoch < producer.epoch {
            return Err(AppendError::Fenced);
        }
        if epoch > producer.epoch {
            producer.epoch = epoch;
            producer.next = None;
        }
        if records.is_empty() {
            self.producers.insert(name.clone(), producer);
            return Ok(Appended {
                offset: self.end,
                end: self.end,
            });
        }
        if let Some(answer) = producer.answer(epoch, sequence) {
            return Ok(answer);
        }
        if let Some(expected) = producer.next.filter(|expected| *expected != sequence) {
            return Err(AppendError::OutOfSequence { expected });
        }
        let appended = self.add(records);
        producer.next = Some(sequence + 1);
        producer.answers.push_back(Answer {
            epoch,
            sequence,
            appended,
        });
        if producer.answers.len() > REMEMBERED_APPENDS {
            producer.answers.pop_front();
        }
        self.producers.insert(name.clone(), producer);
        Ok(appended)
    }
}
