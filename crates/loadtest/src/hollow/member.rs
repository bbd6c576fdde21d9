//! The operator's file of a member of the fleet: the same for hollow and for real ones.

use std::net::SocketAddr;

/// The one budget of the fleet, far above the load: what counts is that leases of it are asked for
/// and given.
const RATE: u32 = 20_000;
const BURST: u32 = 20_000;

/// What differs from member to member.
pub struct MemberFile<'a> {
    /// Its name.
    pub name: &'a str,
    /// The site that it stands in.
    pub site: &'a str,
    /// Where the others reach it.
    pub fleet: SocketAddr,
    /// The members of the file, which vote.
    pub voters: &'a [SocketAddr],
    /// Where it listens.
    pub front: SocketAddr,
    /// Its one upstream.
    pub backend: SocketAddr,
}

/// The text.
pub fn file(member: &MemberFile) -> String {
    let MemberFile {
        name,
        site,
        fleet,
        voters,
        front,
        backend,
    } = member;
    let voters: Vec<String> = voters.iter().map(|voter| format!("\"{voter}\"")).collect();
    let voters = voters.join(", ");
    format!(
        "[instance]\nname = \"{name}\"\nsite = \"{site}\"\n\
         [fleet]\nname = \"hollow\"\naddress = \"{fleet}\"\nmembers = [{voters}]\n\
         [[listener]]\nname = \"main\"\naddress = \"{front}\"\n\
         [[pool]]\nname = \"main\"\nwarm_up = \"0s\"\nmembers = [\"{backend}\"]\n\
         [[budget]]\nname = \"all\"\nrate = {RATE}.0\nburst = {BURST}.0\n\
         [[route]]\npool = \"main\"\n"
    )
}
