//! The report as text for people.

use std::fmt::{self, Display, Formatter};

use super::{BreakdownRow, BurnReport, IndicatorBurn, ServiceBurn, WindowLength};
use crate::Urgency;

impl Display for BurnReport {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let window = WindowLength::text(self.window_ms);
        let covered = WindowLength::text(self.covered_ms);
        writeln!(
            f,
            "version {}, nodes read: {}; budgets of {window}, of which samples cover {covered}",
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
        if self.older_losses > 0 {
            let count = self.older_losses;
            writeln!(f, "nodes that lost counts earlier in the window: {count}")?;
        }
        if !self.restarted.is_empty() {
            writeln!(
                f,
                "restarted, with some counts lost: {}",
                joined(&self.restarted)
            )?;
        }
        if !self.without_objective.is_empty() {
            let names = joined(&self.without_objective);
            writeln!(f, "requests without an objective: {names}")?;
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
            part(f, "availability", "bad", &self.availability)?;
            let slow = format!("over {} ms", self.latency_ms);
            part(f, "latency", &slow, &self.latency)?;
            lines(f, "data centres", &self.worst_data_centres)?;
            lines(f, "kinds", &self.kinds)?;
        }
        if self.caller_faults > 0 {
            let count = self.caller_faults;
            writeln!(f, "  {count} answers left out as the caller's own fault")?;
        }
        Ok(())
    }
}

fn part(f: &mut Formatter<'_>, name: &str, violations: &str, part: &IndicatorBurn) -> fmt::Result {
    // Rounded past the digits in which binary fractions show.
    let promised = (part.promised * 1e8).round() / 1e6;
    let left = part.budget_left.map_or_else(
        || "unknown".to_owned(),
        |left| format!("{:.1}%", left * 100.0),
    );
    writeln!(
        f,
        "  {name} {promised}%: {} of {} {violations}, budget left {left}",
        part.violations, part.total
    )?;
    for rule in &part.rules {
        let (slow, fast) = (
            WindowLength::text(rule.slow_ms),
            WindowLength::text(rule.fast_ms),
        );
        let (slow_burn, fast_burn) = (number(rule.slow_burn), number(rule.fast_burn));
        let verdict = match rule.urgency {
            Urgency::Page | Urgency::Ticket => format!(" -> {}", rule.urgency),
            Urgency::Fine | Urgency::NoTraffic => String::new(),
        };
        let threshold = rule.threshold;
        writeln!(
            f,
            "    burn {slow_burn} over {slow}, {fast_burn} over {fast} (from {threshold}){verdict}"
        )?;
    }
    Ok(())
}

fn lines(f: &mut Formatter<'_>, title: &str, lines: &[BreakdownRow]) -> fmt::Result {
    if lines.is_empty() {
        return Ok(());
    }
    let texts = lines.iter().map(|line| {
        let BreakdownRow {
            name, responses, ..
        } = line;
        let availability = number(line.availability_burn);
        let latency = number(line.latency_burn);
        format!("{name} {availability}/{latency} ({responses} answers)")
    });
    let texts: Vec<_> = texts.collect();
    writeln!(
        f,
        "  {title}, burn of availability/latency: {}",
        texts.join(", ")
    )
}

fn number(burn: Option<f64>) -> String {
    burn.map_or_else(|| "-".to_owned(), |burn| format!("{burn:.2}"))
}

fn joined(names: impl IntoIterator<Item: Display>) -> String {
    let names: Vec<_> = names.into_iter().map(|name| name.to_string()).collect();
    names.join(", ")
}
