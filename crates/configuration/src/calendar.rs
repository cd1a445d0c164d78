//! Windows of time: days of the calendar and hours of the day, exact over the years that it knows.
//!
//! Everything is kept in UTC; local times of the file are moved by its fixed offset when a window is made.

use crate::ranges::Ranges;
use crate::value::{Dates, Hours, SECONDS_PER_DAY, YEAR_RANGE};
use jiff::civil::Date;
use std::collections::HashMap;
use std::sync::OnceLock;
use std::time::Duration;

/// A second of UTC, as the day since 1970 and the second in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    /// Days since 1970-01-01.
    pub day: u32,
    /// Second of that day.
    pub second: u32,
}

impl Moment {
    /// The second of a Unix time.
    pub fn from_unix(since_1970: Duration) -> Moment {
        let seconds = since_1970.as_secs();
        let day = u32::try_from(seconds / u64::from(SECONDS_PER_DAY)).unwrap_or(u32::MAX);
        Moment {
            day,
            second: (seconds % u64::from(SECONDS_PER_DAY)) as u32,
        }
    }

    /// As local time at that offset from UTC, to the second.
    pub fn local(self, offset: i32) -> String {
        let seconds = i64::from(self.day) * i64::from(SECONDS_PER_DAY)
            + i64::from(self.second)
            + i64::from(offset);
        let days =
            i32::try_from(seconds.div_euclid(i64::from(SECONDS_PER_DAY))).unwrap_or(i32::MAX);
        let second = seconds.rem_euclid(i64::from(SECONDS_PER_DAY));
        let date = Date::constant(1970, 1, 1).checked_add(jiff::Span::new().days(days));
        let date = date.map_or_else(|_| format!("day {days}"), |d| d.to_string());
        let clock = format!(
            "{:02}:{:02}:{:02}",
            second / 3_600,
            second / 60 % 60,
            second % 60
        );
        format!("{date}T{clock}{}", crate::value::Value::Offset(offset))
    }

    /// From local time, as [`Moment::local`] writes it; the offset may be left out for that of the file.
    pub fn parse(text: &str, offset: i32) -> Option<Moment> {
        let (date, rest) = text.split_once('T')?;
        let date: Date = date.parse().ok()?;
        let (clock, offset) = match rest.find(['+', '-', 'Z', 'U']) {
            None => (rest, offset),
            Some(at) if matches!(&rest[at..], "Z" | "UTC") => (&rest[..at], 0),
            Some(at) => match crate::value::Type::Offset.parse(&rest[at..]) {
                Ok(crate::value::Value::Offset(stated)) => (&rest[..at], stated),
                _ => return None,
            },
        };
        let mut parts = clock.split(':').map(|p| p.parse::<i64>().ok());
        let (hour, minute) = (parts.next()??, parts.next()??);
        let second = parts.next().unwrap_or(Some(0))?;
        let sound =
            (0..24).contains(&hour) && (0..60).contains(&minute) && (0..60).contains(&second);
        if !sound || parts.next().is_some() {
            return None;
        }
        let days = Date::constant(1970, 1, 1).until(date).ok()?.get_days();
        let seconds =
            i64::from(days) * i64::from(SECONDS_PER_DAY) + hour * 3_600 + minute * 60 + second
                - i64::from(offset);
        Some(Moment::from_unix(Duration::from_secs(
            u64::try_from(seconds).ok()?,
        )))
    }
}

/// The days that the calendar knows: from 1 January 1970 on.
const DAYS: usize = 47_482;
/// Days at both ends that are not looked at where exactness counts: windows reach over from days beyond.
const EDGE: u32 = 3;
/// 1 January 2026.
const THESE_YEARS: u32 = 20_454;
const WORDS: usize = DAYS.div_ceil(64);

/// A set of days.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Days(Box<[u64]>);

impl Days {
    fn none() -> Days {
        Days(vec![0; WORDS].into_boxed_slice())
    }

    fn add(&mut self, day: usize) {
        if day < DAYS {
            self.0[day / 64] |= 1 << (day % 64);
        }
    }

    fn holds(&self, day: u32) -> bool {
        self.0
            .get(day as usize / 64)
            .is_some_and(|word| word >> (day % 64) & 1 == 1)
    }

    fn is_empty(&self) -> bool {
        self.0.iter().all(|word| *word == 0)
    }

