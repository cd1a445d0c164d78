//! One file of HTML for all experiments of a folder, with the charts in it, and the charts as files of their own.

mod charts;

use crate::results::{Line, Manifest};
use crate::store::Store;
use crate::summary::merged;
use crate::tally::{Outcomes, Part};
use std::error::Error;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Runs whose latencies and seconds are drawn, of one scenario and policy; more tell no more.
const DRAWN: usize = 16;

/// A chart and the name that its file bears.
struct Chart {
    name: String,
    title: String,
    svg: String,
}

/// Writes `report.html` and the charts beside the results; where it is.
pub fn write(folder: &Path) -> Result<PathBuf> {
    let store = Store::open(folder)?;
    let mut manifests: Vec<PathBuf> = std::fs::read_dir(folder)?
        .flatten()
        .map(|e| e.path())
        .filter(|path| path.extension().is_some_and(|e| e == "json"))
        .collect();
    manifests.sort();
    let mut body = String::new();
    let mut number = 0;
    for path in manifests {
        // Whatever else lies there is none of ours.
        let Ok(manifest) = serde_json::from_slice::<Manifest>(&std::fs::read(&path)?) else {
            continue;
        };
        number += 1;
        experiment(&store, &manifest, &mut body)?;
    }
    if number == 0 {
        return Err(format!("{} holds no results of experiments", folder.display()).into());
    }
    let page = folder.join("report.html");
    let head = "<!doctype html><meta charset=\"utf-8\"><title>proxy-experiments</title><style>\
        body{font:15px/1.4 sans-serif;max-width:1000px;margin:2em auto;color:#222}\
        table{border-collapse:collapse;font-size:13px;margin:1em 0}\
        td,th{border-bottom:1px solid #ddd;padding:3px 8px;text-align:right}\
        td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}\
        .better{color:#06670f}.worse{color:#a11}.broken{background:#fdd}svg{max-width:100%;height:auto}\
        </style><h1>proxy-experiments</h1>\n";
    std::fs::write(&page, format!("{head}{body}"))?;
    Ok(page)
}

fn experiment(store: &Store, manifest: &Manifest, body: &mut String) -> Result<()> {
    let mut lines: Vec<Line> = Vec::new();
    for line in csv::Reader::from_path(store.folder().join(&manifest.table))?.deserialize() {
        lines.push(line?);
    }
    writeln!(body, "<h2>{}</h2>", escape(&manifest.experiment))?;
    writeln!(
        body,
        "<p>{} runs by {} (sources {}); means over seeds; the difference is this policy's score less that of {}, \
         with 95% confidence over pairs of seeds.</p>",
        lines.len(),
        escape(&manifest.program),
        escape(&manifest.sources),
        escape(&manifest.against)
    )?;
    table(manifest, body)?;
    let mut charts = vec![Chart {
        name: format!("{}-scores", manifest.experiment),
        title: "Scores".into(),
        svg: charts::scores(&manifest.rows)?,
    }];
    charts.extend(varied(manifest)?);
    for day in &manifest.days {
        let of_day: Vec<&Line> = lines
            .iter()
            .filter(|l| l.scenario == day.name && l.varied.is_empty())
            .collect();
        if of_day.is_empty() {
            continue;
        }
        let mut policies: Vec<&str> = Vec::new();
        of_day.iter().for_each(|l| {
            if !policies.contains(&l.policy.as_str()) {
                policies.push(&l.policy);
            }
        });
        let mut latencies = Vec::new();
        let mut seconds: Vec<(String, Vec<Part>)> = Vec::new();
        for policy in policies {
            let runs: Vec<Outcomes> = of_day
                .iter()
                .filter(|l| l.policy == policy)
                .take(DRAWN)
                .filter_map(|l| store.load(&l.cell))
                .collect();
            latencies.push((policy.to_owned(), merged(runs.iter(), None)));
            seconds.push((policy.to_owned(), added(&runs)));
        }
        let title = if day.about.is_empty() {
            day.name.clone()
        } else {
            format!("{}: {}", day.name, day.about)
        };
        charts.push(Chart {
            name: format!("{}-{}-time", manifest.experiment, day.name),
            title: title.clone(),
            svg: charts::time_line(&seconds, &day.troubles)?,
        });
        charts.push(Chart {
            name: format!("{}-{}-latency", manifest.experiment, day.name),
            title: format!("{}: latencies of what was served", day.name),
            svg: charts::latencies(&latencies)?,
        });
    }
    for chart in charts {
        std::fs::write(
            store.folder().join(format!("{}.svg", chart.name)),
            &chart.svg,
        )?;
        writeln!(body, "<h3>{}</h3>\n{}", escape(&chart.title), chart.svg)?;
    }
    Ok(())
}

