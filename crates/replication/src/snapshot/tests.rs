use super::*;
use crate::kinds::{orders, place_order, DesiredState};
use crate::store::Bounds;
use crate::Origin;

const OF: (&str, &str) = ("prairie", "i0");
const DAY_MS: u64 = 24 * 3_600 * 1_000;

fn copy() -> Store {
    let mut store = Store::new(Origin(7), Bounds::USUAL);
    place_order(&mut store, 5, "shop/a", DesiredState::Drain, "ann", 99);
    place_order(&mut store, 6, "shop/b", DesiredState::Drain, "ann", 99);
    place_order(&mut store, 7, "shop/a", DesiredState::Return, "bob", 100);
    store
}

fn read_new(bytes: &[u8], of: (&str, &str), now_ms: u64) -> Result<Store, Unfit> {
    let mut store = Store::new(Origin(8), Bounds::USUAL);
    read(&mut store, 0, bytes, of, now_ms).map(|_| store)
}

#[test]
fn a_copy_comes_back_as_it_was_and_older() {
    let bytes = write(&copy(), 10, OF, 1_000);
    let back = read_new(&bytes, OF, 3_000).expect("it is sound");
    assert_eq!(orders(&back), orders(&copy()));
    let born = back
        .of_kind(crate::kinds::ORDER)
        .map(|(_, _, entry)| entry.born)
        .max();
    assert_eq!(
        born,
        Some(-2_000_003),
        "two seconds on the disk, and 3 us before"
    );
}

#[test]
fn a_snapshot_cut_at_every_byte() {
    let bytes = write(&copy(), 10, OF, 1_000);
    for end in 0..bytes.len() {
        assert!(
            read_new(&bytes[..end], OF, 1_000).is_err(),
            "cut at {end} of {}",
            bytes.len()
        );
    }
    for at in 0..bytes.len() {
        let mut other = bytes.clone();
        other[at] ^= 0x10;
        assert!(read_new(&other, OF, 1_000).is_err(), "changed at {at}");
    }
    let longer = [&bytes[..], b"x"].concat();
    assert_eq!(read_new(&longer, OF, 1_000).err(), Some(Unfit::Torn));
}

#[test]
fn what_is_not_ones_own_or_not_of_today_is_told_apart() {
    let bytes = write(&copy(), 10, OF, DAY_MS);
    let why = |of, now_ms| {
        read_new(&bytes, of, now_ms)
            .err()
            .map(|why| why.to_string())
    };
    assert_eq!(why(OF, DAY_MS), None);
    assert_eq!(
        why(OF, DAY_MS - 60_000),
        None,
        "a clock that was set back by a minute"
    );
    assert_eq!(
        why(("prairie", "i1"), DAY_MS).as_deref(),
        Some("it is of i0 of fleet prairie")
    );
    assert_eq!(
        why(("plains", "i0"), DAY_MS).as_deref(),
        Some("it is of i0 of fleet prairie")
    );
    assert_eq!(
        why(OF, DAY_MS - 3_600_000).as_deref(),
        Some("it is 3600 s ahead of the clock")
    );
    assert_eq!(
        why(OF, 2 * DAY_MS).as_deref(),
        Some("it is 24 h old, too old to be merged")
    );
    assert_eq!(read_new(&[], OF, 0).err(), Some(Unfit::Empty));
    let mut later = bytes.clone();
    later[MAGIC.len()] = 2;
    assert_eq!(read_new(&later, OF, DAY_MS).err(), Some(Unfit::Version(2)));
}
