//! Digests of the API keys by which callers are recognised.

use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;

use sha2::Digest;
use sha2::Sha256;
use smol_str::SmolStr;
use smol_str::format_smolstr;
use subtle::ConstantTimeEq;

/// Bytes of a digest that its fingerprint shows.
const FINGERPRINT_BYTES: usize = 4;

/// SHA-256 digest of an API key. The key itself is not kept, and neither is printed.
#[derive(Clone, Copy, Eq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Returns the first digits of the digest, by which an operator can tell keys in a log apart. They don't help to
    /// guess a random key, but confirm the guess of a weak one.
    #[must_use]
    pub fn fingerprint(&self) -> SmolStr {
        let mut digits = String::with_capacity(FINGERPRINT_BYTES * 2);
        for byte in &self.0[..FINGERPRINT_BYTES] {
            digits.push_str(&format_smolstr!("{byte:02x}"));
        }
        SmolStr::from(digits)
    }
}

/// Takes the same time for any two digests, so that it doesn't tell how much of a guess is right.
impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    fn hash<H>(&self, state: &mut H)
    where
        H: Hasher,
    {
        state.write(&self.0);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", self.fingerprint())
    }
}
