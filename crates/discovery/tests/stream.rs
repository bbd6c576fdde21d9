//! The items of a stream do not depend on the layout of its objects or on its split into reads.

use dewrun_discovery::{ObjectStream, StreamError, StreamItem};
use proptest::prelude::*;

/// Returns the items of a stream that is received in `parts`, and how it ended.
fn read(max_object_bytes: usize, parts: &[&[u8]]) -> (Vec<StreamItem>, Result<(), StreamError>) {
    let (mut objects, mut items) = (ObjectStream::new(max_object_bytes), Vec::new());
    let pushed = parts
        .iter()
        .try_for_each(|part| objects.push(part, |item| items.push(item)));
    let ended = pushed.and_then(|()| objects.finish());
    (items, ended)
}

#[test]
fn an_indented_object_is_one_item() {
    let text = "{\n  \"index\": 4,\n  \"endpoints\": [\n    {\"name\": \"a}\\\"{\"}\n  ]\n}\n\n{\"index\":5}";
    let (items, ended) = read(1_000, &[text.as_bytes()]);
    let (first, last) = text.split_once("\n\n").expect("two objects");
    let expected = [
        StreamItem::Object(first.into()),
        StreamItem::EmptyLine,
        StreamItem::EmptyLine,
        StreamItem::Object(last.into()),
    ];
    assert_eq!((&items[..], ended), (&expected[..], Ok(())));
}

#[test]
fn each_kind_of_malformed_stream_has_its_own_error() {
    assert_eq!(read(100, &[b"nonsense"]).1, Err(StreamError::NotAnObject));
    assert_eq!(read(100, &[b"{}", b"]"]).1, Err(StreamError::NotAnObject));
    assert_eq!(
        read(100, &[b"{\"index\":8,\"snapshot\":fal"]).1,
        Err(StreamError::Truncated)
    );
    assert_eq!(
        read(8, &[b"{\"a\":[1,2,3,4]}"]).1,
        Err(StreamError::TooLarge)
    );
    assert_eq!(
        read(8, &[b"{\"a\":12}"]).1,
        Ok(()),
        "an object of exactly the maximum size is accepted"
    );
}

proptest! {
    #[test]
    fn items_do_not_depend_on_the_split_into_reads(
        strings in proptest::collection::vec("[\\PC\"\\\\{}\\[\\] ]{0,12}", 1..6),
        lines in 0usize..4,
        cut in 1usize..9,
    ) {
        let quoted = |text: &String| format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
        let object = format!("{{\n \"a\": [{}]\n}}", strings.iter().map(quoted).collect::<Vec<_>>().join(",\n"));
        let text = format!("{object}{}{object}\n", "\n".repeat(lines));
        let parts: Vec<&[u8]> = text.as_bytes().chunks(cut).collect();
        let (items, ended) = read(10_000, &parts);
        let mut expected = vec![StreamItem::Object(object.clone().into_bytes())];
        expected.extend(vec![StreamItem::EmptyLine; lines]);
        expected.extend([StreamItem::Object(object.into_bytes()), StreamItem::EmptyLine]);
        prop_assert_eq!((items, ended), (expected, Ok(())));
    }
}
