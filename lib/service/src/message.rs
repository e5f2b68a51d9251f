//! Messages between own processes: MessagePack with named fields.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Content type of a message.
pub const MESSAGE_CONTENT_TYPE: &str = "application/msgpack";

/// Encodes a message.
///
/// # Panics
///
/// Panics if the type can't be written as MessagePack, which none of ours is.
pub fn encode_message<M: Serialize>(message: &M) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("message types are serializable")
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are not such a message.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Makes the response that carries a message.
pub fn message_response<M: Serialize>(message: &M) -> HttpResponse {
    HttpResponse::build(StatusCode::OK)
        .content_type(MESSAGE_CONTENT_TYPE)
        .body(encode_message(message))
}
