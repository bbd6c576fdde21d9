use super::*;

#[test]
fn each_path_accepts_exactly_one_method() {
    for Route {
        method,
        path,
        request,
    } in ROUTES
    {
        assert_eq!(AdminRequest::route(method, path), Ok(request));
        assert_eq!(
            AdminRequest::route("POST", path),
            Err(AdminError::MethodNotAllowed { allowed: method })
        );
    }
    for path in [
        "",
        "/",
        "/healthcheck/",
        "/healthcheck/fail/",
        "//stats",
        "/Stats",
    ] {
        assert_eq!(
            AdminRequest::route("GET", path),
            Err(AdminError::NotFound),
            "{path}"
        );
    }
}
