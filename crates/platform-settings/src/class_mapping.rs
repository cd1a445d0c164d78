//! Classes over a reload: from the settings in force and those of a new file to the settings that count next.
//!
//! Whoever holds the id of a class or a zone finds the same at that id afterwards, for as long as the process lives. A
//! class that a new file leaves unchanged keeps its id; one that it changes gets a new id, and open requests keep the
//! rights of the old one. Zones, and machine types, keep theirs, and new ones are added behind them.

use crate::{Names, PlatformSettings, SettingsError};
use routing::{Class, ClassId, ZoneId};

/// Ids that classes may take in the life of a process: each costs an average in the state of every server.
const MAX_CLASSES: usize = 1_024;

/// What counts after a reload.
#[derive(Debug)]
pub struct ClassMapping {
    /// The settings, classes at their ids; one that is out of use has no name.
    pub platform: PlatformSettings,
    /// For each class id, the one whose estimates a new class there takes over.
    pub predecessors: Vec<Option<ClassId>>,
    /// The ids of the file's classes, in its order.
    pub class_ids: Vec<ClassId>,
}

/// Maps the classes of a new file to ids.
///
/// # Errors
/// If the process has known too many classes.
pub fn map_classes(
    former: &PlatformSettings,
    file: PlatformSettings,
) -> Result<ClassMapping, SettingsError> {
    let mut table = ClassTable::new(former);
    let class_ids = file
        .names
        .classes
        .iter()
        .zip(&file.settings.classes)
        .map(|(name, class)| table.place(former, name, class))
        .collect();
    if table.classes.len() > MAX_CLASSES {
        return Err(SettingsError::TooManyClasses { limit: MAX_CLASSES });
    }
    let zones = extended(&former.names.zones, &file.names.zones);
    let machine_types = extended(&former.names.machine_types, &file.names.machine_types);
    let mut settings = file.settings;
    let zone = file.names.zones.get(usize::from(settings.zone.0));
    if let Some(place) = zone.and_then(|name| zones.iter().position(|zone| zone == name)) {
        settings.zone = ZoneId(place as u16);
    }
    settings.classes = table.classes;
    let names = Names {
        classes: table.names,
        zones,
        machine_types,
        ..file.names
    };
    Ok(ClassMapping {
        platform: PlatformSettings {
            settings,
            names,
            ..file
        },
        predecessors: table.predecessors,
        class_ids,
    })
}

/// All classes by id, with their present names.
struct ClassTable {
    classes: Vec<Class>,
    names: Vec<String>,
    predecessors: Vec<Option<ClassId>>,
}

impl ClassTable {
    fn new(former: &PlatformSettings) -> ClassTable {
        let classes = former.settings.classes.clone();
        ClassTable {
            names: vec![String::new(); classes.len()],
            predecessors: vec![None; classes.len()],
            classes,
        }
    }

    /// The id of a class of the file: its former one if it is the same, else a new one.
    fn place(&mut self, former: &PlatformSettings, name: &str, class: &Class) -> ClassId {
        let before = former.names.classes.iter().position(|n| n == name);
        let unchanged = before.filter(|&place| former.settings.classes[place] == *class);
        let place = unchanged.unwrap_or_else(|| self.add(class, before.map(id)));
        name.clone_into(&mut self.names[place]);
        id(place)
    }

    fn add(&mut self, class: &Class, predecessor: Option<ClassId>) -> usize {
        self.classes.push(class.clone());
        self.names.push(String::new());
        self.predecessors.push(predecessor);
        self.classes.len() - 1
    }
}

fn id(place: usize) -> ClassId {
    ClassId(place as u16)
}

/// Names at their former places, and new ones behind them.
fn extended(former: &[String], new: &[String]) -> Vec<String> {
    let added = new.iter().filter(|name| !former.contains(name));
    former.iter().chain(added).cloned().collect()
}
