//! Answers of the router's own, and what is passed on of an upstream's.

use std::time::Duration;

use snipegate_http1::AnswerHead;

use crate::admission::Admission;
use crate::caller::CallerGone;
use crate::caller::CallerWriter;
use crate::config::ServiceName;
use crate::gateway::Gateway;
use crate::gateway::hash_name;
use crate::refusal::Refusal;
use crate::terms::RequestTerms;

/// Answers with a refusal.
///
/// # Errors
///
/// Fails if the caller is gone.
pub async fn refuse(
    gateway: &Gateway,
    caller: &mut CallerWriter<'_>,
    terms: &RequestTerms,
    refusal: &Refusal,
) -> Result<(), CallerGone> {
    let reason: &'static str = refusal.code.into();
    gateway.metrics.count_reason("request.refused", reason);
    let mut head = refusal.head();
    gateway.dialect.mark_own_answer(&mut head, terms);
    caller.answer(head, refusal.body().as_bytes()).await
}

/// Picks the service of a request's route, the same for each of its sends.
pub fn pick_service(admission: &Admission, terms: &RequestTerms) -> Option<ServiceName> {
    let point = hash_name(&terms.attempt_id) as f64 / u64::MAX as f64;
    admission.route.pick_service(point).cloned()
}

/// Spreads times to come back, so that callers do not return together.
pub fn spread(time: Duration) -> Duration {
    time.mul_f64(0.6 + 0.8 * fastrand::f64())
}

/// Drops the fields that concern only the connection to the upstream.
pub fn strip_connection_fields(head: &AnswerHead) -> AnswerHead {
    const DROPPED: [&str; 8] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "transfer-encoding",
        "content-length",
        "trailer",
        "upgrade",
        "te",
    ];
    let mut stripped = AnswerHead::new(head.status, &head.reason);
    for (name, value) in head.headers.iter() {
        let dropped = DROPPED.iter().any(|field| name.eq_ignore_ascii_case(field));
        if !dropped && !head.headers.has_token("connection", name) {
            stripped.headers.push(name, value);
        }
    }
    stripped
}
