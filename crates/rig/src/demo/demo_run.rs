//! Execution of the demo.

use std::{
    path::{Path, PathBuf},
    process::{Command, Stdio},
    time::{Duration, Instant},
};

use geranium_standins::KvServer;
use tokio::time::sleep;

use super::DemoOptions;
use crate::{
    CallerLoad, LoadPlan, ProgramPaths, RigError, RigFleet,
    soak::{SoakEvidence, SoakReport, check_promises},
};

/// Program of the operators' client.
const CTL_PROGRAM: &str = "geranium-ctl";
/// Users, with the number of instances in their fleets.
const USERS: [(&str, usize); 2] = [("nordurljos", 13), ("heliomagnetique", 11)];
/// Directory of the example presets, relative to the working directory.
const EXAMPLES: &str = "examples";
/// Longest time for a fleet to start, recover or apply a preset.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs both users' fleets and returns whether every promise held.
///
/// # Errors
///
/// Fails if a fleet can't be started or the operators' client fails.
pub async fn run_demo(options: &DemoOptions) -> Result<bool, RigError> {
    let programs = ProgramPaths::find();
    let mut held = true;
    for (user, nodes) in USERS {
        println!("== {user}: {nodes} instances in three data centres");
        held &= show_user(user, nodes, options, &programs).await?;
    }
    println!(
        "{}",
        if held {
            "every promise held"
        } else {
            "a promise was broken"
        }
    );
    Ok(held)
}

async fn show_user(
    user: &str,
    count: usize,
    options: &DemoOptions,
    programs: &ProgramPaths,
) -> Result<bool, RigError> {
    let step = Duration::from_secs(options.seconds);
    let mut fleet = RigFleet::start(count, programs)?;
    let settled = fleet.settle(SETTLE_TIMEOUT).await?;
    println!("every node ready after {} ms", settled.as_millis());
    let ctl = OperatorClient::new(programs, &fleet.store)?;
    show_presets(user, &ctl, &fleet).await?;
    // The presets route to the users' own services, which the rig's backend servers
    // don't run. The load therefore uses the rig's routes.
    let version = fleet.publish_after(ctl.version()?);
    println!("version {version} is active for the load");
    let callers = fleet.nodes.iter();
    let load = CallerLoad::start(&LoadPlan {
        nodes: callers.map(|node| node.machine().addrs.callers).collect(),
        rate: options.rate,
        seed: 1,
        crashing_requests: false,
    });
    sleep(step).await;
    println!("two nodes killed, one backend server crashed, one draining");
    fleet.nodes[0].kill();
    fleet.nodes[5].kill();
    fleet.nodes[4].endpoint.crash();
    fleet.nodes[2].endpoint.drain(Duration::from_secs(4)).await;
    sleep(step).await;
    fleet.nodes[0].start_process()?;
    fleet.nodes[5].start_process()?;
    fleet.nodes[4].endpoint.restart_new_identifier();
    fleet.nodes[2].endpoint.deregister().await;
    fleet.nodes[2].endpoint.restart_new_identifier();
    let recovered = fleet.settle(SETTLE_TIMEOUT).await?;
    println!("every node ready again after {} ms", recovered.as_millis());
    sleep(step).await;
    let nodes = fleet.nodes.iter();
    let evidence = SoakEvidence {
        notices: Vec::new(),
        calls: load.end().await,
        runs: nodes
            .clone()
            .flat_map(|node| node.endpoint.runs())
            .collect(),
        acked_drains: nodes
            .clone()
            .flat_map(|node| node.endpoint.acked_drains())
            .collect(),
        faults: Vec::new(),
        events: nodes.map(|node| node.events().to_vec()).collect(),
    };
    let mut report = SoakReport::of_calls(1, options.seconds * 3, &evidence);
    report.breaches = check_promises(&evidence, false);
    println!("{report}");
    Ok(report.breaches.is_empty())
}

/// Activates the user's presets one after the other, as operators do.
async fn show_presets(user: &str, ctl: &OperatorClient, fleet: &RigFleet) -> Result<(), RigError> {
    for preset in ["ordinary-day", "peak"] {
        let file = Path::new(EXAMPLES)
            .join(user)
            .join(format!("{preset}.json"));
        ctl.run(&["put", preset, &file.display().to_string()])?;
        print!("{}", ctl.run(&["activate", preset])?);
        let begun = Instant::now();
        let port = fleet.nodes[0].machine().addrs.metrics.port();
        let all = format!("{0} of {0} nodes follow it", fleet.nodes.len());
        loop {
            let status = ctl.run(&["status", "--status-port", &port.to_string()])?;
            if status.contains(&all) {
                break;
            }
            if begun.elapsed() > SETTLE_TIMEOUT {
                let what = format!("expected {all:?}, got: {status}");
                let limit = SETTLE_TIMEOUT;
                return Err(RigError::Timeout { what, limit });
            }
            sleep(Duration::from_millis(20)).await;
        }
        println!(
            "every node applies the preset after {} ms",
            begun.elapsed().as_millis()
        );
    }
    Ok(())
}

/// Runs `geranium-ctl` against the fleet's store.
struct OperatorClient {
    program: PathBuf,
    store: String,
}

impl OperatorClient {
    fn new(programs: &ProgramPaths, store: &KvServer) -> Result<Self, RigError> {
        Ok(Self {
            program: programs.program(CTL_PROGRAM)?,
            store: store.operator_addr().to_string(),
        })
    }

    /// Returns the active version; 0 if the history can't be read.
    fn version(&self) -> Result<u64, RigError> {
        let text = self.run(&["--output", "json", "history", "--last", "1"])?;
        let history: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        Ok(history["activations"][0]["version"].as_u64().unwrap_or(0))
    }

    fn run(&self, arguments: &[&str]) -> Result<String, RigError> {
        let command = arguments.join(" ");
        let output = Command::new(&self.program)
            .args(["--store", &self.store, "--operator", "demo"])
            .args(arguments)
            .stdin(Stdio::null())
            .output();
        let refused = |answer: String| RigError::Operator {
            command: command.clone(),
            answer,
        };
        let output = output.map_err(|error| refused(error.to_string()))?;
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        if output.status.success() {
            Ok(text(&output.stdout))
        } else {
            Err(refused(text(&output.stderr)))
        }
    }
}
