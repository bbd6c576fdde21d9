//! Normal forms and patterns of hosts and paths.

use dewrun_routes::*;

#[test]
fn a_path_has_one_normal_form() {
    for (path, normal) in [
        ("/", "/"),
        ("/a/b", "/a/b"),
        ("/a/b/", "/a/b/"),
        ("//a///b", "/a/b"),
        ("/a/./b", "/a/b"),
        ("/a/b/..", "/a/"),
        ("/a/b/../c", "/a/c"),
        ("/a/%2e%2E/c", "/c"),
        ("/a/.", "/a/"),
        ("/%41%7e", "/A~"),
        ("/a%2fb", "/a%2Fb"),
        ("/a%5cb", "/a%5Cb"),
        ("/.well-known/x", "/.well-known/x"),
        ("/a/...", "/a/..."),
        ("/A", "/A"),
        ("/%e2%82%ac", "/%E2%82%AC"),
    ] {
        assert_eq!(normalize_path(path).as_deref(), Ok(normal), "{path}");
    }
}

#[test]
fn an_ambiguous_path_is_an_error() {
    use PathError::*;
    for (path, error) in [
        ("", NotAbsolute),
        ("a", NotAbsolute),
        ("*", NotAbsolute),
        ("/..", AboveRoot),
        ("/a/../../b", AboveRoot),
        ("/%2e%2e/", AboveRoot),
        ("/%", InvalidEscape),
        ("/%4", InvalidEscape),
        ("/%zz", InvalidEscape),
        ("/%00", InvalidByte),
        ("/%0a", InvalidByte),
        ("/%7f", InvalidByte),
        ("/a\\b", InvalidByte),
        ("/a b", InvalidByte),
        ("/\u{20ac}", InvalidByte),
        ("/a/..;x/b", DotSegmentParameters),
        ("/a/.;/b", DotSegmentParameters),
        ("/a/%2e%2e;/b", DotSegmentParameters),
    ] {
        assert_eq!(normalize_path(path), Err(error), "{path}");
    }
}

#[test]
fn a_normal_host_is_lower_case_without_port_and_trailing_dot() {
    for (host, normal) in [
        ("Shop.Example", Some("shop.example")),
        ("shop.example:8080", Some("shop.example")),
        ("shop.example:", Some("shop.example")),
        ("shop.example.", Some("shop.example")),
        ("127.0.0.1:80", Some("127.0.0.1")),
        ("[::1]:80", Some("[::1]")),
        ("[::1]", Some("[::1]")),
        ("", None),
        (".", None),
        (":80", None),
        ("a:b", None),
        ("a:1:2", None),
        ("a:123456", None),
        ("::1", None),
        ("[::1", None),
        ("[]", None),
        ("[::1]x", None),
        ("[::1]\u{e9}", None),
        ("a b", None),
        ("a/b", None),
        ("user@a", None),
        ("a,b", None),
    ] {
        assert_eq!(normalize_host(host).as_deref(), normal, "{host}");
    }
}

#[test]
fn patterns_are_parsed_or_rejected_with_the_reason() {
    assert_eq!(
        HostPattern::parse("*.Example"),
        Ok(HostPattern::Suffix("example".into()))
    );
    assert_eq!(HostPattern::parse("*"), Ok(HostPattern::Any));
    for host in ["", "*.", "a.*", "a:80", "*.[::1]", "a b"] {
        assert_eq!(HostPattern::parse(host), Err(PatternError::Host), "{host}");
    }
    let pattern = PathPattern::parse("/users/{id}/files/*").expect("a pattern");
    assert!(pattern.prefix && pattern.segments.len() == 3);
    assert_eq!(pattern.parameters().collect::<Vec<_>>(), ["id"]);
    assert_eq!(
        PathPattern::parse("/*").map(|p| (p.segments.len(), p.prefix)),
        Ok((0, true))
    );
    assert_eq!(
        PathPattern::parse("/").map(|p| (p.segments.len(), p.prefix)),
        Ok((1, false))
    );
    for (path, error) in [
        ("", PatternError::Path(PathError::NotAbsolute)),
        ("a", PatternError::Path(PathError::NotAbsolute)),
        ("/a//b", PatternError::NotNormalized("/a/b".into())),
        ("/%41", PatternError::NotNormalized("/A".into())),
        ("/a//*", PatternError::NotNormalized("/a/*".into())),
        ("/a*", PatternError::MisplacedWildcard),
        ("/*/a", PatternError::MisplacedWildcard),
        ("/a{b}", PatternError::Parameter),
        ("/{}", PatternError::Parameter),
        ("/{a b}", PatternError::Path(PathError::InvalidByte)),
        ("/{a-b}", PatternError::Parameter),
        ("/{a}/{a}", PatternError::DuplicateParameter("a".into())),
    ] {
        assert_eq!(PathPattern::parse(path), Err(error), "{path}");
    }
}
