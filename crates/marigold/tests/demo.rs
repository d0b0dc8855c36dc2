//! The demo, run as the README's first command for both deployments, with a short and light load.

use std::path::Path;
use std::process::Command;

/// The demo served every request and then failed, because it could not read the costs.
fn check_demo(deployment: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(deployment);
    let output = Command::new(env!("CARGO_BIN_EXE_marigold-demo"))
        .args(["--duration", "3", "--rate", "15"])
        .arg(folder)
        .output()
        .expect("the demo starts");
    let (stdout, stderr) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success(), "{stdout}\n{stderr}");
    assert!(stdout.contains("every request had one whole answer of its own"), "{stdout}");
    assert!(stdout.contains("cost by stage"), "{stdout}");
}

#[test]
fn demo_souk_al_ahali_succeeds() {
    check_demo("souk-al-ahali");
}

#[test]
fn demo_hartia_veche_succeeds() {
    check_demo("hartia-veche");
}
