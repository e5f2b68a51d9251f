//! Computes the [`RequestDigest`] of a request.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use snipegate_http1::RequestHead;
use snipegate_types::RequestDigest;
use snipegate_types::WorkspaceId;

/// Returns the digest of a request of `workspace`. All VMs, and all runs of a VM, compute the
/// same value.
pub fn digest_request(
    head: &RequestHead,
    workspace: Option<&WorkspaceId>,
    body: &[u8],
) -> RequestDigest {
    let workspace = workspace.map_or("", WorkspaceId::as_str);
    let mut hasher = SipHasher13::new();
    for field in [&head.method, &head.target, workspace] {
        write_field(&mut hasher, field.as_bytes());
    }
    write_field(&mut hasher, body);
    RequestDigest(hasher.finish())
}

/// Writes a field with its length, so that no two sequences of fields write the same bytes.
fn write_field(hasher: &mut SipHasher13, field: &[u8]) {
    hasher.write(&(field.len() as u64).to_le_bytes());
    hasher.write(field);
}
