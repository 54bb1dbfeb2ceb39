//! Records of the configuration stream and snapshots in parts.
//!
//! A record is one line of JSON, the header, followed by a body. The body of a patch is the patch
//! in JSON; the body of a snapshot part is a slice of the state in JSON. A snapshot is valid only
//! when all its parts were read and their digest matches. Parts of different snapshots may
//! interleave; the snapshot's id identifies them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use snafu::{ResultExt, Snafu, ensure};
use uuid::Uuid;
use xxhash_rust::xxh3;

use crate::{configuration::Configuration, patch};

/// Largest record of the log, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 * 1024;
/// Largest body of a part, in bytes; the rest of the record is reserved for the header.
pub const MAX_PART_BYTES: usize = MAX_RECORD_BYTES - 1024;
/// Largest number of parts of one snapshot, which bounds it to about 16 MB.
pub const MAX_PARTS: u32 = 64;
/// Largest number of snapshots that are assembled at the same time; the oldest is dropped beyond
/// this.
const MAX_PARTIAL_SNAPSHOTS: usize = 4;

/// Accepted patch, kept to detect duplicates.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AcceptedPatch {
    pub id: patch::PatchId,
    /// Version that the patch produced.
    pub version: u64,
}

/// Everything that a reader needs to continue from `as_of`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Snapshot {
    /// Offset of the first record that the state does not include.
    pub as_of: u64,
    pub configuration: Arc<Configuration>,
    /// Accepted patches, oldest first.
    pub recent: Vec<AcceptedPatch>,
}

/// Snapshot in the encoding that peers exchange.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EncodedImage {
    pub version: u64,
    pub as_of: u64,
    /// [`Snapshot`] in JSON.
    pub state: Vec<u8>,
}

/// Header of a snapshot part.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartHeader {
    #[serde_as(as = "DisplayFromStr")]
    pub snapshot: Uuid,
    pub index: u32,
    pub count: u32,
    /// XXH3 hash of the whole state.
    pub digest: u64,
    pub version: u64,
    pub as_of: u64,
}

/// Part of a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SnapshotPart<'a> {
    pub header: PartHeader,
    pub body: &'a [u8],
}

/// Record of the configuration stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigurationRecord<'a> {
    Patch(patch::Patch),
    Part(SnapshotPart<'a>),
}

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum RecordHeader {
    Patch,
    Part(PartHeader),
}

/// Reason why a record or an image cannot be decoded.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    #[snafu(display("the record has {bytes} bytes and at most {MAX_RECORD_BYTES} are allowed"))]
    RecordTooLarge { bytes: usize },
    #[snafu(display("the record has no header line; only `cowslipdeal` may write to this stream"))]
    MissingHeader,
    #[snafu(display(
        "the record cannot be decoded: {source}; only `cowslipdeal` may write to this stream"
    ))]
    InvalidRecord { source: serde_json::Error },
    #[snafu(display(
        "the state cannot be decoded: {source}; check that all processes run one release"
    ))]
    InvalidState { source: serde_json::Error },
    #[snafu(display("the header and the state of a snapshot do not match; append a new snapshot"))]
    Inconsistent,
}

/// Reason why the state cannot be encoded as a snapshot.
#[derive(Debug, Snafu)]
pub enum EncodeError {
    #[snafu(display(
        "the state needs {parts} records and at most {MAX_PARTS} are allowed; remove unused adapters"
    ))]
    TooManyParts { parts: usize },
}

/// Encodes a patch as a record.
#[must_use]
pub fn encode_patch(patch: &patch::Patch) -> Vec<u8> {
    encode_record(&RecordHeader::Patch, &to_json(patch))
}

/// Encodes a snapshot as records with bodies of `part_bytes`, at most [`MAX_PART_BYTES`].
///
/// # Errors
/// [`EncodeError`] when the state needs more than [`MAX_PARTS`] records.
pub fn encode_snapshot(
    id: Uuid,
    snapshot: &Snapshot,
    part_bytes: usize,
) -> Result<Vec<Vec<u8>>, EncodeError> {
    let part_bytes = part_bytes.clamp(1, MAX_PART_BYTES);
    let state = to_json(snapshot);
    let digest = xxh3::xxh3_64(&state);
    let parts = state.len().div_ceil(part_bytes);
    ensure!(parts <= MAX_PARTS as usize, TooManyPartsSnafu { parts });
    let count = u32::try_from(parts).unwrap_or(MAX_PARTS);
    let records = (0..count)
        .zip(state.chunks(part_bytes))
        .map(|(index, body)| {
            let header = RecordHeader::Part(PartHeader {
                snapshot: id,
                index,
                count,
                digest,
                version: snapshot.configuration.version(),
                as_of: snapshot.as_of,
            });
            encode_record(&header, body)
        })
        .collect();
    Ok(records)
}

/// Encodes a snapshot for a peer.
#[must_use]
pub fn encode_image(snapshot: &Snapshot) -> EncodedImage {
    EncodedImage {
        version: snapshot.configuration.version(),
        as_of: snapshot.as_of,
        state: to_json(snapshot),
    }
}

