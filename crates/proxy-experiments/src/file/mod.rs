//! Files of experiments, in the project's configuration language, made into scenarios, policies and experiments.

mod builder;
mod values;

use crate::policy::{Name, Policy, NAMES};
use crate::scenario::{Scenario, SECOND};
use crate::table::TABLE;
use builder::ScenarioBuilder;
use configuration::check::Section;
use configuration::diagnostic::{self, nearest, Diagnostic};
use configuration::load::Loader;
use configuration::schema::Args;
use configuration::source::Span;
use configuration::value::Value;
use configuration::values::Values;
use routing::Tuning;
use server_model::Micros;
use std::path::Path;
use values::{groups_of, name_of, text_of};

/// Who decides, by a name.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedPolicy {
    /// The name that experiments use.
    pub name: String,
    /// The policy under test.
    pub policy: Policy,
}

/// A value that is varied.
#[derive(Clone, Debug, PartialEq)]
pub struct Grid {
    /// Its name.
    pub name: String,
    /// Section and directive; `tuning` and the name of a constant.
    pub key: (String, String),
    /// The values, as they would be written.
    pub values: Vec<String>,
}

/// A set of runs that are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Names of scenarios.
    pub scenarios: Vec<String>,
    /// The policies.
    pub players: Vec<NamedPolicy>,
    /// Values that are varied, each with each.
    pub grids: Vec<Grid>,
    /// The seeds of the runs.
    pub seeds: Vec<u64>,
    /// The policy that the others are compared with.
    pub against: String,
}

/// A file of experiments, sound in itself.
pub struct ExperimentFile {
    sections: Vec<Section>,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The policies.
    pub players: Vec<NamedPolicy>,
    /// The experiments.
    pub experiments: Vec<Experiment>,
}

/// One value that is another than the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The section's keyword, or `tuning`.
    pub section: String,
    /// The directive, or the name of a constant.
    pub directive: String,
    /// The value, as it would be written.
    pub value: String,
}

/// Seeds that one experiment may have.
const SEEDS_LIMIT: usize = 100_000;

/// Reads a file and all that it includes; what is wrong with it, as snippets.
pub fn read(path: &Path, loader: &dyn Loader) -> Result<ExperimentFile, String> {
    let mut plain = configuration::read_table(path, loader, TABLE);
    let mut faults = Vec::new();
    let file = ExperimentFile::new(std::mem::take(&mut plain.sections), &mut faults);
    plain.diagnostics.extend(faults);
    diagnostic::sort(&mut plain.diagnostics);
    if plain.is_valid() {
        Ok(file)
    } else {
        Err(diagnostic::render(&plain.sources, &plain.diagnostics))
    }
}

/// The suite that the program brings along.
pub const SUITE: &str = include_str!("../../../../lab/suite.conf");

/// The suite that the program brings along.
pub fn suite() -> Result<ExperimentFile, String> {
    read(
        Path::new("suite.conf"),
        &configuration::load::MemoryFiles::from([("suite.conf", SUITE)]),
    )
}

impl ExperimentFile {
    fn new(sections: Vec<Section>, faults: &mut Vec<Diagnostic>) -> ExperimentFile {
        let mut file = ExperimentFile {
            sections,
            scenarios: Vec::new(),
            players: Vec::new(),
            experiments: Vec::new(),
        };
        let names = |keyword: &str| -> Vec<String> {
            file.sections
                .iter()
                .filter(|s| s.spec.keyword == keyword)
                .map(|s| s.name.clone())
                .collect()
        };
        let scenarios = names("scenario");
        let scenarios = scenarios
            .iter()
            .filter_map(|name| file.scenario(name, &[], faults).ok());
        let scenarios: Vec<Scenario> = scenarios.collect();
        let players: Vec<NamedPolicy> =
            file.all("policy").map(|s| file.player(s, faults)).collect();
        file.scenarios = scenarios;
        file.players = players;
        let experiments: Vec<Experiment> = file
            .all("experiment")
            .filter_map(|s| file.experiment(s, faults))
            .collect();
        file.experiments = experiments;
        file
    }

    fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Section> + 'a {
        self.sections
            .iter()
            .filter(move |s| s.spec.keyword == keyword)
    }

    fn find(&self, keyword: &str, name: &str) -> Option<&Section> {
        self.sections
            .iter()
            .find(|s| s.spec.keyword == keyword && s.name == name)
    }

    /// A policy by its section's name, or a kind of policy as it is.
    pub fn policy(&self, name: &str) -> Option<NamedPolicy> {
        let own = self.players.iter().find(|p| p.name == name).cloned();
        own.or_else(|| {
            let (_, kind) = NAMES.iter().find(|(n, _)| *n == name)?;
            Some(NamedPolicy {
                name: name.into(),
                policy: Policy::of(*kind),
            })
        })
    }

    /// A scenario with some of its values changed. The faults go to the list, and the scenario is as good as it can be.
    fn scenario(
        &self,
        name: &str,
        changes: &[Change],
        faults: &mut Vec<Diagnostic>,
    ) -> Result<Scenario, String> {
        let section = self
            .find("scenario", name)
            .ok_or_else(|| format!("there is no scenario {name}"))?;
        ScenarioBuilder {
            file: self,
            changes,
            faults,
        }
        .scenario(section)
    }

    /// A scenario with some of its values changed, as by a grid.
    pub fn varied(&self, name: &str, changes: &[Change]) -> Result<Scenario, String> {
        let mut faults = Vec::new();
        for change in changes.iter().filter(|c| c.section != "tuning") {
            check(change)?;
        }
        let scenario = self.scenario(name, changes, &mut faults)?;
        match faults.first() {
            Some(fault) => Err(fault.message.clone()),
            None => Ok(scenario),
        }
    }

    fn player(&self, section: &Section, faults: &mut Vec<Diagnostic>) -> NamedPolicy {
        let v = Values::of(section);
        let kind = NAMES
            .iter()
            .find(|(n, _)| *n == v.choice("kind"))
            .map_or(Name::Module, |(_, kind)| *kind);
        let mut policy = Policy::of(kind);
        if let Some(tuning) = v.name("tuning").and_then(|name| self.find("tuning", &name)) {
            for (value, span) in tuning.values("set") {
                let Value::Text(word) = value else { continue };
                if let Err(message) = set(&mut policy.tuning, word) {
                    faults
                        .push(Diagnostic::error("bad-value", *span, message).label("can't be set"));
                }
            }
            if kind != Name::Module {
                let fault = Diagnostic::error(
                    "cross-check",
                    section.span,
                    "only the module has constants to tune",
                );
                faults.push(fault.label("a tuning says nothing to this kind"));
            }
        }
        NamedPolicy {
            name: section.name.clone(),
            policy,
        }
    }

    fn experiment(&self, section: &Section, faults: &mut Vec<Diagnostic>) -> Option<Experiment> {
        let v = Values::of(section);
        let texts = |keyword: &str| v.collect(keyword, name_of);
        let mut fault = |span: Span, message: String, label: &str| {
            if !section.partial {
                faults.push(Diagnostic::error("cross-check", span, message).label(label));
            }
        };
        if section.setting("scenarios").is_none() {
            fault(
                section.span,
                "the experiment names no scenario".into(),
                "scenarios is missing here",
            );
        }
        let mut players = Vec::new();
        let named = texts("policies");
        let named = if named.is_empty() {
            vec!["module".to_owned()]
        } else {
            named
        };
        for (at, name) in named.iter().enumerate() {
            match self.policy(name) {
                Some(player) => players.push(player),
                None => {
                    let span = section
                        .values("policies")
                        .get(at)
                        .map_or(section.span, |(_, span)| *span);
                    let known = self.players.iter().map(|p| p.name.as_str());
                    let near = nearest(name, known.chain(NAMES.iter().map(|(n, _)| *n)));
                    let hint = near.map_or(String::new(), |n| format!("; did you mean {n}?"));
                    fault(
                        span,
                        format!("there is no policy {name}{hint}"),
                        "not known",
                    );
                }
            }
        }
        let mut grids = Vec::new();
        for name in texts("grids") {
            let Some(grid) = self.find("grid", &name) else {
                continue;
            };
            let g = Values::of(grid);
            let key = g.value("key").and_then(|v| text_of(&v)).unwrap_or_default();
            let Some((part, directive)) = key.split_once('.') else {
                fault(
                    grid.span,
                    format!("{key:?} is no key like load.rate"),
                    "not a key",
                );
                continue;
            };
            let values = g.collect("values", text_of);
            let key = (part.to_owned(), directive.to_owned());
            for value in &values {
                let change = Change {
                    section: part.to_owned(),
                    directive: directive.to_owned(),
                    value: value.clone(),
                };
                if let Err(message) = check(&change) {
                    fault(grid.span, message, "in this grid");
                }
            }
            grids.push(Grid { name, key, values });
        }
        let mut seeds = Vec::new();
        for range in v.collect("seeds", groups_of) {
            seeds.extend(
                range
                    .take(SEEDS_LIMIT + 1 - seeds.len().min(SEEDS_LIMIT))
                    .map(u64::from),
            );
        }
        if seeds.is_empty() {
            seeds = (1..=4).collect();
        }
        if seeds.len() > SEEDS_LIMIT {
            fault(
                section.span,
                format!("there are more than {SEEDS_LIMIT} seeds"),
                "too many",
            );
        }
        let against = v.collect("against", name_of).pop();
        let against = against
            .or_else(|| players.first().map(|p| p.name.clone()))
            .unwrap_or_default();
        if players.len() == named.len() && !players.iter().any(|p| p.name == against) {
            fault(
                section.span,
                format!("{against} is compared with, but does not play"),
                "not among its policies",
            );
        }
        let (name, scenarios) = (section.name.clone(), texts("scenarios"));
        Some(Experiment {
            name,
            scenarios,
            players,
            grids,
            seeds,
            against,
        })
    }
}

