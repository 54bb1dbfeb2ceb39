//! Entry process.

use std::{io, net, sync::Arc};

use callers::routes;
use decisions::ids;
use peers::message;
use snafu::{ResultExt, Snafu};
use tokio::runtime;

use crate::{dispatcher, sessions, settings};

/// Reason why an entry cannot start or stop.
#[derive(Debug, Snafu)]
pub enum EntryError {
    #[snafu(display("cannot listen on {address}; check that no other process uses it"))]
    Listen {
        address: net::SocketAddr,
        source: io::Error,
    },
    #[snafu(display("the HTTP server ended with an error"))]
    Serve { source: io::Error },
}

/// Running entry process.
pub struct EntryServer {
    callers: routes::CallerServer,
    channels: Vec<sessions::ChannelTask>,
}

impl EntryServer {
    /// Connects to the agents and serves callers. Must run inside a tokio runtime.
    ///
    /// # Errors
    /// [`EntryError::Listen`] when the address cannot be bound.
    pub fn start(settings: settings::EntrySettings) -> Result<Self, EntryError> {
        let incarnation = ids::Incarnation(rand::random());
        let hello = message::Hello {
            protocol: message::PROTOCOL_VERSION,
            entry: incarnation,
            data_centre: settings.data_centre.clone(),
        };
        let agents = settings.agents.iter();
        let channels: Vec<_> = agents
            .map(|agent| sessions::AgentChannel::new(*agent, hello.clone()))
            .map(sessions::ChannelTask::start)
            .collect();
        let address = settings.listen;
        let threads = settings.threads;
        let dispatcher = dispatcher::RequestDispatcher::new(
            settings,
            incarnation,
            channels
                .iter()
                .map(|task| Arc::clone(&task.channel))
                .collect(),
            runtime::Handle::current(),
        );
        let callers = routes::CallerServer::start(address, threads, Arc::new(dispatcher))
            .context(ListenSnafu { address })?;
        Ok(Self { callers, channels })
    }

    /// Address of the HTTP interface.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.callers.address()
    }

    /// Stops the HTTP interface and the channels.
    ///
    /// # Errors
    /// [`EntryError::Serve`] when the HTTP server ended with an error.
    pub fn close(self) -> Result<(), EntryError> {
        let outcome = self.callers.close().context(ServeSnafu);
        for channel in self.channels {
            channel.close();
        }
        outcome
    }
}
