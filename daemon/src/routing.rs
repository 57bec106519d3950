//! Which instance owns which leaf, from a fixed list of instances.

use std::net::SocketAddr;
use std::sync::Arc;

use camphorhold::state::file::File;
use camphorhold::state::id::LeafId;
use miette::IntoDiagnostic;

use crate::settings::Settings;

pub struct Routing {
    pub file: Arc<File>,
    pub peers: Vec<SocketAddr>,
    pub own: SocketAddr,
}

impl Routing {
    pub fn from_environment(settings: &Settings) -> miette::Result<Self> {
        let path = std::env::var("CAMPHORHOLD_STATIC_FILE").into_diagnostic()?;
        let peers = std::env::var("CAMPHORHOLD_STATIC_PEERS").into_diagnostic()?;
        let text = std::fs::read_to_string(path).into_diagnostic()?;
        let file = File::parse(&text).map_err(|problems| miette::miette!("{problems:?}"))?;
        let peers: Result<Vec<SocketAddr>, _> = peers.split(',').map(str::parse).collect();
        Ok(Self {
            file: Arc::new(file),
            peers: peers.into_diagnostic()?,
            own: settings.peer_address,
        })
    }

    pub fn owner(&self, leaf: LeafId) -> SocketAddr {
        let index = usize::from(leaf.0.port()) % self.peers.len();
        self.peers[index]
    }
}
