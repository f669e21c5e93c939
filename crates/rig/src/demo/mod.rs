//! Both users' fleets under load, with changes of preset and killed processes.

mod demo_options;
mod demo_run;

pub use demo_options::DemoOptions;
pub use demo_run::run_demo;
