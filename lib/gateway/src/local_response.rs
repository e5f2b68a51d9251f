//! Locally generated responses, and the header fields of upstream responses that are
//! forwarded.

use std::time::Duration;

use snipegate_http1::ResponseHead;

use crate::admission::Admission;
use crate::caller::CallerDisconnected;
use crate::caller::CallerWriter;
use crate::config::ServiceName;
use crate::gateway::Gateway;
use crate::gateway::stable_hash;
use crate::metadata::RequestMetadata;
use crate::refusal::Refusal;

/// Writes a refusal to the caller.
///
/// # Errors
///
/// Fails if the caller has disconnected.
pub async fn refuse(
    gateway: &Gateway,
    caller: &mut CallerWriter<'_>,
    metadata: &RequestMetadata,
    refusal: &Refusal,
) -> Result<(), CallerDisconnected> {
    let reason: &'static str = refusal.code.into();
    gateway.metrics.count_tagged("request.refused", reason);
    let mut head = refusal.head();
    gateway.wire_format.tag_local_response(&mut head, metadata);
    caller.write_response(head, refusal.body().as_bytes()).await
}

/// Picks a service of the request's route by hashing the attempt id, so that repeated sends
/// of a request go to the same service.
pub fn pick_service(admission: &Admission, metadata: &RequestMetadata) -> Option<ServiceName> {
    let point = stable_hash(&metadata.attempt_id) as f64 / u64::MAX as f64;
    admission.route.pick_service(point).cloned()
}

/// Adds random jitter of +/- 40 % to a retry delay, so that callers do not retry in sync.
pub fn jitter(time: Duration) -> Duration {
    time.mul_f64(0.6 + 0.8 * fastrand::f64())
}

/// Removes hop-by-hop fields, and `Content-Length`, which [`CallerWriter`] adds itself.
pub fn strip_hop_by_hop_fields(head: &ResponseHead) -> ResponseHead {
    const STRIPPED: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "content-length",
        "trailer",
        "upgrade",
        "te",
    ];
    let mut stripped = ResponseHead::new(head.status, &head.reason);
    for (name, value) in head.headers.iter() {
        let dropped = STRIPPED
            .iter()
            .any(|field| name.eq_ignore_ascii_case(field));
        if !dropped && !head.headers.has_token("connection", name) {
            stripped.headers.push(name, value);
        }
    }
    stripped
}