/// Decodes a snapshot from a peer.
///
/// # Errors
/// [`DecodeError`] when the state cannot be decoded or does not match the version or offset.
pub fn decode_image(image: &EncodedImage) -> Result<Snapshot, DecodeError> {
    decode_state(&image.state, image.version, image.as_of)
}

/// Decodes a record.
///
/// # Errors
/// [`DecodeError`] when the record does not belong to the configuration stream.
pub fn decode_record(record: &[u8]) -> Result<ConfigurationRecord<'_>, DecodeError> {
    let bytes = record.len();
    ensure!(bytes <= MAX_RECORD_BYTES, RecordTooLargeSnafu { bytes });
    let Some(end) = record.iter().position(|byte| *byte == b'\n') else {
        return MissingHeaderSnafu.fail();
    };
    let body = &record[end + 1..];
    match serde_json::from_slice(&record[..end]).context(InvalidRecordSnafu)? {
        RecordHeader::Patch => serde_json::from_slice(body)
            .map(ConfigurationRecord::Patch)
            .context(InvalidRecordSnafu),
        RecordHeader::Part(header) => {
            let valid = header.count <= MAX_PARTS && header.index < header.count;
            ensure!(valid, InconsistentSnafu);
            Ok(ConfigurationRecord::Part(SnapshotPart { header, body }))
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    // Serialization to memory fails only for maps with keys that are not strings; there are none.
    serde_json::to_vec(value).unwrap_or_default()
}

fn encode_record(header: &RecordHeader, body: &[u8]) -> Vec<u8> {
    let mut record = to_json(header);
    record.reserve_exact(1 + body.len());
    record.push(b'\n');
    record.extend_from_slice(body);
    record
}

fn decode_state(state: &[u8], version: u64, as_of: u64) -> Result<Snapshot, DecodeError> {
    let snapshot: Snapshot = serde_json::from_slice(state).context(InvalidStateSnafu)?;
    let consistent = snapshot.configuration.version() == version && snapshot.as_of == as_of;
    ensure!(consistent, InconsistentSnafu);
    Ok(snapshot)
}

/// Whether an assembler keeps the bodies of the parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AssemblyMode {
    /// Keeps the bodies, to decode the state.
    KeepState,
    /// Only detects that a snapshot is complete.
    CountParts,
}

#[derive(Clone, Debug)]
struct PartialSnapshot {
    header: PartHeader,
    received: u64,
    bodies: Vec<Vec<u8>>,
}

/// Assembles snapshots from their parts.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    partial: Vec<PartialSnapshot>,
}

/// Snapshot of which all parts were read.
#[derive(Clone, Debug)]
pub struct CompleteSnapshot {
    pub header: PartHeader,
    bodies: Vec<Vec<u8>>,
}

impl SnapshotAssembler {
    /// Adds a part and returns the snapshot if the part completes it.
    pub fn add_part(
        &mut self,
        part: &SnapshotPart<'_>,
        mode: AssemblyMode,
    ) -> Option<CompleteSnapshot> {
        let header = &part.header;
        let index = self.find_or_insert(header)?;
        let partial = &mut self.partial[index];
        let bit = 1_u64.checked_shl(header.index)?;
        if partial.received & bit == 0 {
            partial.received |= bit;
            if mode == AssemblyMode::KeepState {
                partial.bodies[header.index as usize] = part.body.to_vec();
            }
        }
        if partial.received.count_ones() < header.count {
            return None;
        }
        let partial = self.partial.remove(index);
        Some(CompleteSnapshot {
            header: partial.header,
            bodies: partial.bodies,
        })
    }

    /// Drops all parts.
    pub fn clear(&mut self) {
        self.partial.clear();
    }

    /// Index of the part's snapshot, which is added if new; none when the part's header does not
    /// match the parts before it.
    fn find_or_insert(&mut self, header: &PartHeader) -> Option<usize> {
        let known = self
            .partial
            .iter()
            .position(|partial| partial.header.snapshot == header.snapshot);
        if let Some(index) = known {
            let first = &self.partial[index].header;
            let same = first.count == header.count
                && first.digest == header.digest
                && first.as_of == header.as_of
                && first.version == header.version;
            return same.then_some(index);
        }
        if self.partial.len() >= MAX_PARTIAL_SNAPSHOTS {
            self.partial.remove(0);
        }
        self.partial.push(PartialSnapshot {
            header: header.clone(),
            received: 0,
            bodies: vec![Vec::new(); header.count as usize],
        });
        Some(self.partial.len() - 1)
    }
}

impl CompleteSnapshot {
    /// Decodes the state.
    ///
    /// # Errors
    /// [`DecodeError`] when the parts do not match the digest or cannot be decoded.
    pub fn decode(self) -> Result<Snapshot, DecodeError> {
        let state = self.bodies.concat();
        ensure!(
            xxh3::xxh3_64(&state) == self.header.digest,
            InconsistentSnafu
        );
        decode_state(&state, self.header.version, self.header.as_of)
    }
}
