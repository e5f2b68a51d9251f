//! Encoding of messages between snipegate processes, as MessagePack with named
//! fields.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Content type of an encoded message.
pub const MESSAGE_CONTENT_TYPE: &str = "application/msgpack";

/// Encodes a message.
///
/// # Panics
///
/// Panics if the message cannot be serialized as MessagePack, which does not happen
/// for the message types of snipegate.
pub fn encode_message<M: Serialize>(message: &M) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("message types should be serializable")
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if `bytes` is not a valid message of type `M`.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Builds an HTTP response with `message` as its body.
pub fn message_response<M: Serialize>(message: &M) -> HttpResponse {
    HttpResponse::build(StatusCode::OK)
        .content_type(MESSAGE_CONTENT_TYPE)
        .body(encode_message(message))
}
