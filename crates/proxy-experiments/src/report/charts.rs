//! The charts, as SVG.

use crate::summary::Row;
use crate::tally::Part;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};
use std::error::Error;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const WIDTH: u32 = 960;
const HEIGHT: u32 = 380;
/// Kept free at the right for what the lines are called: over the lines it would hide some.
const LEGEND: u32 = 170;

/// Told apart by those who see few colours, too.
const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 90, 181),
    RGBColor(220, 80, 20),
    RGBColor(0, 130, 100),
    RGBColor(150, 60, 160),
    RGBColor(120, 110, 0),
    RGBColor(90, 90, 90),
    RGBColor(200, 30, 90),
    RGBColor(60, 160, 220),
];

fn colour(at: usize) -> RGBColor {
    COLOURS[at % COLOURS.len()]
}

fn fault(error: impl std::fmt::Display) -> Box<dyn Error> {
    error.to_string().into()
}

/// Scores of all policies, a group of bars for each day.
pub fn scores(rows: &[Row]) -> Result<String> {
    let mut days: Vec<String> = Vec::new();
    let mut policies: Vec<String> = Vec::new();
    for row in rows {
        if !days.contains(&row.title()) {
            days.push(row.title());
        }
        if !policies.contains(&row.policy) {
            policies.push(row.policy.clone());
        }
    }
    let bar = 12_u32;
    let group = bar * policies.len() as u32 + 10;
    let legend = 24 * policies.len().div_ceil(4) as u32 + 10;
    let height = legend + group * days.len() as u32 + 40;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let text = TextStyle::from(("sans-serif", 13).into_font());
        for (at, policy) in policies.iter().enumerate() {
            let (x, y) = (230 + (at as i32 % 4) * 180, 8 + (at as i32 / 4) * 24);
            area.draw(&Rectangle::new(
                [(x, y), (x + 14, y + 12)],
                colour(at).filled(),
            ))
            .map_err(fault)?;
            area.draw(&Text::new(policy.clone(), (x + 20, y), text.clone()))
                .map_err(fault)?;
        }
        let (left, right) = (230_i32, WIDTH as i32 - 60);
        let wide = |score: f64| left + ((right - left) as f64 * score.clamp(0.0, 1.0)) as i32;
        let bottom = height as i32 - 26;
        for tenth in 0..=10 {
            let x = wide(f64::from(tenth) / 10.0);
            let line = PathElement::new([(x, legend as i32), (x, bottom)], RGBColor(220, 220, 220));
            area.draw(&line).map_err(fault)?;
            let label = text.clone().pos(Pos::new(HPos::Center, VPos::Top));
            area.draw(&Text::new(
                format!("{:.1}", f64::from(tenth) / 10.0),
                (x, bottom + 6),
                label,
            ))
            .map_err(fault)?;
        }
        for (d, day) in days.iter().enumerate() {
            let top = (legend + group * d as u32) as i32;
            let label = text.clone().pos(Pos::new(HPos::Right, VPos::Center));
            let middle = top + (group as i32 - 10) / 2;
            area.draw(&Text::new(day.clone(), (left - 8, middle), label))
                .map_err(fault)?;
            for (p, policy) in policies.iter().enumerate() {
                let found = rows
                    .iter()
                    .find(|r| r.title() == *day && r.policy == *policy);
                let Some(row) = found else { continue };
                let y = top + (bar * p as u32) as i32;
                let shape = Rectangle::new(
                    [(left, y), (wide(row.score), y + bar as i32 - 2)],
                    colour(p).filled(),
                );
                area.draw(&shape).map_err(fault)?;
                let told = Text::new(
                    format!("{:.3}", row.score),
                    (wide(row.score) + 4, y - 1),
                    ("sans-serif", 11).into_font(),
                );
                area.draw(&told).map_err(fault)?;
            }
        }
        area.present().map_err(fault)?;
    }
    Ok(svg)
}

