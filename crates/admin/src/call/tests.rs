use super::*;

#[test]
fn a_call_is_one_path_by_one_method() {
    for (method, path, call) in Call::ALL {
        assert_eq!(Call::read(method, path), Ok(call));
        assert_eq!(Call::read("POST", path), Err(Denied::Only(method)));
    }
    for path in [
        "",
        "/",
        "/healthcheck/",
        "/healthcheck/fail/",
        "//stats",
        "/Stats",
    ] {
        assert_eq!(Call::read("GET", path), Err(Denied::NoSuchPath), "{path}");
    }
}