/// Second by second, over all runs.
fn added(runs: &[Outcomes]) -> Vec<Part> {
    let mut all: Vec<Part> = Vec::new();
    for (at, second) in runs.iter().flat_map(|o| o.seconds.iter().enumerate()) {
        if all.len() <= at {
            all.resize(at + 1, Part::default());
        }
        all[at].worth += second.worth;
        all[at].earned += second.earned;
        all[at].asked += second.asked;
    }
    all
}

fn table(manifest: &Manifest, body: &mut String) -> Result<()> {
    body.push_str(
        "<table><tr><th>scenario<th>policy<th>score<th>goodput<th>worst 10 s<th>worst class<th>difference<th>effect\
         <th>verdict<th>attempts<th>probes<th>p50 ms<th>p99 ms<th>cold max<th>broken</tr>\n",
    );
    for row in &manifest.rows {
        let (difference, effect) = match &row.against {
            Some((score, _)) => (score.to_string(), format!("{:+.1}", score.effect)),
            None => ("-".into(), "-".into()),
        };
        let verdict = row.verdict().map_or("-", |v| v.name());
        let broken = row.rules_broken();
        writeln!(
            body,
            "<tr{}><td>{}<td>{}<td>{:.4}<td>{:.4}<td>{:.4}<td>{:.4}<td>{difference}<td>{effect}\
             <td class=\"{verdict}\">{verdict}<td>{:.2}<td>{:.3}<td>{:.0}<td>{:.0}<td>{:.2}<td>{broken}</tr>",
            if broken > 0 { " class=\"broken\"" } else { "" },
            escape(&row.title()),
            escape(&row.policy),
            row.score,
            row.goodput,
            row.worst_span,
            row.worst_kind,
            row.attempts,
            row.probes,
            row.p50 as f64 / 1e3,
            row.p99 as f64 / 1e3,
            row.cold.max,
        )?;
    }
    body.push_str("</table>\n");
    Ok(())
}

/// One value varied: a line for each policy. Two: a map for each policy.
fn varied(manifest: &Manifest) -> Result<Vec<Chart>> {
    let mut found = Vec::new();
    for day in &manifest.days {
        let rows: Vec<_> = manifest
            .rows
            .iter()
            .filter(|r| r.scenario == day.name && !r.varied.is_empty())
            .collect();
        let Some(first) = rows.first() else { continue };
        let keys: Vec<String> = first.varied.iter().map(|(k, _)| k.clone()).collect();
        match keys.as_slice() {
            [key] => {
                let mut lines: Vec<(String, Vec<(String, f64)>)> = Vec::new();
                for row in &rows {
                    let point = (row.varied[0].1.clone(), row.score);
                    match lines.iter_mut().find(|(policy, _)| *policy == row.policy) {
                        Some((_, points)) => points.push(point),
                        None => lines.push((row.policy.clone(), vec![point])),
                    }
                }
                found.push(Chart {
                    name: format!("{}-{}-{}", manifest.experiment, day.name, key),
                    title: format!("{}: score by {key}", day.name),
                    svg: charts::by_value(key, &lines)?,
                });
            }
            [x, y, ..] => {
                let mut policies: Vec<&str> = rows.iter().map(|r| r.policy.as_str()).collect();
                policies.dedup();
                policies.sort_unstable();
                policies.dedup();
                for policy in policies {
                    let cells: Vec<(String, String, f64)> = rows
                        .iter()
                        .filter(|r| r.policy == policy)
                        .map(|r| (r.varied[0].1.clone(), r.varied[1].1.clone(), r.score))
                        .collect();
                    found.push(Chart {
                        name: format!("{}-{}-{policy}-map", manifest.experiment, day.name),
                        title: format!("{}: {policy}'s score by {x} and {y}", day.name),
                        svg: charts::heat_map(x, y, &cells)?,
                    });
                }
            }
            [] => {}
        }
    }
    Ok(found)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
