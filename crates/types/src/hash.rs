//! Rendezvous hashing: every process ranks the same members in the same order for a key. Digests of names.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Scores one `candidate` for a `key`; the highest score owns the key.
#[must_use]
pub fn score(key: &str, candidate: &str) -> u64 {
    let seed = name_digest(key);
    xxh3_64_with_seed(candidate.as_bytes(), seed)
}

/// Returns a digest of a name that is the same in every process and version.
#[must_use]
pub fn name_digest(name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), 0)
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
