//! Both users' fleets under load, a change of preset and kills.

mod demo_options;
mod demo_run;

pub use demo_options::DemoOptions;
pub use demo_run::run_demo;
