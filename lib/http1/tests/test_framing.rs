//! Heads, framing and bodies, whole and in pieces.

use bytes::BytesMut;
use snipegate_http1::BodyDecoder;
use snipegate_http1::BodyFraming;
use snipegate_http1::BodyStep;
use snipegate_http1::FramingError;
use snipegate_http1::answer_framing;
use snipegate_http1::parse_answer;
use snipegate_http1::parse_request;
use snipegate_http1::request_framing;

fn framing_of(fields: &str) -> Result<BodyFraming, FramingError> {
    let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    let (head, _) = parse_request(text.as_bytes())
        .expect("well-formed")
        .expect("complete");
    request_framing(&head)
}

#[test]
fn length_must_be_told_in_one_way() {
    assert_eq!(framing_of(""), Ok(BodyFraming::Empty));
    assert_eq!(
        framing_of("Content-Length: 12\r\n"),
        Ok(BodyFraming::Length(12))
    );
    assert_eq!(
        framing_of("transfer-encoding: Chunked\r\n"),
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
        assert!(framing_of(fields).is_err(), "{fields}");
    }
}

#[test]
fn answer_without_length_ends_with_the_connection() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n";
    let (head, length) = parse_answer(text).expect("well-formed").expect("complete");
    assert_eq!(length, text.len());
    assert_eq!(answer_framing(&head, "GET"), Ok(BodyFraming::UntilClose));
    assert_eq!(answer_framing(&head, "HEAD"), Ok(BodyFraming::Empty));
}

fn decode(text: &str, size: usize) -> Result<Option<String>, FramingError> {
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    for part in text.as_bytes().chunks(size) {
        buffer.extend_from_slice(part);
        loop {
            match decoder.decode(&mut buffer)? {
                BodyStep::Data(data) => body.extend_from_slice(&data),
                BodyStep::NeedMore => break,
                BodyStep::End => return Ok(String::from_utf8(body).ok()),
            }
        }
    }
    Ok(None)
}

#[test]
fn chunks_are_put_together_however_they_come() {
    let text = "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n";
    for size in 1..=text.len() {
        let body = decode(text, size).expect("well-formed");
        assert_eq!(body.as_deref(), Some("abc0123456789"), "by {size}");
    }
    assert_eq!(decode("3\r\nab", 100), Ok(None));
}

#[test]
fn malformed_chunks_are_errors() {
    for text in [
        "x\r\n",
        "\r\n",
        "3\nabc\r\n",
        "3\r\nabcd\r\n",
        "-1\r\n",
        "0x3\r\nabc\r\n",
    ] {
        assert_eq!(decode(text, 1), Err(FramingError::BadChunk), "{text:?}");
    }
}