    /// Each of its days so many days later, fewer than 64.
    fn moved(&self, by: i64) -> Days {
        let bits = by.unsigned_abs() as u32;
        if bits == 0 {
            return self.clone();
        }
        let mut out = Days::none();
        for at in 0..WORDS {
            out.0[at] = if by > 0 {
                let below = if at > 0 {
                    self.0[at - 1] >> (64 - bits)
                } else {
                    0
                };
                self.0[at] << bits | below
            } else {
                let above = self.0.get(at + 1).map_or(0, |word| word << (64 - bits));
                self.0[at] >> bits | above
            };
        }
        // No day is beyond the calendar's end.
        out.0[WORDS - 1] &= (1 << (DAYS % 64)) - 1;
        out
    }
}

/// What a window section states; empty lists stand for what always holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WindowConditions {
    /// Dates on which it holds.
    pub dates: Vec<Dates>,
    /// A bit for each day, Monday first; none: every day.
    pub weekdays: u8,
    /// Hours of the day in which it holds.
    pub hours: Vec<Hours>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Part {
    days: Days,
    /// Seconds of the UTC day, without the last.
    from: u32,
    to: u32,
}

/// A window of time, compiled: days and the seconds of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Window {
    parts: Vec<Part>,
}

/// Month, day and weekday (Monday is 0) of every day that the calendar knows.
pub struct Almanac(Vec<(i8, i8, u8)>);

impl Default for Almanac {
    fn default() -> Almanac {
        let first = Date::constant(YEAR_RANGE.0, 1, 1);
        let days = first.series(jiff::Span::new().days(1)).take(DAYS);
        Almanac(
            days.map(|d| {
                (
                    d.month(),
                    d.day(),
                    d.weekday().to_monday_zero_offset() as u8,
                )
            })
            .collect(),
        )
    }
}

impl Almanac {
    /// The one that all windows are made by; 140 KiB from the first window on.
    pub fn shared() -> &'static Almanac {
        static SHARED: OnceLock<Almanac> = OnceLock::new();
        SHARED.get_or_init(Almanac::default)
    }

    /// The window of local times at that offset from UTC.
    pub fn window(&self, stated: &WindowConditions, offset: i32) -> Window {
        let mut days = Days::none();
        let once: Vec<(usize, usize)> = stated
            .dates
            .iter()
            .filter_map(|dates| match dates {
                Dates::Once(from, to) => Some((number(*from), number(*to))),
                Dates::Yearly(..) => None,
            })
            .collect();
        for (day, (month, date, weekday)) in self.0.iter().enumerate() {
            let on_date = |dates: &Dates| match dates {
                Dates::Once(..) => false,
                Dates::Yearly(from, to) if from <= to => (*from..=*to).contains(&(*month, *date)),
                Dates::Yearly(from, to) => (*month, *date) >= *from || (*month, *date) <= *to,
            };
            let dated = stated.dates.is_empty()
                || once.iter().any(|(from, to)| (*from..=*to).contains(&day))
                || stated.dates.iter().any(on_date);
            if dated && (stated.weekdays == 0 || stated.weekdays >> weekday & 1 == 1) {
                days.add(day);
            }
        }
        let whole = [Hours {
            from: 0,
            to: SECONDS_PER_DAY,
        }];
        let hours = if stated.hours.is_empty() {
            &whole
        } else {
            stated.hours.as_slice()
        };
        let mut parts = Vec::new();
        for &Hours { from, to } in hours {
            let end = if to <= from { to + SECONDS_PER_DAY } else { to };
            let (from, end) = (
                i64::from(from) - i64::from(offset),
                i64::from(end) - i64::from(offset),
            );
            // Cut where a day of UTC ends; at most three of them are touched.
            for shift in -2..=2 {
                let start = shift * i64::from(SECONDS_PER_DAY);
                let (a, b) = (
                    (from - start).max(0),
                    (end - start).min(i64::from(SECONDS_PER_DAY)),
                );
                if a < b {
                    let moved = days.moved(shift);
                    if !moved.is_empty() {
                        parts.push(Part {
                            days: moved,
                            from: a as u32,
                            to: b as u32,
                        });
                    }
                }
            }
        }
        Window { parts }
    }
}

fn number(date: Date) -> usize {
    let days = Date::constant(1970, 1, 1)
        .until(date)
        .map_or(-1, |span| span.get_days());
    usize::try_from(days).unwrap_or(0)
}

impl Window {
    /// Whether a moment lies in the window.
    pub fn contains(&self, at: Moment) -> bool {
        self.parts
            .iter()
            .any(|p| p.from <= at.second && at.second < p.to && p.days.holds(at.day))
    }

    /// Whether no moment lies in the window.
    pub fn never_occurs(&self) -> bool {
        self.parts.is_empty()
    }
}

