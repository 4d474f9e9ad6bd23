//! Names of incarnations: the VM's name, when its daemon started, and a random part.

use smol_str::SmolStr;
use syc_types::MemberId;

/// Stands between the VM's name and what tells its incarnations apart.
const SEPARATOR: char = '~';

/// Digits whose order is the order of their bytes.
const DIGITS: &[u8; 32] = b"0123456789abcdefghijklmnopqrstuv";

/// Digits of the start time; enough for Unix milliseconds until the year 3084.
const START_DIGITS: usize = 9;

/// Digits of the random part.
const RANDOM_DIGITS: usize = 2;

/// Makes the id of a daemon that starts now on the VM `name`.
///
/// A later start has the greater id as long as the VM's wall clock does not go back between two
/// starts; the random part keeps them apart even then.
#[must_use]
pub fn incarnation(name: &str, started_unix_ms: u64, random: u16) -> MemberId {
    let mut text = String::with_capacity(name.len() + 1 + START_DIGITS + RANDOM_DIGITS);
    text.push_str(name);
    text.push(SEPARATOR);
    push_digits(&mut text, started_unix_ms, START_DIGITS);
    push_digits(&mut text, u64::from(random), RANDOM_DIGITS);
    MemberId::new(SmolStr::new(text))
}

fn push_digits(text: &mut String, value: u64, digits: usize) {
    for place in (0..digits).rev() {
        let digit = (value >> (5 * place)) & 31;
        text.push(char::from(DIGITS[usize::try_from(digit).unwrap_or(0)]));
    }
}

/// Returns the name of the VM that an incarnation runs on.
#[must_use]
pub fn vm_name(id: &MemberId) -> &str {
    let text = id.as_str();
    text.rsplit_once(SEPARATOR).map_or(text, |(name, _)| name)
}
