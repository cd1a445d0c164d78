//! gRPC's health checking, if the program is built with it: its library's thread serves, and the loop publishes.

#[cfg(feature = "grpc")]
pub use with::Fronts;
#[cfg(not(feature = "grpc"))]
pub use without::Fronts;

#[cfg(feature = "grpc")]
mod with {
    use crate::health::Listen;
    use grpc_health::{Server, Settings, Snapshot};
    use std::io;
    use std::net::{SocketAddr, TcpListener};
    use wire_health::Status;

    #[derive(Debug, Default)]
    pub struct Fronts(Vec<Server>);

    impl Fronts {
        pub fn start(&mut self, set: &Listen) -> io::Result<()> {
            let listener = TcpListener::bind(set.address)?;
            let settings = Settings {
                connections: set.connections,
                patience: set.patience,
            };
            let server = Server::start(listener, settings)?;
            log::info!(
                "health {}: answering gRPC checks on {}",
                set.name,
                server.address()
            );
            self.0.push(server);
            Ok(())
        }

        pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
            self.0.iter().map(Server::address)
        }

        /// The whole proxy under the empty name, and a service for each group.
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
    use crate::health::Listen;
    use std::io;
    use std::net::SocketAddr;
    use wire_health::Status;

    #[derive(Debug, Default)]
    pub struct Fronts(());

    impl Fronts {
        pub fn start(&mut self, set: &Listen) -> io::Result<()> {
            let text = format!(
                "health {}: this program is built without the feature grpc",
                set.name
            );
            Err(io::Error::new(io::ErrorKind::Unsupported, text))
        }

        pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
            std::iter::empty()
        }

        pub fn publish(&mut self, _: &Status) {}
    }
}
