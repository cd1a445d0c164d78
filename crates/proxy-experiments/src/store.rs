//! Results on disk: a file for each run, by the hash of all that it depends on. A run that is there is not run again,
//! whatever stopped the program before.

use crate::policy::Policy;
use crate::scenario::Scenario;
use crate::tally::Outcomes;
use sha2::{Digest, Sha256};
use std::io;
use std::path::{Path, PathBuf};

/// Of everything that decides how a run goes: the model, the engine, the module and this program's own sources.
pub const SOURCES: &str = env!("EXPERIMENT_SOURCES");

/// One run: what is played, by whom, with which seed.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The scenario.
    pub scenario: Scenario,
    /// The policy's name.
    pub player: String,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
    /// What a grid has changed, for people.
    pub varied: Vec<(String, String)>,
}

impl Cell {
    /// The same for all cells that come out the same: names are no part of it.
    pub fn key(&self) -> String {
        let mut hash = Sha256::new();
        let plain = Scenario {
            name: String::new(),
            about: String::new(),
            ..self.scenario.clone()
        };
        hash.update(SOURCES);
        hash.update(format!("{plain:?}\n{:?}\n{}", self.policy, self.seed));
        hash.finalize()
            .iter()
            .take(16)
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }
}

/// Outcomes of runs on disk, by the key of the run.
#[derive(Clone, Debug)]
pub struct Store {
    folder: PathBuf,
}

impl Store {
    /// Opens a folder, which is made if need be.
    pub fn open(folder: &Path) -> io::Result<Store> {
        std::fs::create_dir_all(folder.join("cells"))?;
        Ok(Store {
            folder: folder.to_owned(),
        })
    }

    /// The folder.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    fn path(&self, key: &str) -> PathBuf {
        self.folder.join("cells").join(format!("{key}.json"))
    }

    /// None: it has not been run, or what is there can't be read and is to be run again.
    pub fn load(&self, key: &str) -> Option<Outcomes> {
        let text = std::fs::read(self.path(key)).ok()?;
        serde_json::from_slice(&text).ok()
    }

    /// Whole or not at all: a kill in the middle leaves a file under another name.
    pub fn save(&self, key: &str, outcomes: &Outcomes) -> io::Result<()> {
        let path = self.path(key);
        let begun = path.with_extension(format!("begun-{}", std::process::id()));
        std::fs::write(&begun, serde_json::to_vec(outcomes)?)?;
        std::fs::rename(begun, path)
    }
}
