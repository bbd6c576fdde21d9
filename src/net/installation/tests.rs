use super::*;

const FILE: &str = "[[listener]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n[[listener]]\nname = \"b\"\n\
    address = \"127.0.0.1:2\"\n[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:3\"\n[[route]]\npool = \"p\"\n";

fn parse_with_environment(
    file: &str,
    variables: &[(&str, &str)],
) -> Result<Installation, EnvironmentError> {
    let mut config = Installation::parse(file).unwrap_or_else(|faults| panic!("{faults:?}"));
    let value = |name: &str| {
        variables
            .iter()
            .find(|v| v.0 == name)
            .map(|v| v.1.to_string())
    };
    apply_environment(&mut config, value).map(|()| config)
}

#[test]
fn the_environment_overrides_the_addresses_but_not_the_name() {
    let variables = [
        ("NODE_LISTEN", "127.0.0.1:9"),
        ("NODE_DISCOVERY", "127.0.0.1:8"),
        ("NODE_NAME", "n1"),
    ];
    let config = parse_with_environment(FILE, &variables).expect("valid variables");
    assert_eq!(config.listeners[0].address.port(), 9);
    assert_eq!(
        config.listeners[1].address.port(),
        2,
        "only the first is the platform's"
    );
    assert!(matches!(config.pools[0].membership, Membership::Discovery(a) if a.port() == 8));
    assert_eq!(config.instance.name.as_deref(), Some("n1"));
    let named = parse_with_environment(&format!("[instance]\nname = \"mine\"\n{FILE}"), &variables)
        .expect("valid variables");
    assert_eq!(named.instance.name.as_deref(), Some("mine"));
}

#[test]
fn an_error_names_the_malformed_variable() {
    for (name, value) in [
        ("NODE_LISTEN", "here"),
        ("NODE_DISCOVERY", ""),
        ("NODE_NAME", "a b"),
    ] {
        let error = parse_with_environment(FILE, &[(name, value)])
            .err()
            .expect("a fault")
            .to_string();
        assert!(error.starts_with(name), "{error}");
    }
}

#[test]
fn a_class_has_one_balancer_class_for_each_retry_safety() {
    let file = format!(
        "{FILE}[[class]]\nname = \"k\"\neffect = \"keyed\"\nwindow = \"5s\"\n[[class]]\nname = \"o\"\neffect = \"once\"\n"
    );
    let config = Installation::parse(&file).unwrap_or_else(|faults| panic!("{faults:?}"));
    let (all, balancer_classes) = classes(&config.classes);
    let effect = |class: u8| all[usize::from(class)].effect;
    assert_eq!(
        balancer_classes[0].map(effect),
        [
            EffectClass::Idempotent,
            EffectClass::Keyed,
            EffectClass::NonIdempotent
        ]
    );
    assert_eq!(
        balancer_classes[1].map(effect),
        [EffectClass::NonIdempotent; 3]
    );
    assert_eq!(
        balancer_classes[2].map(effect),
        [
            EffectClass::Idempotent,
            EffectClass::NonIdempotent,
            EffectClass::NonIdempotent
        ]
    );
}
