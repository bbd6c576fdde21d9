use super::*;

const FILE: &str = "[[listener]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\n[[listener]]\nname = \"b\"\n\
    address = \"127.0.0.1:2\"\n[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:3\"\n[[route]]\npool = \"p\"\n";

fn with(file: &str, variables: &[(&str, &str)]) -> Result<Installation, EnvironmentError> {
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
fn the_environment_goes_before_the_addresses_and_behind_the_name() {
    let variables = [
        ("NODE_LISTEN", "127.0.0.1:9"),
        ("NODE_DISCOVERY", "127.0.0.1:8"),
        ("NODE_NAME", "n1"),
    ];
    let config = with(FILE, &variables).expect("it fits");
    assert_eq!(config.listeners[0].address.port(), 9);
    assert_eq!(
        config.listeners[1].address.port(),
        2,
        "only the first is the platform's"
    );
    assert!(matches!(config.pools[0].membership, Membership::Discovery(a) if a.port() == 8));
    assert_eq!(config.instance.name.as_deref(), Some("n1"));
    let named = with(&format!("[instance]\nname = \"mine\"\n{FILE}"), &variables).expect("it fits");
    assert_eq!(named.instance.name.as_deref(), Some("mine"));
}

#[test]
fn a_malformed_variable_is_told_by_its_name() {
    for (name, value) in [
        ("NODE_LISTEN", "here"),
        ("NODE_DISCOVERY", ""),
        ("NODE_NAME", "a b"),
    ] {
        let why = with(FILE, &[(name, value)])
            .err()
            .expect("a fault")
            .to_string();
        assert!(why.starts_with(name), "{why}");
    }
}

#[test]
fn a_class_stands_for_as_many_as_its_requests_can_be_repeated_in_ways() {
    let file = format!(
        "{FILE}[[class]]\nname = \"k\"\neffect = \"keyed\"\nwindow = \"5s\"\n[[class]]\nname = \"o\"\neffect = \"once\"\n"
    );
    let config = Installation::parse(&file).unwrap_or_else(|faults| panic!("{faults:?}"));
    let (all, kinds) = classes(&config.classes);
    let effect = |kind: u8| all[usize::from(kind)].effect;
    assert_eq!(
        kinds[0].map(effect),
        [
            EffectClass::Idempotent,
            EffectClass::Keyed,
            EffectClass::NonIdempotent
        ]
    );
    assert_eq!(kinds[1].map(effect), [EffectClass::NonIdempotent; 3]);
    assert_eq!(
        kinds[2].map(effect),
        [
            EffectClass::Idempotent,
            EffectClass::NonIdempotent,
            EffectClass::NonIdempotent
        ]
    );
}
