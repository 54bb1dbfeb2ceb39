//! Organisations of callers, from the configuration, and the directory of their keys.
//!
//! The directory holds keyed hashes of the keys, sorted, and never the keys. The time in which it
//! finds an organisation does not depend on how much of a key matches.

use std::{
    fmt,
    hash::{BuildHasher, RandomState},
    sync::{Arc, LazyLock},
};

use decisions::quota;

/// Hashers of keys, with random seeds of this process. Two of 64 bits make up a digest.
static KEY_HASHERS: LazyLock<[RandomState; 2]> =
    LazyLock::new(|| [RandomState::new(), RandomState::new()]);

/// Organisation whose callers are known by their keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    pub name: String,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// `None` if its requests are not limited.
    pub quota: Option<OrganisationQuota>,
}

/// Quota of an organisation with its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OrganisationQuota {
    pub limit: quota::QuotaLimit,
    pub unit: QuotaUnit,
}

/// Unit in which a quota counts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaUnit {
    /// Each request costs one unit.
    Requests,
    /// Each request costs the tokens that it declares.
    Tokens {
        /// Cost of a request that declares none.
        undeclared: u32,
    },
}

impl QuotaUnit {
    /// Cost of a request that declares a number of tokens.
    #[must_use]
    pub fn cost(self, declared: Option<u64>) -> u64 {
        match self {
            Self::Requests => 1,
            Self::Tokens { undeclared } => declared.unwrap_or_else(|| u64::from(undeclared)),
        }
    }
}

/// Keyed hash of a caller's key, which differs between processes.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u64; 2]);

impl KeyDigest {
    /// Digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(KEY_HASHERS.each_ref().map(|hasher| hasher.hash_one(key)))
    }
}

/// A short part of the digest, which tells the keys of one process apart.
impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0[0] >> u32::BITS)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

/// Caller whose key is known.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownCaller {
    pub organisation: Arc<Organisation>,
    pub key: KeyDigest,
}

/// Organisations of one version of the configuration by their keys. The default is that of a
/// configuration without organisations, in which callers need no key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationDirectory {
    /// Sorted by digest, each digest once.
    keys: Vec<(KeyDigest, Arc<Organisation>)>,
    /// All organisations, maybe without keys.
    organisations: Vec<Arc<Organisation>>,
    is_required: bool,
}

impl OrganisationDirectory {
    /// Directory of organisations with their keys, which callers need from now on; if there are none,
    /// nobody has one. A key that several hold identifies none of them.
    #[must_use]
    pub fn new(organisations: Vec<(Organisation, Vec<String>)>) -> Self {
        let mut all = Vec::new();
        let mut keys = Vec::new();
        for (organisation, held) in organisations {
            let organisation = Arc::new(organisation);
            all.push(Arc::clone(&organisation));
            let digests = held.iter().map(|key| KeyDigest::of(key.as_bytes()));
            keys.extend(digests.map(|digest| (digest, Arc::clone(&organisation))));
        }
        keys.sort_by_key(|(digest, _)| *digest);
        keys.dedup_by(|(digest, organisation), (kept, holder)| {
            digest == kept && Arc::ptr_eq(organisation, holder)
        });
        let keys = keys
            .chunk_by(|(digest, _), (next, _)| digest == next)
            .filter(|holders| holders.len() == 1)
            .flat_map(<[_]>::to_vec)
            .collect();
        Self {
            keys,
            organisations: all,
            is_required: true,
        }
    }

    /// Whether callers of routes that are not public need a key.
    #[must_use]
    pub fn is_required(&self) -> bool {
        self.is_required
    }

    /// All organisations of the configuration.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.iter().map(Arc::as_ref)
    }

    /// Caller with a key.
    #[must_use]
    pub fn find(&self, key: KeyDigest) -> Option<KnownCaller> {
        let position = self.keys.binary_search_by_key(&key, |(digest, _)| *digest);
        let (_, organisation) = &self.keys[position.ok()?];
        Some(KnownCaller {
            organisation: Arc::clone(organisation),
            key,
        })
    }
}
