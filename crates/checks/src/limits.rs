//! Checks of the limits on requests against the memory of a gateway's instance.

use gateway::{buffers, catalog};

use crate::{
    finding::Finding,
    place::{EntryField, EntryPosition, FindingPlace},
};

/// Findings on limits that an instance does not bear.
#[must_use]
pub fn check_instance(
    limits: &catalog::CallerLimits,
    buffers: &buffers::BufferLimits,
) -> Vec<Finding> {
    let fields = [
        (EntryField::HeaderBytes, "header", limits.header_bytes),
        (EntryField::BodyBytes, "body", limits.body_bytes),
    ];
    let bearable_bytes = buffers.upload_bytes;
    let oversized = fields.into_iter().filter(|field| field.2 > bearable_bytes);
    oversized
        .map(|(field, part, bytes)| {
            Finding::warning(
                FindingPlace::checked(EntryPosition::Limits, field),
                format!(
                    "a {part} may have {bytes} bytes, but the instance buffers {bearable_bytes} bytes \
                     of all requests together"
                ),
                "lower the limit or use instances with more memory",
            )
        })
        .collect()
}
