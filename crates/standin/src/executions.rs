//! Counts how often, and how often at once, each thing is executed anywhere.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// How a thing was executed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExecutionCounts {
    /// Executions that go on now.
    pub running: u32,
    /// Executions that were ever begun.
    pub begun: u32,
    /// Most executions that went on at once.
    pub most_at_once: u32,
}

/// Executions by key, shared by all stand-ins of a kind.
#[derive(Debug)]
pub struct Executions<K>(Arc<Mutex<HashMap<K, ExecutionCounts>>>);

impl<K> Clone for Executions<K> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<K> Default for Executions<K> {
    fn default() -> Self {
        Self(Arc::default())
    }
}

impl<K> Executions<K>
where
    K: Eq + Hash + Clone,
{
    /// Notes that an execution of `key` begins.
    pub fn begin(&self, key: K) {
        let mut all = lock(&self.0);
        let counts = all.entry(key).or_default();
        counts.running += 1;
        counts.begun += 1;
        counts.most_at_once = counts.most_at_once.max(counts.running);
    }

    /// Notes that an execution of `key` ended.
    pub fn end(&self, key: &K) {
        if let Some(counts) = lock(&self.0).get_mut(key) {
            counts.running = counts.running.saturating_sub(1);
        }
    }

    /// Returns the counts of `key`.
    #[must_use]
    pub fn of(&self, key: &K) -> ExecutionCounts {
        lock(&self.0).get(key).copied().unwrap_or_default()
    }

    /// Returns all keys with their counts.
    #[must_use]
    pub fn all(&self) -> Vec<(K, ExecutionCounts)> {
        let all = lock(&self.0);
        all.iter()
            .map(|(key, counts)| (key.clone(), *counts))
            .collect()
    }
}

/// Locks a mutex; a panic elsewhere does not hide what was counted.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
