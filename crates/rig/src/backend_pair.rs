//! A node and the backend server beside it.

use std::{net::SocketAddr, path::PathBuf, process::Command};

use crate::{
    ChildProcess, DeploymentLayout, FreePorts, NodeStatus, ProcessSignal, ProgramPaths, RigError,
    pair_place::PairPlace,
};

/// Addresses of one instance's two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PairAddresses {
    /// The node's, for callers.
    pub callers: SocketAddr,
    /// The node's, for operators and its backend server.
    pub admin: SocketAddr,
    /// The node's, for other nodes' control messages.
    pub control: SocketAddr,
    /// The node's, for requests from other nodes.
    pub data: SocketAddr,
    /// The backend server's.
    pub backend: SocketAddr,
}

impl PairAddresses {
    /// Takes five free ports.
    ///
    /// # Errors
    ///
    /// Returns an error if there are no more.
    pub fn take(ports: &mut FreePorts) -> Result<Self, RigError> {
        Ok(Self {
            callers: ports.take()?,
            admin: ports.take()?,
            control: ports.take()?,
            data: ports.take()?,
            backend: ports.take()?,
        })
    }
}

/// One of the two processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PairPart {
    /// The node.
    Node,
    /// The stand-in backend server.
    Backend,
}

/// One instance of a fleet.
///
/// Both processes keep their addresses when they are started again.
#[derive(Debug)]
pub struct BackendPair {
    /// Name of the instance.
    pub instance: String,
    /// Service that its backend server gives.
    pub service: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its addresses.
    pub addresses: PairAddresses,
    node_arguments: Vec<String>,
    backend_arguments: Vec<String>,
    programs: ProgramPaths,
    work_dir: PathBuf,
    node: Option<ChildProcess>,
    backend: Option<ChildProcess>,
}

impl BackendPair {
    /// Describes an instance; nothing is started yet.
    pub(crate) fn new(
        layout: &DeploymentLayout,
        (service, instance, data_centre): (&str, String, &str),
        addresses: PairAddresses,
        place: &PairPlace<'_>,
    ) -> Self {
        let (programs, work_dir) = (place.programs, place.work_dir);
        let node_flags = [
            ("--instance", instance.clone()),
            ("--data-centre", data_centre.to_owned()),
            ("--region", layout.region.clone()),
            ("--listen", addresses.callers.to_string()),
            ("--admin", addresses.admin.to_string()),
            ("--control", addresses.control.to_string()),
            ("--data", addresses.data.to_string()),
            ("--platform", format!("http://{}", place.platform)),
            ("--data-centres", layout.data_centres.join(",")),
            ("--fleet-size", layout.instances().len().to_string()),
            ("--seed", place.seeds.to_owned()),
        ];
        let backend_flags = [
            ("--instance", instance.clone()),
            ("--service", service.to_owned()),
            ("--listen", addresses.backend.to_string()),
            ("--announce-to", addresses.admin.to_string()),
            ("--slots", layout.slots.to_string()),
            ("--connections", layout.connections.to_string()),
            ("--service-ms", layout.service_ms.to_string()),
            ("--journal-dir", work_dir.display().to_string()),
        ];
        Self {
            instance,
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            addresses,
            node_arguments: node_arguments(node_flags, &layout.node_flags),
            backend_arguments: arguments(backend_flags),
            programs: programs.clone(),
            work_dir: work_dir.to_owned(),
            node: None,
            backend: None,
        }
    }

    /// Starts one of the processes, in place of any earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't be started.
    pub fn start(&mut self, part: PairPart) -> Result<(), RigError> {
        let (program, arguments, suffix) = match part {
            PairPart::Node => ("geranium-node", &self.node_arguments, "node"),
            PairPart::Backend => (
                "geranium-standin-backend",
                &self.backend_arguments,
                "backend",
            ),
        };
        let mut command = Command::new(self.programs.program(program)?);
        command.args(arguments);
        let name = format!("{}.{suffix}", self.instance);
        *self.slot(part) = None;
        let process = ChildProcess::spawn(&name, command, &self.work_dir)?;
        *self.slot(part) = Some(process);
        Ok(())
    }

    /// Returns one of the processes if it was started.
    pub fn process(&mut self, part: PairPart) -> Option<&mut ChildProcess> {
        self.slot(part).as_mut()
    }

    /// Sends a signal to one of the processes.
    pub fn signal(&mut self, part: PairPart, signal: ProcessSignal) {
        if let Some(process) = self.process(part) {
            process.signal(signal);
        }
    }

    /// Reads the node's status, if it answers.
    pub fn status(&self) -> Option<NodeStatus> {
        NodeStatus::read(self.addresses.admin)
    }

    /// Returns the path of the backend server's journal.
    pub fn journal_path(&self) -> PathBuf {
        self.work_dir.join(format!("{}.journal", self.instance))
    }

    fn slot(&mut self, part: PairPart) -> &mut Option<ChildProcess> {
        match part {
            PairPart::Node => &mut self.node,
            PairPart::Backend => &mut self.backend,
        }
    }
}

fn node_arguments<const N: usize>(
    flags: [(&str, String); N],
    further: &[(String, String)],
) -> Vec<String> {
    let mut all = arguments(flags);
    all.extend(
        further
            .iter()
            .flat_map(|(flag, value)| [flag.clone(), value.clone()]),
    );
    all
}

fn arguments<const N: usize>(flags: [(&str, String); N]) -> Vec<String> {
    flags
        .into_iter()
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect()
}
