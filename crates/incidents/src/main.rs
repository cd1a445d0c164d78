//! Simulates all incidents and writes a table, charts and CSV files: `cargo run --release -p incidents -- FOLDER [SEED]`.

use incidents::{chart, play, script};
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (folder, seed) = (
        arguments.next(),
        arguments.next().map_or(Ok(1), |s| s.parse()),
    );
    let (Some(folder), Ok(seed)) = (folder, seed) else {
        eprintln!("usage: incidents FOLDER [SEED]");
        return ExitCode::from(2);
    };
    match write(&PathBuf::from(folder), seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("incidents: {error}");
            ExitCode::FAILURE
        }
    }
}

fn write(folder: &std::path::Path, seed: u64) -> Result<(), Box<dyn std::error::Error>> {
    std::fs::create_dir_all(folder)?;
    let mut table = format!(
        "# Incidents: what proxies told, against what was true\n\nMade by `cargo run --release -p incidents -- docs/results/balancer-health {seed}` (seed {seed}, virtual time).\n\
         Balancers check every 1 s (agent) and 2 s (HTTP) unless an incident says otherwise. Delays count from the start of\nthe trouble to the first and the last proxy that tells of it; a false down is a check after which a balancer held a\nproxy for out that was not; the sum is of the weights of proxies that are not out by their operator's word.\n\n\
         | incident | what happens | told after, first / last | worst group | false downs | least sum of weights | state changes a minute | served | nowhere to go | closed doors |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
    );
    for incident in script::all() {
        let outcome = play::play(&incident, seed);
        let ms = |span: Option<std::time::Duration>| {
            span.map_or("-".to_owned(), |s| format!("{} ms", s.as_millis()))
        };
        table.push_str(&format!(
            "| [{0}]({0}.svg) | {1} | {2} / {3} | {4} | {5} | {6} of {7} | {8} | {9:.1}% | {10} | {11} |\n",
            incident.name,
            incident.about,
            ms(outcome.first_report_delay),
            ms(outcome.last_report_delay),
            outcome.worst_condition.map_or("-", |c| c.name()),
            outcome.false_downs,
            outcome.least_weight_sum,
            100 * (incident.proxies - incident.may_be_out.len()),
            outcome.flaps,
            outcome.served as f64 * 100.0 / outcome.requests.max(1) as f64,
            outcome.no_proxy_available,
            outcome.not_listening,
        ));
        std::fs::write(
            folder.join(format!("{}.svg", incident.name)),
            chart::svg(&incident, &outcome)?,
        )?;
        let mut rows: Vec<(std::time::Duration, usize, String)> = outcome
            .state_changes
            .iter()
            .map(|t| (t.at, t.proxy, t.state.name().to_owned()))
            .collect();
        let link = |place: u16, link: availability::LinkState| {
            format!("link to building {place} {}", link.name())
        };
        rows.extend(
            outcome
                .links
                .iter()
                .map(|(at, proxy, place, l)| (*at, *proxy, link(*place, *l))),
        );
        rows.sort();
        let mut lines = String::from("seconds,proxy,state\n");
        for (at, proxy, what) in rows {
            lines.push_str(&format!("{:.3},{proxy},{what}\n", at.as_secs_f64()));
        }
        std::fs::write(folder.join(format!("{}.csv", incident.name)), lines)?;
    }
    table.push_str(
        "\nEach incident's changes of state, with their times: the `.csv` beside its chart.\n",
    );
    std::fs::write(folder.join("README.md"), table)?;
    Ok(())
}
