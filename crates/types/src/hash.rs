//! Rendezvous hashing: every process ranks the same members in the same order for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Scores one `candidate` for a `key`; the highest score owns the key.
#[must_use]
pub fn score(key: &str, candidate: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Picks the candidate with the highest score for `key`.
///
/// Ties are broken by the greater name, so that all processes agree. Returns `None` for an empty
/// list.
pub fn rendezvous<'a, I>(key: &str, candidates: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    candidates
        .into_iter()
        .max_by_key(|candidate| (score(key, candidate), *candidate))
}
