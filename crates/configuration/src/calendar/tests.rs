use super::*;
use crate::ranges::Ranges;
use crate::value::{Dates, Hours, SECONDS_PER_DAY};
use jiff::civil::Date;
use std::time::Duration;

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
    let calendar = CalendarTable::default();
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
    let window = calendar.window(&stated, 0);
    assert!(
        !window.contains(at("2026-10-17T01:00")) && !window.contains(at("2026-10-17T21:59:59"))
    );
    assert!(window.contains(at("2026-10-17T22:00")) && window.contains(at("2026-10-18T01:59:59")));
    assert!(!window.contains(at("2026-10-18T02:00")) && !window.contains(at("2026-10-18T22:00")));
    // The same in Kathmandu begins at 16:15 of UTC.
    let window = calendar.window(&stated, 20_700);
    assert!(!window.contains(at("2026-10-17T16:14:59")) && window.contains(at("2026-10-17T16:15")));
    assert!(window.contains(at("2026-10-17T20:14:59")) && !window.contains(at("2026-10-17T20:15")));
}

#[test]
fn a_yearly_window_runs_over_the_change_of_year() {
    let calendar = CalendarTable::default();
    let stated = WindowConditions {
        dates: vec![Dates::Yearly((12, 30), (1, 2))],
        ..WindowConditions::default()
    };
    let window = calendar.window(&stated, 0);
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
fn a_date_that_does_not_fall_on_the_weekday_never_occurs() {
    let calendar = CalendarTable::default();
    let date = Date::constant(2026, 10, 17);
    let stated = WindowConditions {
        dates: vec![Dates::Once(date, date)],
        weekdays: 1,
        ..WindowConditions::default()
    };
    assert!(calendar.window(&stated, 0).never_occurs());
    let leap = WindowConditions {
        dates: vec![Dates::Yearly((2, 29), (2, 29))],
        ..WindowConditions::default()
    };
    let window = calendar.window(&leap, 0);
    assert!(window.contains(at("2028-02-29T00:00")) && !window.contains(at("2027-03-01T00:00")));
}

#[test]
fn every_window_contains_all_or_none_of_a_piece() {
    let calendar = CalendarTable::default();
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
    .map(|stated| calendar.window(stated, 20_700))
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
