//! Class ids over a reload: merges the settings in force with those of a new file.
//!
//! The class or zone of an id stays the same for the lifetime of the process. A class that a new file leaves unchanged
//! keeps its id. A changed class gets a new id, and open requests keep the rules of the old one. Zones and machine
//! types keep their ids, and new ones are appended.

use crate::{Names, PlatformSettings, SettingsError};
use routing::{Class, ClassId, ZoneId};

/// Limit on class ids in the lifetime of a process: each id costs an average in the state of every server.
const MAX_CLASSES: usize = 1_024;

/// Result of a reload.
#[derive(Debug)]
pub struct ClassMapping {
    /// The merged settings, with classes at their ids; a class that is out of use has no name.
    pub platform: PlatformSettings,
    /// For each class id, the class whose estimates a new class at this id takes over, if any.
    pub predecessors: Vec<Option<ClassId>>,
    /// Ids of the file's classes, in the order of the file.
    pub class_ids: Vec<ClassId>,
}

/// Maps the classes of a new file to ids.
///
/// # Errors
/// If the process has reached its limit of classes.
pub fn map_classes(
    current: &PlatformSettings,
    file: PlatformSettings,
) -> Result<ClassMapping, SettingsError> {
    let mut table = ClassTable::new(current);
    let class_ids = file
        .names
        .classes
        .iter()
        .zip(&file.settings.classes)
        .map(|(name, class)| table.assign_id(current, name, class))
        .collect();
    if table.classes.len() > MAX_CLASSES {
        return Err(SettingsError::TooManyClasses { limit: MAX_CLASSES });
    }
    let zones = merge_names(&current.names.zones, &file.names.zones);
    let machine_types = merge_names(&current.names.machine_types, &file.names.machine_types);
    let mut settings = file.settings;
    let zone = file.names.zones.get(usize::from(settings.zone.0));
    if let Some(index) = zone.and_then(|name| zones.iter().position(|zone| zone == name)) {
        settings.zone = ZoneId(index as u16);
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

/// All classes by id, with their current names.
struct ClassTable {
    classes: Vec<Class>,
    names: Vec<String>,
    predecessors: Vec<Option<ClassId>>,
}

impl ClassTable {
    fn new(current: &PlatformSettings) -> ClassTable {
        let classes = current.settings.classes.clone();
        ClassTable {
            names: vec![String::new(); classes.len()],
            predecessors: vec![None; classes.len()],
            classes,
        }
    }

    /// Id of a class of the file: the current id if the class is unchanged, otherwise a new one.
    fn assign_id(&mut self, current: &PlatformSettings, name: &str, class: &Class) -> ClassId {
        let current_index = current.names.classes.iter().position(|n| n == name);
        let unchanged = current_index.filter(|&index| current.settings.classes[index] == *class);
        let index = unchanged.unwrap_or_else(|| self.add(class, current_index.map(class_id)));
        name.clone_into(&mut self.names[index]);
        class_id(index)
    }

    fn add(&mut self, class: &Class, predecessor: Option<ClassId>) -> usize {
        self.classes.push(class.clone());
        self.names.push(String::new());
        self.predecessors.push(predecessor);
        self.classes.len() - 1
    }
}

fn class_id(index: usize) -> ClassId {
    ClassId(index as u16)
}

/// Current names at their indexes, followed by the new ones.
fn merge_names(current: &[String], new: &[String]) -> Vec<String> {
    let added = new.iter().filter(|name| !current.contains(name));
    current.iter().chain(added).cloned().collect()
}
