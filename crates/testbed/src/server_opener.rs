//! Opens a listener for each record server, and the links from the proxies to it.

use crate::discovery::Addresses;
use crate::history::History;
use crate::link::Link;
use crate::process::Fault;
use crate::servers::{self, AnswerSettings};
use server_model::site::ServerIndex;
use std::sync::Arc;
use tokio::sync::watch;

/// Links to record servers. Key: proxy and server.
pub type Links = rustc_hash::FxHashMap<(usize, ServerIndex), Link>;

/// Opens record servers, at the start and when they join later.
pub(crate) struct ServerOpener {
    pub(crate) history: History,
    pub(crate) links: Arc<watch::Sender<Links>>,
    pub(crate) addresses: Arc<watch::Sender<Addresses>>,
    pub(crate) number: usize,
    /// How the servers answer.
    pub(crate) answers: AnswerSettings,
}

impl ServerOpener {
    /// Opens a server's listener, and a link to it from each proxy.
    pub(crate) async fn open(&self, server: ServerIndex) -> Result<(), Fault> {
        let address = servers::open(self.history.clone(), server, self.answers.clone()).await?;
        let on = tokio::runtime::Handle::current();
        for proxy in 0..self.number {
            let link = Link::open(&on, Some(address), u64::from(server) << 20 | proxy as u64)?;
            self.addresses
                .send_modify(|a| _ = a.insert((proxy, server), link.address));
            self.links
                .send_modify(|l| _ = l.insert((proxy, server), link));
        }
        Ok(())
    }
}