/// Goodput of each second, with the troubles behind.
pub fn time_line(lines: &[(String, Vec<Part>)], troubles: &[(String, f64, f64)]) -> Result<String> {
    let last = lines.iter().map(|(_, s)| s.len()).max().unwrap_or(1).max(1) as f64;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .margin_right(LEGEND)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..last, 0.0..1.05)
            .map_err(fault)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("seconds")
            .y_desc("goodput of what was asked for then")
            .light_line_style(TRANSPARENT)
            .draw()
            .map_err(fault)?;
        for (at, (name, from, to)) in troubles.iter().enumerate() {
            let shade = RGBColor(255, 190, 120).mix(0.35);
            let (from, to) = (from.min(last), to.min(last));
            chart
                .draw_series(std::iter::once(Rectangle::new(
                    [(from, 0.0), (to, 1.05)],
                    shade.filled(),
                )))
                .map_err(fault)?;
            let place = (from + last * 0.004, 0.45 - 0.055 * at as f64);
            let text = Text::new(name.clone(), place, ("sans-serif", 13).into_font());
            chart.draw_series(std::iter::once(text)).map_err(fault)?;
        }
        for (at, (_, seconds)) in lines.iter().enumerate() {
            let points = seconds
                .iter()
                .enumerate()
                .filter_map(|(s, part)| Some((s as f64 + 0.5, part.goodput()?)));
            chart
                .draw_series(LineSeries::new(points, colour(at).stroke_width(2)))
                .map_err(fault)?;
        }
        legend(&area, lines.iter().map(|(name, _)| name.clone()))?;
        area.present().map_err(fault)?;
    }
    Ok(svg)
}

fn legend<'a>(
    area: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    names: impl Iterator<Item = String>,
) -> Result<()> {
    let left = (WIDTH - LEGEND) as i32 + 12;
    for (at, name) in names.enumerate() {
        let y = 24 + at as i32 * 20;
        area.draw(&PathElement::new(
            [(left, y), (left + 18, y)],
            colour(at).stroke_width(3),
        ))
        .map_err(fault)?;
        area.draw(&Text::new(
            name,
            (left + 24, y - 7),
            ("sans-serif", 13).into_font(),
        ))
        .map_err(fault)?;
    }
    Ok(())
}

/// What part of the served was served within which time; the time on a logarithmic scale.
pub fn latencies(lines: &[(String, Histogram<u64>)]) -> Result<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .margin_right(LEGEND)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d((10.0..3_000.0_f64).log_scale(), 0.0..1.0)
            .map_err(fault)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc("milliseconds from the first try")
            .y_desc("part of the served")
            .x_label_formatter(&|ms| format!("{ms:.0}"))
            .draw()
            .map_err(fault)?;
        for (at, (_, histogram)) in lines.iter().enumerate() {
            let quantiles = (0..=400).map(|n| f64::from(n) / 400.0);
            let points = quantiles.map(|q| {
                let ms = histogram.value_at_quantile(q) as f64 / 1e3;
                (ms.clamp(10.0, 3_000.0), q)
            });
            chart
                .draw_series(LineSeries::new(points, colour(at).stroke_width(2)))
                .map_err(fault)?;
        }
        legend(&area, lines.iter().map(|(name, _)| name.clone()))?;
        area.present().map_err(fault)?;
    }
    Ok(svg)
}

/// Scores by a value that is varied. Values that are numbers stand where they belong, others one after the other.
pub fn by_value(key: &str, lines: &[(String, Vec<(String, f64)>)]) -> Result<String> {
    let values: Vec<&String> = lines
        .first()
        .map_or(Vec::new(), |(_, l)| l.iter().map(|(v, _)| v).collect());
    let numbers: Option<Vec<f64>> = values.iter().map(|v| v.parse().ok()).collect();
    let place = |value: &String| -> f64 {
        match (&numbers, value.parse::<f64>()) {
            (Some(_), Ok(number)) => number,
            _ => values.iter().position(|v| *v == value).unwrap_or(0) as f64,
        }
    };
    let places: Vec<f64> = values.iter().map(|v| place(v)).collect();
    let (from, to) = places
        .iter()
        .fold((f64::MAX, f64::MIN), |(a, b), x| (a.min(*x), b.max(*x)));
    let margin = ((to - from) * 0.03).max(1e-6);
    let all = lines.iter().flat_map(|(_, l)| l).map(|(_, score)| *score);
    let (low, high) = all.fold((1.0_f64, 0.0_f64), |(a, b), x| (a.min(x), b.max(x)));
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, HEIGHT)).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .margin_right(LEGEND)
            .x_label_area_size(36)
            .y_label_area_size(54)
            .build_cartesian_2d(
                from - margin..to + margin,
                (low - 0.02).max(0.0)..(high + 0.02).min(1.02),
            )
            .map_err(fault)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc(key)
            .y_desc("score")
            .x_label_formatter(&|x| match numbers {
                Some(_) => format!("{}", (x * 1e3).round() / 1e3),
                None => values
                    .get(x.round() as usize)
                    .map_or(String::new(), |v| (*v).clone()),
            })
            .draw()
            .map_err(fault)?;
        for (at, (_, points)) in lines.iter().enumerate() {
            let mut points: Vec<(f64, f64)> =
                points.iter().map(|(v, score)| (place(v), *score)).collect();
            points.sort_by(|a, b| a.0.total_cmp(&b.0));
            chart
                .draw_series(
                    points
                        .iter()
                        .map(|p| Circle::new(*p, 3, colour(at).filled())),
                )
                .map_err(fault)?;
            chart
                .draw_series(LineSeries::new(points, colour(at).stroke_width(2)))
                .map_err(fault)?;
        }
        legend(&area, lines.iter().map(|(name, _)| name.clone()))?;
        area.present().map_err(fault)?;
    }
    Ok(svg)
}

