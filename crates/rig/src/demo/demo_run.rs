//! Both deployments side by side.

use std::{panic::resume_unwind, thread, time::Duration};

use super::{DemoOptions, DemoReport, FaultScript, deployment_demo::DeploymentDemo};
use crate::{DeploymentLayout, FreePorts, RigError};

/// Runs the demo, prints its table and its line of JSON, and reports whether
/// every promise held.
///
/// # Errors
///
/// Returns an error if a fleet can't be started or the operators' client
/// refuses a command. Everything started is ended in any case.
///
/// # Examples
///
/// ```no_run
/// use geranium_rig::demo::{DemoOptions, run_demo};
///
/// let options = DemoOptions { examples: "examples".into(), seconds: 24, rate: 200.0 };
/// assert!(run_demo(&options)?);
/// # Ok::<(), geranium_rig::RigError>(())
/// ```
pub fn run_demo(options: &DemoOptions) -> Result<bool, RigError> {
    let mut ports = FreePorts::new();
    let load = Duration::from_secs(options.seconds);
    let mut start = |layout: DeploymentLayout, nodes: &[&str], backends: &[&str]| {
        println!(
            "starting {}: {} instances",
            layout.name,
            layout.instances().len()
        );
        let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
        let script = FaultScript {
            nodes: names(nodes),
            backends: names(backends),
            load,
        };
        DeploymentDemo::start(layout, &mut ports, &options.examples, options.rate, script)
    };
    // The nodes killed stand beside backend servers that take orders and
    // alerts: what becomes of tickets when their owner dies shows here.
    let demos = [
        start(
            DeploymentLayout::nordurljos(),
            &["pantanir-3"],
            &["verdskra-2"],
        )?,
        start(DeploymentLayout::heliomagnetique(), &["bulletin-2"], &[])?,
    ];
    println!("{} s of load with faults", options.seconds);
    let threads = demos.map(|demo| thread::spawn(move || demo.run()));
    let results = threads.map(|thread| thread.join().unwrap_or_else(|panic| resume_unwind(panic)));
    let deployments = results.into_iter().collect::<Result<Vec<_>, _>>()?;
    let report = DemoReport { deployments };
    println!("{report}\n{}", report.line());
    Ok(report.held())
}