/// `name=value` for one of the module's constants.
pub fn set(tuning: &mut Tuning, word: &str) -> Result<(), String> {
    let (name, value) = word
        .split_once('=')
        .ok_or_else(|| format!("{word:?} is not like room_late=0.6"))?;
    let value: f64 = value
        .parse()
        .map_err(|_| format!("{value:?} is no number"))?;
    let known = || match nearest(name, Tuning::NAMES.iter().copied()) {
        Some(near) => format!("did you mean {near}?"),
        None => format!("the constants are {}", Tuning::NAMES.join(", ")),
    };
    if !value.is_finite() || value < 0.0 {
        return Err(format!("{name} can't be {value}"));
    }
    if tuning.set(name, value) {
        Ok(())
    } else {
        Err(format!("the module has no constant {name}: {}", known()))
    }
}

/// Whether a value may stand where the key says.
fn check(change: &Change) -> Result<(), String> {
    let Change {
        section,
        directive,
        value,
    } = change;
    if section == "tuning" {
        return set(&mut Tuning::default(), &format!("{directive}={value}"));
    }
    let spec = TABLE.iter().find(|s| s.keyword == section);
    let spec = spec.ok_or_else(|| format!("there is no section {section}"))?;
    let spec = spec
        .directive(directive)
        .ok_or_else(|| format!("{section} has no directive {directive}"))?;
    let (Args::One(kind) | Args::Optional(kind) | Args::Many(kind)) = spec.args;
    kind.parse(value).map(|_| ()).map_err(|fault| fault.message)
}

/// The longest that any run goes on after its requests have ended.
pub const AFTER: Micros = 10 * SECOND;
