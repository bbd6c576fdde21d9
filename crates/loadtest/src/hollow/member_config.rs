//! The configuration file of a member, which real and hollow processes have in common.

use std::net::SocketAddr;

/// Rate and burst of the fleet's one budget. They are far above the load, as the budget exists only
/// to make processes request and grant leases.
const BUDGET_RATE: u32 = 20_000;
const BUDGET_BURST: u32 = 20_000;

/// The settings that differ between members.
pub struct MemberConfig<'a> {
    /// The name of the member.
    pub name: &'a str,
    /// The site of the member.
    pub site: &'a str,
    /// The address at which other members reach it.
    pub fleet_address: SocketAddr,
    /// The addresses of the members that vote.
    pub voters: &'a [SocketAddr],
    /// The address of its listener.
    pub listen_address: SocketAddr,
    /// The one endpoint of its pool.
    pub backend: SocketAddr,
}

/// Returns the text of the configuration file (TOML).
pub fn to_toml(member: &MemberConfig) -> String {
    let MemberConfig {
        name,
        site,
        fleet_address,
        voters,
        listen_address,
        backend,
    } = member;
    let voters: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
    let voters = voters.join(", ");
    format!(
        "[instance]\nname = \"{name}\"\nsite = \"{site}\"\n\
         [fleet]\nname = \"hollow\"\naddress = \"{fleet_address}\"\nmembers = [{voters}]\n\
         [[listener]]\nname = \"main\"\naddress = \"{listen_address}\"\n\
         [[pool]]\nname = \"main\"\nwarm_up = \"0s\"\nmembers = [\"{backend}\"]\n\
         [[budget]]\nname = \"all\"\nrate = {BUDGET_RATE}.0\nburst = {BUDGET_BURST}.0\n\
         [[route]]\npool = \"main\"\n"
    )
}
