//! Text form of the report, for people.

use std::fmt::{self, Display, Formatter};

use super::{BreakdownRow, BurnReport, IndicatorBurn, ServiceBurn, WindowLength};
use crate::Urgency;

impl Display for BurnReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let window = WindowLength::text(self.window_ms);
        let covered = WindowLength::text(self.covered_ms);
        writeln!(
            f,
            "configuration version {}, nodes read: {}; budget window {window}, samples cover {covered}",
            self.version, self.nodes_read
        )?;
        if self.partial {
            let count = self.missing.len();
            writeln!(
                f,
                "PARTIAL (code {}): nodes with missing counts: {count}",
                self.code
            )?;
            for node in &self.missing {
                writeln!(f, "  missing {node}")?;
            }
        }
        if self.older_missing > 0 {
            let count = self.older_missing;
            writeln!(
                f,
                "nodes with missing counts earlier in the window: {count}"
            )?;
        }
        if !self.restarted.is_empty() {
            writeln!(
                f,
                "restarted nodes, some counts lost: {}",
                joined(&self.restarted)
            )?;
        }
        if !self.without_objective.is_empty() {
            let names = joined(&self.without_objective);
            writeln!(f, "services with requests but no objective: {names}")?;
        }
        self.services.iter().try_for_each(|service| service.fmt(f))
    }
}

impl Display for ServiceBurn {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.service, self.urgency)?;
        if self.objective_changed {
            f.write_str(" (its objective changed within the window)")?;
        }
        writeln!(f)?;
        if self.urgency > Urgency::NoTraffic {
            write_indicator(f, "availability", "bad", &self.availability)?;
            let slow_text = format!("over {} ms", self.latency_ms);
            write_indicator(f, "latency", &slow_text, &self.latency)?;
            write_breakdown(f, "data centres", &self.worst_data_centres)?;
            write_breakdown(f, "kinds", &self.kinds)?;
        }
        if self.caller_faults > 0 {
            let count = self.caller_faults;
            writeln!(f, "  {count} responses excluded as caller faults")?;
        }
        Ok(())
    }
}

fn write_indicator(
    f: &mut Formatter<'_>,
    name: &str,
    violations: &str,
    indicator: &IndicatorBurn,
) -> fmt::Result {
    // Rounds a percentage such as 99.9 to six decimals, which removes the error
    // of the binary fraction.
    let target_percent = (indicator.target_share * 1e8).round() / 1e6;
    let left = indicator.budget_left.map_or_else(
        || "unknown".to_owned(),
        |left| format!("{:.1}%", left * 100.0),
    );
    writeln!(
        f,
        "  {name} {target_percent}%: {} of {} {violations}, budget left {left}",
        indicator.violations, indicator.total
    )?;
    for rule in &indicator.rules {
        let (slow, fast) = (
            WindowLength::text(rule.slow_ms),
            WindowLength::text(rule.fast_ms),
        );
        let (slow_burn, fast_burn) = (format_burn(rule.slow_burn), format_burn(rule.fast_burn));
        let action = match rule.urgency {
            Urgency::Page | Urgency::Ticket => format!(" -> {}", rule.urgency),
            Urgency::Fine | Urgency::NoTraffic => String::new(),
        };
        let threshold = rule.threshold;
        writeln!(
            f,
            "    burn {slow_burn} over {slow}, {fast_burn} over {fast} (threshold {threshold}){action}"
        )?;
    }
    Ok(())
}

fn write_breakdown(f: &mut Formatter<'_>, title: &str, rows: &[BreakdownRow]) -> fmt::Result {
    if rows.is_empty() {
        return Ok(());
    }
    let texts = rows.iter().map(|row| {
        let BreakdownRow {
            name, responses, ..
        } = row;
        let availability = format_burn(row.availability_burn);
        let latency = format_burn(row.latency_burn);
        format!("{name} {availability}/{latency} ({responses} responses)")
    });
    let texts: Vec<_> = texts.collect();
    writeln!(
        f,
        "  {title}, burn of availability/latency: {}",
        texts.join(", ")
    )
}

fn format_burn(burn: Option<f64>) -> String {
    burn.map_or_else(|| "-".to_owned(), |burn| format!("{burn:.2}"))
}

fn joined(names: impl IntoIterator<Item: Display>) -> String {
    let names: Vec<_> = names.into_iter().map(|name| name.to_string()).collect();
    names.join(", ")
}
