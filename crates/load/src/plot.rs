//! Bar charts as SVG.

use std::fmt::Write as _;

const BAR_HEIGHT: usize = 18;
const LABEL_WIDTH: usize = 260;
const CHART_WIDTH: f64 = 420.0;

/// Returns an SVG with one horizontal bar for each labelled value, scaled to the largest one.
pub fn bar_chart(title: &str, unit: &str, values: &[(String, f64)]) -> String {
    let largest = values.iter().map(|(_, value)| *value).fold(f64::MIN_POSITIVE, f64::max);
    let height = 40 + values.len() * (BAR_HEIGHT + 6);
    let width = LABEL_WIDTH + CHART_WIDTH as usize + 120;
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" font-family=\"sans-serif\" font-size=\"12\">\n<text x=\"8\" y=\"18\" font-size=\"14\">{title}</text>\n"
    );
    for (i, (label, value)) in values.iter().enumerate() {
        let y = 32 + i * (BAR_HEIGHT + 6);
        let length = CHART_WIDTH * value / largest;
        let (text_y, value_x) = (y + 13, LABEL_WIDTH as f64 + length + 6.0);
        let _ = writeln!(svg, "<text x=\"8\" y=\"{text_y}\">{label}</text>");
        let _ = writeln!(
            svg,
            "<rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"{length:.1}\" height=\"{BAR_HEIGHT}\" fill=\"#c98b2b\"/>"
        );
        let _ = writeln!(svg, "<text x=\"{value_x:.1}\" y=\"{text_y}\">{value:.2} {unit}</text>");
    }
    svg.push_str("</svg>\n");
    svg
}
