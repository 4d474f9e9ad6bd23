//! Generated input for fuzz tests of parsers.
//!
//! `SYC_FUZZ_CASES` sets the number of cases of each test, and `SYC_FUZZ_SEED` the seed. By default, every run uses
//! the same cases.

use std::fmt;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use serde_json::Value;

use crate::mutate::Mutation;
use crate::mutate::add_unknown_fields;
use crate::mutate::count_values;
use crate::mutate::mutate;
use crate::mutate::unexpected_value;

/// Environment variable that sets the number of cases of each test.
const CASES_VARIABLE: &str = "SYC_FUZZ_CASES";

/// Environment variable that sets the seed.
const SEED_VARIABLE: &str = "SYC_FUZZ_SEED";

/// Default number of cases of each test, small enough for CI.
const DEFAULT_CASES: u32 = 400;

/// Upper bound of the length of random input, exclusive.
const MAX_INPUT_BYTES: usize = 300;

/// Length of the generator's seed.
const SEED_BYTES: usize = 32;

/// Returns the number of cases of each test.
#[must_use]
pub fn cases() -> u32 {
    let set = std::env::var(CASES_VARIABLE).ok();
    set.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_CASES)
}

/// Returns a test runner for [`cases`] cases that is deterministic for a given seed.
#[must_use]
pub fn runner() -> TestRunner {
    let seed = std::env::var(SEED_VARIABLE).ok();
    let seed: u64 = seed.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut bytes = [0; SEED_BYTES];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

/// Checks that a parser accepts or rejects random bytes without panicking.
///
/// # Panics
///
/// Panics with the smallest input found if the parser panics.
pub fn random_bytes<T, F>(read: F)
where
    F: Fn(&[u8]) -> T,
{
    run_cases(&vec(any::<u8>(), 0..MAX_INPUT_BYTES), |bytes| {
        read(bytes);
        Ok(())
    });
}

/// Checks that a parser does not panic on valid input that was truncated or has one byte changed.
///
/// # Panics
///
/// Panics with the smallest input found if the parser panics.
pub fn mutated_bytes<T, F>(valid: &[Vec<u8>], read: F)
where
    F: Fn(&[u8]) -> T,
{
    let mutations = (0..valid.len(), any::<usize>(), any::<u8>(), any::<bool>());
    run_cases(&mutations, |(index, at, byte, cut)| {
        let mut body = valid[*index].clone();
        let at = at % body.len();
        if *cut {
            body.truncate(at);
        } else {
            body[at] = *byte;
        }
        read(&body);
        Ok(())
    });
}

/// Checks that a parser does not panic on valid JSON in which one value was removed, or replaced by a value that is of
/// another type, null, huge, negative or deeply nested.
///
/// # Panics
///
/// Panics with the smallest input found if the parser panics.
pub fn mutated_fields<T, F>(valid: &[Vec<u8>], read: F)
where
    F: Fn(&[u8]) -> T,
{
    let bodies = parse_bodies(valid);
    let mutations = (0..bodies.len(), any::<usize>(), 0..24_usize);
    run_cases(&mutations, |(index, position, kind)| {
        let mut body = bodies[*index].clone();
        let position = position % count_values(&body);
        let mutation = kind
            .checked_sub(4)
            .map_or(Mutation::Remove, Mutation::Replace);
        mutate(&mut body, position, mutation);
        read(body.to_string().as_bytes());
        Ok(())
    });
}

/// Checks that a parser ignores what a later version may add to valid JSON: unknown fields and, with `with_rows`,
/// additional entries at the end of rows.
///
/// # Panics
///
/// Panics if the parser returns a different result or rejects the input.
pub fn unknown_fields<T, F>(valid: &[Vec<u8>], with_rows: bool, read: F)
where
    T: PartialEq + fmt::Debug,
    F: Fn(&[u8]) -> Option<T>,
{
    let bodies = parse_bodies(valid);
    run_cases(
        &(0..bodies.len(), any::<usize>()),
        |(index, value_index)| {
            let before = read(bodies[*index].to_string().as_bytes());
            let mut body = bodies[*index].clone();
            add_unknown_fields(&mut body, *value_index, with_rows);
            let after = read(body.to_string().as_bytes());
            if before.is_none() || before != after {
                let added = unexpected_value(*value_index);
                let text = format!("parsed {after:?} instead of {before:?} after adding {added}");
                return Err(TestCaseError::fail(text));
            }
            Ok(())
        },
    );
}

fn parse_bodies(valid: &[Vec<u8>]) -> Vec<Value> {
    let parsed = valid.iter().map(|body| serde_json::from_slice(body));
    parsed.map(|body| body.expect("valid JSON")).collect()
}

fn run_cases<S, F>(strategy: &S, test: F)
where
    S: Strategy,
    F: Fn(&S::Value) -> Result<(), TestCaseError>,
{
    let result = runner().run(strategy, |value| test(&value));
    if let Err(error) = result {
        panic!("{error}");
    }
}
