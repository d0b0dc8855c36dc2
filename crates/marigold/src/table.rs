//! Tables of text for the terminal.

/// Prints rows under headings; each column is as wide as its widest cell.
pub fn print(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([headings[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let print_row = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    print_row(headings.to_vec());
    for row in rows {
        print_row(row.iter().map(String::as_str).collect());
    }
}
