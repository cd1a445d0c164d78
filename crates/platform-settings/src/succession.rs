//! From the settings in force and those of a new file to the settings that count next.

use crate::{BadSetting, Decoded, Names};
use routing::{ClassId, ZoneId};

/// Places that classes may take in the life of a process: each costs an average a record server.
const PLACES: usize = 1_024;

/// What counts next.
#[derive(Debug)]
pub struct Succession {
    /// Classes at their places; one that is out of use has no name.
    pub next: Decoded,
    /// For each place, the one whose averages a new class there takes over.
    pub heirs: Vec<Option<ClassId>>,
    /// The places of the file's classes, in its order.
    pub places: Vec<ClassId>,
}

/// Whoever holds the id of a class or of a zone finds the same at that id afterwards, until it holds no more.
pub fn succeed(former: &Decoded, file: Decoded) -> Result<Succession, BadSetting> {
    let mut classes = former.settings.classes.clone();
    let mut names = vec![String::new(); classes.len()];
    let mut heirs = vec![None; classes.len()];
    let mut places = Vec::new();
    for (name, class) in file.names.classes.iter().zip(&file.settings.classes) {
        let before = former.names.classes.iter().position(|n| n == name);
        let same = before.filter(|&at| former.settings.classes[at] == *class);
        let at = same.unwrap_or_else(|| {
            classes.push(class.clone());
            names.push(String::new());
            heirs.push(before.map(id));
            classes.len() - 1
        });
        names[at].clone_from(name);
        places.push(id(at));
    }
    if classes.len() > PLACES {
        let problem =
            format!("this process has known {PLACES} classes, which is all it may: restart it");
        return Err(BadSetting {
            key: "Classes".into(),
            problem,
        });
    }
    let mut settings = file.settings;
    let zone = file.names.zones.get(usize::from(settings.zone.0));
    let zones = beside(&former.names.zones, &file.names.zones);
    if let Some(at) = zone.and_then(|name| zones.iter().position(|z| z == name)) {
        settings.zone = ZoneId(at as u16);
    }
    settings.classes = classes;
    let kinds = beside(&former.names.kinds, &file.names.kinds);
    let names = Names {
        classes: names,
        zones,
        kinds,
        ..file.names
    };
    Ok(Succession {
        next: Decoded {
            settings,
            names,
            ..file
        },
        heirs,
        places,
    })
}

fn id(at: usize) -> ClassId {
    ClassId(at as u16)
}

/// Names at their former places, and those that are new behind them.
fn beside(former: &[String], new: &[String]) -> Vec<String> {
    let added = new.iter().filter(|name| !former.contains(name));
    former.iter().chain(added).cloned().collect()
}
