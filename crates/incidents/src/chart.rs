//! Chart of an incident over time: weights reported by the proxies, weights used by a balancer, and the fault window.

use crate::outcome::Outcome;
use crate::script::Incident;
use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 420);
const COLOURS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
];

/// Renders an SVG with the reported weights as lines, the first balancer's weights as dots and the fault as a band.
pub fn svg(incident: &Incident, outcome: &Outcome) -> Result<String, Box<dyn std::error::Error>> {
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let length = incident.length.as_secs_f64();
        let mut chart = ChartBuilder::on(&root)
            .caption(
                format!("{}: {}", incident.name, incident.about),
                ("sans-serif", 16),
            )
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..length, 0.0..105.0)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_desc("seconds")
            .y_desc("weight")
            .draw()?;
        let (from, to) = (
            incident.fault_window.0.as_secs_f64(),
            incident.fault_window.1.as_secs_f64(),
        );
        let band = Rectangle::new(
            [(from, 0.0), (to, 105.0)],
            RGBColor(255, 170, 60).mix(0.18).filled(),
        );
        chart
            .draw_series([band])?
            .label("trouble")
            .legend(|(x, y)| {
                Rectangle::new(
                    [(x, y - 5), (x + 14, y + 5)],
                    RGBColor(255, 170, 60).mix(0.4).filled(),
                )
            });
        for proxy in 0..incident.proxies {
            let colour = COLOURS[proxy % COLOURS.len()];
            let reported = outcome
                .samples
                .iter()
                .map(|s| (s.at.as_secs_f64(), f64::from(s.weights[proxy])));
            chart
                .draw_series(LineSeries::new(reported, colour.stroke_width(2)))?
                .label(format!("proxy {proxy} tells"))
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2))
                });
            let assigned = outcome.samples.iter().step_by(10).map(|s| {
                let view = s.views[0][proxy];
                let weight = if view.up && !view.drained {
                    f64::from(view.weight)
                } else {
                    0.0
                };
                Circle::new((s.at.as_secs_f64(), weight), 2, colour.mix(0.5).filled())
            });
            chart.draw_series(assigned)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        root.present()?;
    }
    Ok(text)
}
