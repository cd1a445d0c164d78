//! gRPC's health checking, if the program is built with it: a thread of its library serves, and the event loop publishes.

#[cfg(feature = "grpc")]
pub use with::Servers;
#[cfg(not(feature = "grpc"))]
pub use without::Servers;

#[cfg(feature = "grpc")]
mod with {
    use crate::health::ListenerSettings;
    use grpc_health::{Server, Settings, Snapshot};
    use std::io;
    use std::net::{SocketAddr, TcpListener};
    use wire_health::Status;

    /// The gRPC servers.
    #[derive(Debug, Default)]
    pub struct Servers(Vec<Server>);

    impl Servers {
        /// Starts a server.
        pub fn start(&mut self, settings: &ListenerSettings) -> io::Result<()> {
            let listener = TcpListener::bind(settings.address)?;
            let limits = Settings {
                connections: settings.connections,
                timeout: settings.patience,
            };
            let server = Server::start(listener, limits)?;
            log::info!(
                "health {}: answering gRPC checks on {}",
                settings.name,
                server.address()
            );
            self.0.push(server);
            Ok(())
        }

        /// Addresses of the servers.
        pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
            self.0.iter().map(Server::address)
        }

        /// Publishes the whole proxy under the empty name, and a service for each group.
        pub fn publish(&mut self, status: &Status) {
            if self.0.is_empty() {
                return;
            }
            let serves = status.state.serves();
            let mut snapshot =
                Snapshot::from([(String::new(), serves), ("leverproxy".into(), serves)]);
            let groups = status
                .groups
                .iter()
                .map(|g| (format!("group/{}", g.group), serves && g.serves));
            snapshot.extend(groups);
            for server in &self.0 {
                server.publish(snapshot.clone());
            }
        }
    }
}

#[cfg(not(feature = "grpc"))]
mod without {
    use crate::health::ListenerSettings;
    use std::io;
    use std::net::SocketAddr;
    use wire_health::Status;

    /// The gRPC servers.
    #[derive(Debug, Default)]
    pub struct Servers(());

    impl Servers {
        /// Starts a server.
        pub fn start(&mut self, settings: &ListenerSettings) -> io::Result<()> {
            let text = format!(
                "health {}: this program is built without the feature grpc",
                settings.name
            );
            Err(io::Error::new(io::ErrorKind::Unsupported, text))
        }

        /// Addresses of the servers.
        pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
            std::iter::empty()
        }

        /// There is nobody to publish to.
        pub fn publish(&mut self, _: &Status) {}
    }
}
