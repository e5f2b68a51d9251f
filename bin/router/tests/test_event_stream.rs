//! Events of an engine's stream, however the bytes are cut.

use snipegate_router::event_stream::EngineEvent;
use snipegate_router::event_stream::EventError;
use snipegate_router::event_stream::EventReader;

#[test]
fn events_are_the_same_for_every_cut() {
    let text =
        b": comment\r\n\r\ndata: {\"a\":1}\n\ndata:{\"b\":\"\xc3\xa1\"}\r\n\r\ndata: [DONE]\n\n";
    let whole = EventReader::default().push(text).unwrap();
    assert_eq!(whole.len(), 3);
    assert_eq!(whole[2], EngineEvent::Done);
    for cut in 0..text.len() {
        let mut reader = EventReader::default();
        let mut events = reader.push(&text[..cut]).unwrap();
        events.extend(reader.push(&text[cut..]).unwrap());
        assert_eq!(events, whole, "cut at {cut}");
    }
}

#[test]
fn bad_events_end_the_stream() {
    let mut reader = EventReader::default();
    assert_eq!(reader.push(b"data: {oops\n"), Err(EventError::Malformed));
    let mut reader = EventReader::default();
    let long = vec![b'x'; (1 << 20) + 1];
    assert_eq!(reader.push(&long), Err(EventError::TooLarge));
}
