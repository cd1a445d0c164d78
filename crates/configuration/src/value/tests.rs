use super::calendar::{parse_dates, parse_hours, parse_weekdays};
use super::network::parse_network;
use super::share::parse_share;
use super::units::parse_time;
use super::*;

fn time_of(word: &str) -> Result<Duration, ParseError> {
    parse_time(word)
}

#[test]
fn times_need_a_unit_and_keep_their_value() {
    assert_eq!(time_of("200ms"), Ok(Duration::from_millis(200)));
    assert_eq!(time_of("1.5s"), Ok(Duration::from_millis(1_500)));
    assert_eq!(time_of("5min"), Ok(Duration::from_secs(300)));
    let bare = time_of("200").unwrap_err();
    assert_eq!(bare.message, "the time 200 has no unit");
    assert!(bare.help.unwrap().contains("ms"));
    assert!(time_of("99999999999999999999s").is_err());
    assert!(time_of("18446744073709551615d").is_err());
    for text in ["1us", "250ms", "90s", "36h", "7d"] {
        assert_eq!(
            format_time(time_of(&format_time(time_of(text).unwrap())).unwrap()),
            format_time(time_of(text).unwrap())
        );
    }
}

#[test]
fn shares_are_exact() {
    assert_eq!(parse_share("1/6").unwrap().of(600), 100);
    assert_eq!(parse_share("33%").unwrap().of(1_000), 330);
    assert_eq!(parse_share("12.5%").unwrap(), Share::new(1, 8));
    assert_eq!(Share::new(1, 8).to_string(), "12.5%");
    assert_eq!(Share::new(1, 6).to_string(), "1/6");
    assert!(parse_share("0.5").unwrap_err().message.contains("no unit"));
}

#[test]
fn ranges_may_cross_the_end_of_day_week_and_year() {
    assert_eq!(
        parse_hours("22:00-02:00").unwrap(),
        Hours {
            from: 79_200,
            to: 7_200
        }
    );
    assert_eq!(
        parse_hours("00:00-24:00").unwrap(),
        Hours {
            from: 0,
            to: SECONDS_PER_DAY
        }
    );
    assert!(parse_hours("08:00-08:00").is_err());
    assert_eq!(parse_weekdays("sat-mon").unwrap(), 0b110_0001);
    assert_eq!(
        parse_dates("12-20..01-10").unwrap(),
        Dates::Yearly((12, 20), (1, 10))
    );
    assert!(parse_dates("2026-02-30..2026-03-01").is_err());
    assert!(parse_dates("02-30..03-01").is_err());
    assert!(parse_dates("2026-03-02..2026-03-01").is_err());
}

#[test]
fn networks_with_host_bits_are_rejected() {
    assert_eq!(
        parse_network("10.1.0.7").unwrap().to_string(),
        "10.1.0.7/32"
    );
    assert!(parse_network("10.1.0.7/16")
        .unwrap_err()
        .help
        .unwrap()
        .contains("10.1.0.0/16"));
    assert!(parse_network("10.1.0.0/33").is_err());
}
