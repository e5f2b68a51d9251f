//! Tests of body framing and of decoding chunked bodies split at any byte.

use bytes::BytesMut;
use snipegate_http1::BodyDecoder;
use snipegate_http1::BodyFraming;
use snipegate_http1::DecodeStep;
use snipegate_http1::FramingError;
use snipegate_http1::parse_request_head;
use snipegate_http1::parse_response_head;
use snipegate_http1::request_framing;
use snipegate_http1::response_framing;

fn parse_request_framing(fields: &str) -> Result<BodyFraming, FramingError> {
    let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    let (head, _) = parse_request_head(text.as_bytes())
        .expect("well-formed")
        .expect("complete");
    request_framing(&head)
}

#[test]
fn ambiguous_body_length_is_rejected() {
    assert_eq!(parse_request_framing(""), Ok(BodyFraming::Empty));
    assert_eq!(
        parse_request_framing("Content-Length: 12\r\n"),
        Ok(BodyFraming::Length(12))
    );
    assert_eq!(
        parse_request_framing("transfer-encoding: Chunked\r\n"),
        Ok(BodyFraming::Chunked)
    );
    for fields in [
        "Content-Length: 1\r\nContent-Length: 1\r\n",
        "Content-Length: 1,1\r\n",
        "Content-Length: -1\r\n",
        "Content-Length:\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
    ] {
        assert!(parse_request_framing(fields).is_err(), "{fields}");
    }
}

#[test]
fn response_without_length_ends_with_connection() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n";
    let (head, length) = parse_response_head(text)
        .expect("well-formed")
        .expect("complete");
    assert_eq!(length, text.len());
    assert_eq!(response_framing(&head, "GET"), Ok(BodyFraming::UntilClose));
    assert_eq!(response_framing(&head, "HEAD"), Ok(BodyFraming::Empty));
}

/// Decodes a chunked body that arrives in inputs of `input_size` bytes.
///
/// Returns `None` if the body is incomplete.
fn decode_chunked(text: &str, input_size: usize) -> Result<Option<String>, FramingError> {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for part in text.as_bytes().chunks(input_size) {
        buffer.extend_from_slice(part);
        loop {
            match decoder.decode(&mut buffer)? {
                DecodeStep::Data(data) => body.extend_from_slice(&data),
                DecodeStep::NeedMore => break,
                DecodeStep::End => return Ok(String::from_utf8(body).ok()),
            }
        }
    }
    Ok(None)
}

#[test]
fn chunked_body_is_decoded_for_any_input_split() {
    let text = "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
    for input_size in 1..=text.len() {
        let body = decode_chunked(text, input_size).expect("well-formed");
        assert_eq!(
            body.as_deref(),
            Some("abc0123456789"),
            "input of {input_size} bytes"
        );
    }
    assert_eq!(decode_chunked("3\r\nab", 100), Ok(None));
}

#[test]
fn malformed_chunks_are_rejected() {
    for text in [
        "x\r\n",
        "\r\n",
        "3\nabc\r\n",
        "3\r\nabcd\r\n",
        "-1\r\n",
        "0x3\r\nabc\r\n",
    ] {
        assert_eq!(
            decode_chunked(text, 1),
            Err(FramingError::InvalidChunk),
            "{text:?}"
        );
    }
}
