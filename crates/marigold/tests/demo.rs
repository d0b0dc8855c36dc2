//! The demo, run as the README's first command for both deployments, with a short and light load.

use std::io::{BufRead as _, BufReader, Write as _};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, PoisonError};

/// Held by each test, so that one demo runs at a time: two may allocate the same ports.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

const DEMO: &str = env!("CARGO_BIN_EXE_marigold-demo");
const OPTIONS: [&str; 4] = ["--duration", "3", "--rate", "15"];

fn deployment(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(name)
}

/// The demo served every request and then failed, because it could not read the costs.
fn check_demo(deployment_name: &str) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let folder = deployment(deployment_name);
    let output = Command::new(DEMO).args(OPTIONS).arg(folder).output().expect("the demo starts");
    check_output(&output);
}

fn check_output(output: &Output) {
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

/// Returns the first ports that the demo allocates if it runs as a process with the given ID.
fn first_ports(process_id: u32) -> impl Iterator<Item = u32> {
    const PORTS: std::ops::Range<u32> = 10_000..21_000;
    let offset = process_id.wrapping_mul(977);
    (0..).map(move |serial: u32| PORTS.start + offset.wrapping_add(serial) % PORTS.len() as u32)
}

/// Guards against stand-ins at addresses of the deployment, whose agents then failed with "Address already in use".
#[test]
fn demo_with_process_id_of_declared_ports_succeeds() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    // The shell reports the process ID that the demo will have, and starts the demo once the addresses are written.
    let folder = std::env::temp_dir().join(format!("marigold-demo-ports-{}", std::process::id()));
    let mut shell = Command::new("sh")
        .args(["-c", r#"echo $$; read -r line; exec "$@""#, "sh", DEMO])
        .args(OPTIONS)
        .arg(&folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the shell starts");
    let mut line = String::new();
    let stdout = shell.stdout.as_mut().expect("the output is piped");
    BufReader::with_capacity(1, stdout).read_line(&mut line).expect("the shell writes a line");
    let mut ports = first_ports(line.trim().parse().expect("a process ID"));

    std::fs::create_dir_all(&folder).expect("the folder is created");
    for entry in std::fs::read_dir(deployment("souk-al-ahali")).expect("the folder is listed") {
        let path = entry.expect("the folder is listed").path();
        if path.extension().is_some_and(|ending| ending == "toml") {
            let text = std::fs::read_to_string(&path).expect("the file is read");
            let lines = text.lines().map(|line| match line.starts_with("address = ") {
                true => format!("address = \"127.0.0.1:{}\"\n", ports.next().unwrap_or_default()),
                false => format!("{line}\n"),
            });
            let name = path.file_name().expect("the file has a name");
            std::fs::write(folder.join(name), lines.collect::<String>())
                .expect("the file is written");
        }
    }
    std::os::unix::fs::symlink(deployment("souk-al-ahali").join("load"), folder.join("load"))
        .expect("the link is created");
    writeln!(shell.stdin.take().expect("the input is piped")).expect("the shell reads a line");
    let output = shell.wait_with_output().expect("the demo ends");
    check_output(&output);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
