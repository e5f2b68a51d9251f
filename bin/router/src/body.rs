//! Reads request bodies with a size limit and a timeout.

use std::time::Duration;

use ntex::http::Payload;
use ntex::time::Millis;
use ntex::time::timeout;
use ntex::util::stream_recv;
use snipegate_types::ByteCount;
use snipegate_types::ResultCode;

use crate::refusal::RequestRefusal;

/// Reads a whole request body.
///
/// # Errors
///
/// Refuses a body that exceeds `limit`, takes longer than `wait` or is truncated.
pub async fn read_body(
    payload: Payload,
    limit: ByteCount,
    wait: Duration,
) -> Result<Vec<u8>, RequestRefusal> {
    let duration = Millis(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
    match timeout(duration, collect_body(payload, limit)).await {
        Ok(body) => body,
        Err(()) => Err(RequestRefusal::not_run(
            ResultCode::SenderTooSlow,
            format!("body did not arrive within {} ms", wait.as_millis()),
        )),
    }
}

async fn collect_body(mut payload: Payload, limit: ByteCount) -> Result<Vec<u8>, RequestRefusal> {
    let mut body = Vec::new();
    while let Some(part) = stream_recv(&mut payload).await {
        let bytes = part
            .map_err(|_| RequestRefusal::not_run(ResultCode::MalformedBody, "body was cut off"))?;
        if (body.len() + bytes.len()) as u64 > limit.0 {
            return Err(RequestRefusal::not_run(
                ResultCode::BodyTooLarge,
                format!("body has more than {limit} bytes"),
            ));
        }
        body.extend_from_slice(&bytes);
    }
    Ok(body)
}
