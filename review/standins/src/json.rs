//! Access to fields of JSON texts, without a parser for whole documents.

/// Returns the text of the value of a field at the top level of an object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut pos = skip_space(text, 0);
    if text.as_bytes().get(pos) != Some(&b'{') {
        return None;
    }
    pos += 1;
    loop {
        pos = skip_space(text, pos);
        if text.as_bytes().get(pos) != Some(&b'"') {
            return None;
        }
        let key_end = skip_value(text, pos)?;
        let key = &text[pos + 1..key_end - 1];
        pos = skip_space(text, key_end);
        if text.as_bytes().get(pos) != Some(&b':') {
            return None;
        }
        pos = skip_space(text, pos + 1);
        let end = skip_value(text, pos)?;
        if key == name {
            return Some(&text[pos..end]);
        }
        pos = skip_space(text, end);
        if text.as_bytes().get(pos) != Some(&b',') {
            return None;
        }
        pos += 1;
    }
}

/// Returns the value of a string field at the top level of an object; names have no escapes.
pub fn string<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    field(text, name)?.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(text: &str, mut pos: usize) -> usize {
    while text.as_bytes().get(pos).is_some_and(u8::is_ascii_whitespace) {
        pos += 1;
    }
    pos
}

/// Returns the position after the value that begins at `pos`.
fn skip_value(text: &str, mut pos: usize) -> Option<usize> {
    let bytes = text.as_bytes();
    let mut depth = 0_usize;
    loop {
        match bytes.get(pos)? {
            b'"' => {
                pos += 1;
                while bytes.get(pos)? != &b'"' {
                    pos += if bytes[pos] == b'\\' { 2 } else { 1 };
                }
                pos += 1;
            }
            b'{' | b'[' => {
                depth += 1;
                pos += 1;
            }
            b'}' | b']' => {
                depth = depth.checked_sub(1)?;
                pos += 1;
            }
            b',' | b':' => pos += 1,
            byte if byte.is_ascii_whitespace() => pos += 1,
            _ => {
                while bytes
                    .get(pos)
                    .is_some_and(|byte| !byte.is_ascii_whitespace() && !b",:]}".contains(byte))
                {
                    pos += 1;
                }
            }
        }
        if depth == 0 {
            return Some(pos);
        }
    }
}
