//! Relay: the first whole answer of a record server goes to the client as it came; all else is the module's
//! to answer. An answer is passed on only once it is there in full, so that none is ever half sent.

use super::admit::{Ledger, Open};
use crate::request::{Answer, Verdict};
use mountshift::RequestId;

/// Takes a served answer out of `verdict`, if the request is still owed one.
pub fn served(id: RequestId, verdict: &mut Verdict, ledger: &mut Ledger) -> Option<(Open, Answer)> {
    let Verdict::Served(bytes) = verdict else { return None };
    let open = ledger.close(id)?;
    Some((open, Answer::Served(std::mem::take(bytes))))
}
