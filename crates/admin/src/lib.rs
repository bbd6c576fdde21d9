//! What an operator or a platform asks of a proxy that runs, free of I/O and of the clock: the
//! calls at its second address ([`Call`]), the figures it reports ([`Figures`]), and the order in
//! which it ends its callers' connections when it is to leave service ([`Plan`]).

mod call;
mod figures;
mod leave;

pub use call::{Call, Denied};
pub use figures::{Counter, Disposition, Figures, Members, Tally};
pub use leave::{Due, Plan};
