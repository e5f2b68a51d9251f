//! Tests of parsing server-sent events that arrive in arbitrary pieces.

use snipegate_router::event_stream::EngineEvent;
use snipegate_router::event_stream::EventError;
use snipegate_router::event_stream::EventReader;

#[test]
fn events_do_not_depend_on_where_the_bytes_are_split() {
    let text =
        b": comment\r\n\r\ndata: {\"a\":1}\n\ndata:{\"b\":\"\xc3\xa1\"}\r\n\r\ndata: [DONE]\n\n";
    let whole = EventReader::default().push(text).unwrap();
    assert_eq!(whole.len(), 3);
    assert_eq!(whole[2], EngineEvent::Done);
    for split in 0..text.len() {
        let mut reader = EventReader::default();
        let mut events = reader.push(&text[..split]).unwrap();
        events.extend(reader.push(&text[split..]).unwrap());
        assert_eq!(events, whole, "split at {split}");
    }
}

#[test]
fn malformed_or_oversized_event_is_an_error() {
    let mut reader = EventReader::default();
    assert_eq!(reader.push(b"data: {oops\n"), Err(EventError::Malformed));
    let mut reader = EventReader::default();
    let long = vec![b'x'; (1 << 20) + 1];
    assert_eq!(reader.push(&long), Err(EventError::TooLarge));
}