/// Scores by two values, dark for low ones, each written in its field.
pub fn heat_map(x: &str, y: &str, cells: &[(String, String, f64)]) -> Result<String> {
    let (mut xs, mut ys): (Vec<&String>, Vec<&String>) = (Vec::new(), Vec::new());
    for (a, b, _) in cells {
        if !xs.contains(&a) {
            xs.push(a);
        }
        if !ys.contains(&b) {
            ys.push(b);
        }
    }
    let (low, high) = cells
        .iter()
        .fold((1.0_f64, 0.0_f64), |(l, h), c| (l.min(c.2), h.max(c.2)));
    let (left, top, bottom) = (110_i32, 16_i32, 56_i32);
    let field_height = 40;
    let height = top + field_height * ys.len() as i32 + bottom;
    let field_width = (WIDTH as i32 - left - 20) / xs.len().max(1) as i32;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height as u32)).into_drawing_area();
        area.fill(&WHITE).map_err(fault)?;
        let text = TextStyle::from(("sans-serif", 13).into_font());
        let middle = Pos::new(HPos::Center, VPos::Center);
        for (a, b, score) in cells {
            let column = xs.iter().position(|v| *v == a).unwrap_or(0) as i32;
            let row = ys.iter().position(|v| *v == b).unwrap_or(0) as i32;
            let (px, py) = (left + column * field_width, top + row * field_height);
            let part = if high > low {
                (score - low) / (high - low)
            } else {
                1.0
            };
            let shade =
                |dark: u8, light: u8| dark + ((f64::from(light) - f64::from(dark)) * part) as u8;
            let fill = RGBColor(shade(120, 247), shade(30, 244), shade(60, 236));
            let field = Rectangle::new(
                [
                    (px + 1, py + 1),
                    (px + field_width - 1, py + field_height - 1),
                ],
                fill.filled(),
            );
            area.draw(&field).map_err(fault)?;
            let ink = if part < 0.45 { WHITE } else { BLACK };
            let style = text.clone().color(&ink).pos(middle);
            let place = (px + field_width / 2, py + field_height / 2);
            area.draw(&Text::new(format!("{score:.3}"), place, style))
                .map_err(fault)?;
        }
        for (at, value) in xs.iter().enumerate() {
            let place = (
                left + at as i32 * field_width + field_width / 2,
                height - bottom + 12,
            );
            let style = text.clone().pos(middle);
            area.draw(&Text::new((*value).clone(), place, style))
                .map_err(fault)?;
        }
        for (at, value) in ys.iter().enumerate() {
            let place = (left - 8, top + at as i32 * field_height + field_height / 2);
            let style = text.clone().pos(Pos::new(HPos::Right, VPos::Center));
            area.draw(&Text::new((*value).clone(), place, style))
                .map_err(fault)?;
        }
        let style = text.clone().pos(middle);
        area.draw(&Text::new(
            x.to_owned(),
            ((WIDTH as i32 + left) / 2, height - 14),
            style,
        ))
        .map_err(fault)?;
        let style = text.pos(Pos::new(HPos::Left, VPos::Center));
        area.draw(&Text::new(y.to_owned(), (4, height - bottom + 12), style))
            .map_err(fault)?;
        area.present().map_err(fault)?;
    }
    Ok(svg)
}
