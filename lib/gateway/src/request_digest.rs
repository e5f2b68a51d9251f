//! Computes the [`RequestDigest`] of a request.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;
use snipegate_http1::RequestHead;
use snipegate_types::RequestDigest;
use snipegate_types::WorkspaceId;

use crate::metadata::PromptShape;

/// Returns the digest of a request of `workspace`. All VMs, and all runs of a VM, compute the
/// same value.
///
/// The parts of a prompt count too: what differs in them is another prompt, also where the body
/// does not tell.
pub fn digest_request(
    head: &RequestHead,
    workspace: Option<&WorkspaceId>,
    prompt: Option<&PromptShape>,
    body: &[u8],
) -> RequestDigest {
    let workspace = workspace.map_or("", WorkspaceId::as_str);
    let mut hasher = SipHasher13::new();
    for field in [&head.method, &head.target, workspace] {
        write_field(&mut hasher, field.as_bytes());
    }
    write_field(&mut hasher, body);
    for part in prompt.map_or(&[][..], |prompt| &prompt.parts) {
        hasher.write(&part.id.0.to_le_bytes());
    }
    RequestDigest(hasher.finish())
}

/// Writes a field with its length, so that no two sequences of fields write the same bytes.
fn write_field(hasher: &mut SipHasher13, field: &[u8]) {
    hasher.write(&(field.len() as u64).to_le_bytes());
    hasher.write(field);
}