/// Time in pieces that no window cuts: days that all windows see alike, by the parts of the day.
pub struct TimePieces {
    /// Starts of the parts of the day.
    cuts: Vec<u32>,
    /// A day of each kind.
    days: Vec<u32>,
    kind_of_day: Vec<u32>,
}

impl TimePieces {
    /// The pieces into which these windows cut time.
    pub fn of<'a>(windows: impl Iterator<Item = &'a Window>) -> TimePieces {
        let parts: Vec<&Part> = windows.flat_map(|w| &w.parts).collect();
        let mut cuts: Vec<u32> = parts
            .iter()
            .flat_map(|p| [p.from, p.to])
            .filter(|c| *c < SECONDS_PER_DAY)
            .collect();
        cuts.push(0);
        cuts.sort_unstable();
        cuts.dedup();
        if parts.is_empty() {
            return TimePieces {
                cuts,
                days: vec![0],
                kind_of_day: Vec::new(),
            };
        }
        // Parts often share their days, and each set of days is looked at once.
        let mut sets: Vec<&Days> = Vec::new();
        for part in &parts {
            if !sets.contains(&&part.days) {
                sets.push(&part.days);
            }
        }
        // What most days have in common is told by one word: no more sets than that is the rule.
        let mut few: HashMap<u64, u32> = HashMap::new();
        let mut kinds: HashMap<Vec<u64>, u32> = HashMap::new();
        let mut days: Vec<u32> = Vec::new();
        let mut kind_of_day = Vec::with_capacity(DAYS);
        let mut key = vec![0_u64; sets.len().div_ceil(64)];
        // At the ends of the calendar windows lack the days before and after.
        for day in EDGE..DAYS as u32 - EDGE {
            key.fill(0);
            for (at, set) in sets.iter().enumerate() {
                key[at / 64] |= u64::from(set.holds(day)) << (at % 64);
            }
            let next = days.len() as u32;
            let kind = match key.as_slice() {
                [one] => *few.entry(*one).or_insert(next),
                _ => *kinds.entry(key.clone()).or_insert(next),
            };
            match days.get_mut(kind as usize) {
                None => days.push(day),
                // Examples are told by a day of these years where there is one.
                Some(known) if *known < THESE_YEARS && day >= THESE_YEARS => *known = day,
                Some(_) => {}
            }
            kind_of_day.push(kind);
        }
        TimePieces {
            cuts,
            days,
            kind_of_day,
        }
    }

    /// How many pieces there are.
    pub fn number(&self) -> u128 {
        self.days.len() as u128 * self.cuts.len() as u128
    }

    /// All pieces.
    pub fn all(&self) -> Ranges {
        Ranges::one(0, self.number() - 1)
    }

    /// The pieces of a window.
    pub fn of_window(&self, window: &Window) -> Ranges {
        let width = self.cuts.len() as u128;
        let mut list = Vec::new();
        for part in &window.parts {
            let first = self.cuts.partition_point(|cut| *cut < part.from) as u128;
            let last = self.cuts.partition_point(|cut| *cut < part.to) as u128 - 1;
            for (kind, day) in self.days.iter().enumerate() {
                if part.days.holds(*day) {
                    list.push((kind as u128 * width + first, kind as u128 * width + last));
                }
            }
        }
        Ranges::from_list(list)
    }

    /// The piece in which a moment lies.
    pub fn of_moment(&self, at: Moment) -> u128 {
        let day = at.day.saturating_sub(EDGE) as usize;
        let kind = self.kind_of_day.get(day).copied().unwrap_or(0);
        let part = self
            .cuts
            .partition_point(|cut| *cut <= at.second)
            .saturating_sub(1);
        u128::from(kind) * self.cuts.len() as u128 + part as u128
    }

    /// A moment in a set of pieces: noon on a day of these years if that is in it.
    pub fn example(&self, set: &Ranges) -> Option<Moment> {
        let noon = Moment {
            day: THESE_YEARS,
            second: SECONDS_PER_DAY / 2,
        };
        if set.contains(self.of_moment(noon)) {
            return Some(noon);
        }
        set.first().map(|piece| self.moment(piece))
    }

    /// A moment in a piece.
    pub fn moment(&self, piece: u128) -> Moment {
        let width = self.cuts.len() as u128;
        let day = self
            .days
            .get((piece / width) as usize)
            .copied()
            .unwrap_or(0);
        let second = self
            .cuts
            .get((piece % width) as usize)
            .copied()
            .unwrap_or(0);
        Moment { day, second }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(text: &str) -> Moment {
        Moment::parse(text, 0).unwrap()
    }

    #[test]
    fn moments_are_written_as_they_are_read() {
        let offset = 5 * 3_600 + 45 * 60;
        let moment = Moment::parse("2026-10-17T22:30:00", offset).unwrap();
        assert_eq!(moment, at("2026-10-17T16:45:00"));
        assert_eq!(moment.local(offset), "2026-10-17T22:30:00+05:45");
        assert_eq!(Moment::parse(&moment.local(offset), 0), Some(moment));
        assert_eq!(Moment::parse("2026-10-17T25:00", 0), None);
        assert_eq!(
            Moment::from_unix(Duration::from_secs(86_401)),
            Moment { day: 1, second: 1 }
        );
    }

    #[test]
    fn a_window_over_midnight_belongs_to_the_day_on_which_it_begins() {
        let almanac = Almanac::default();
        // 2026-10-17 is a Saturday.
        let stated = WindowConditions {
            dates: vec![Dates::Once(
                Date::constant(2026, 10, 17),
                Date::constant(2026, 10, 17),
            )],
            weekdays: 0b10_0000,
            hours: vec![Hours {
                from: 22 * 3_600,
                to: 2 * 3_600,
            }],
        };
        let window = almanac.window(&stated, 0);
        assert!(
            !window.contains(at("2026-10-17T01:00")) && !window.contains(at("2026-10-17T21:59:59"))
        );
        assert!(
            window.contains(at("2026-10-17T22:00")) && window.contains(at("2026-10-18T01:59:59"))
        );
        assert!(
            !window.contains(at("2026-10-18T02:00")) && !window.contains(at("2026-10-18T22:00"))
        );
        // The same in Kathmandu begins at 16:15 of UTC.
        let window = almanac.window(&stated, 20_700);
        assert!(
            !window.contains(at("2026-10-17T16:14:59")) && window.contains(at("2026-10-17T16:15"))
        );
        assert!(
            window.contains(at("2026-10-17T20:14:59")) && !window.contains(at("2026-10-17T20:15"))
        );
    }

    #[test]
    fn a_yearly_window_runs_over_the_change_of_year() {
        let almanac = Almanac::default();
        let stated = WindowConditions {
            dates: vec![Dates::Yearly((12, 30), (1, 2))],
            ..WindowConditions::default()
        };
        let window = almanac.window(&stated, 0);
        for (text, held) in [
            ("2026-12-29T23:59:59", false),
            ("2026-12-30T00:00", true),
            ("2027-01-02T23:59:59", true),
            ("2027-01-03T00:00", false),
            ("2031-12-31T12:00", true),
        ] {
            assert_eq!(window.contains(at(text)), held, "{text}");
        }
    }

    #[test]
    fn a_date_on_a_weekday_that_it_has_not_never_occurs() {
        let almanac = Almanac::default();
        let date = Date::constant(2026, 10, 17);
        let stated = WindowConditions {
            dates: vec![Dates::Once(date, date)],
            weekdays: 1,
            ..WindowConditions::default()
        };
        assert!(almanac.window(&stated, 0).never_occurs());
        let leap = WindowConditions {
            dates: vec![Dates::Yearly((2, 29), (2, 29))],
            ..WindowConditions::default()
        };
        let window = almanac.window(&leap, 0);
        assert!(
            window.contains(at("2028-02-29T00:00")) && !window.contains(at("2027-03-01T00:00"))
        );
    }

    #[test]
    fn pieces_tell_every_moment_from_those_that_windows_see_otherwise() {
        let almanac = Almanac::default();
        let windows: Vec<Window> = [
            WindowConditions {
                weekdays: 0b110_0000,
                hours: vec![Hours {
                    from: 79_200,
                    to: 7_200,
                }],
                ..WindowConditions::default()
            },
            WindowConditions {
                dates: vec![Dates::Yearly((10, 17), (11, 2))],
                ..WindowConditions::default()
            },
            WindowConditions {
                hours: vec![Hours {
                    from: 21_600,
                    to: 36_000,
                }],
                ..WindowConditions::default()
            },
        ]
        .iter()
        .map(|stated| almanac.window(stated, 20_700))
        .collect();
        let pieces = TimePieces::of(windows.iter());
        let sets: Vec<Ranges> = windows.iter().map(|w| pieces.of_window(w)).collect();
        for n in 0..20_000_u32 {
            let moment = Moment {
                day: 20_000 + n % 700,
                second: (n * 7_919) % SECONDS_PER_DAY,
            };
            let piece = pieces.of_moment(moment);
            for (window, set) in windows.iter().zip(&sets) {
                assert_eq!(window.contains(moment), set.contains(piece));
            }
            assert_eq!(pieces.of_moment(pieces.moment(piece)), piece);
        }
    }
}
