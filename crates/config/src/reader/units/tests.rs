use super::*;

#[test]
fn durations_and_sizes_need_a_valid_unit() {
    for (text, ms) in [
        ("250ms", 250),
        ("1.5s", 1_500),
        ("2 m", 120_000),
        ("1h", 3_600_000),
        ("0s", 0),
    ] {
        assert_eq!(
            parse_duration(text),
            Some(Duration::from_millis(ms)),
            "{text}"
        );
    }
    for text in [
        "",
        "5",
        "ms",
        "-1s",
        "1d",
        "1.2.3s",
        "nan s",
        "1e3s",
        "99999999999999999999999h",
    ] {
        assert_eq!(parse_duration(text), None, "{text}");
    }
    for (text, size) in [
        ("1B", 1),
        ("64KiB", 65_536),
        ("1.5 MiB", 1_572_864),
        ("1GiB", 1 << 30),
    ] {
        assert_eq!(parse_bytes(text), Some(size), "{text}");
    }
    for text in ["", "64", "64KB", "KiB", "-1B"] {
        assert_eq!(parse_bytes(text), None, "{text}");
    }
}
