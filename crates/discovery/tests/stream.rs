//! However a stream of lists is laid out and cut into reads, the same comes of it.

use dewrun_discovery::{Garbled, ObjectStream, Piece};
use proptest::prelude::*;

fn read(most: usize, parts: &[&[u8]]) -> (Vec<Piece>, Result<(), Garbled>) {
    let (mut values, mut pieces) = (ObjectStream::new(most), Vec::new());
    let fed = parts
        .iter()
        .try_for_each(|part| values.feed(part, |piece| pieces.push(piece)));
    let ended = fed.and_then(|()| values.end());
    (pieces, ended)
}

#[test]
fn an_indented_object_is_one_piece() {
    let text = "{\n  \"index\": 4,\n  \"endpoints\": [\n    {\"name\": \"a}\\\"{\"}\n  ]\n}\n\n{\"index\":5}";
    let (pieces, ended) = read(1_000, &[text.as_bytes()]);
    let (first, last) = text.split_once("\n\n").expect("two objects");
    let wanted = [
        Piece::Object(first.into()),
        Piece::EmptyLine,
        Piece::EmptyLine,
        Piece::Object(last.into()),
    ];
    assert_eq!((&pieces[..], ended), (&wanted[..], Ok(())));
}

#[test]
fn what_can_not_be_read_is_told_apart() {
    assert_eq!(read(100, &[b"nonsense"]).1, Err(Garbled::NoObject));
    assert_eq!(read(100, &[b"{}", b"]"]).1, Err(Garbled::NoObject));
    assert_eq!(
        read(100, &[b"{\"index\":8,\"snapshot\":fal"]).1,
        Err(Garbled::Cut)
    );
    assert_eq!(read(8, &[b"{\"a\":[1,2,3,4]}"]).1, Err(Garbled::TooLarge));
    assert_eq!(
        read(8, &[b"{\"a\":12}"]).1,
        Ok(()),
        "as large as the most is not too large"
    );
}

proptest! {
    #[test]
    fn it_is_the_same_however_it_is_cut(
        strings in proptest::collection::vec("[\\PC\"\\\\{}\\[\\] ]{0,12}", 1..6),
        lines in 0usize..4,
        cut in 1usize..9,
    ) {
        let quoted = |text: &String| format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""));
        let object = format!("{{\n \"a\": [{}]\n}}", strings.iter().map(quoted).collect::<Vec<_>>().join(",\n"));
        let text = format!("{object}{}{object}\n", "\n".repeat(lines));
        let parts: Vec<&[u8]> = text.as_bytes().chunks(cut).collect();
        let (pieces, ended) = read(10_000, &parts);
        let mut wanted = vec![Piece::Object(object.clone().into_bytes())];
        wanted.extend(vec![Piece::EmptyLine; lines]);
        wanted.extend([Piece::Object(object.into_bytes()), Piece::EmptyLine]);
        prop_assert_eq!((pieces, ended), (wanted, Ok(())));
    }
}
