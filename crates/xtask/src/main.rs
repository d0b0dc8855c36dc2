//! Developer tasks: generates the code of the schema crate, or checks that it is up to date.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context as _;
use bpaf::Parser as _;

/// Names of the schemas, each of which becomes a module of the schema crate.
const MODULES: [&str; 3] = ["declarations", "settings", "messages"];

struct Options {
    check: bool,
}

fn options() -> bpaf::OptionParser<Options> {
    let check = bpaf::long("check").help("Fail when the committed code is stale").switch();
    let codegen = bpaf::construct!(Options { check }).to_options();
    codegen.command("codegen").to_options().descr("Tasks for developers")
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("xtask: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> anyhow::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for module in MODULES {
        let code = generate(&root.join(format!("schemas/{module}.json")))?;
        let path = root.join(format!("crates/schema/src/{module}.rs"));
        if options.check {
            check(&path, &code)?;
        } else {
            fs::write(&path, code).with_context(|| format!("writing {}", path.display()))?;
        }
    }
    Ok(())
}

fn generate(schema: &PathBuf) -> anyhow::Result<String> {
    let text =
        fs::read_to_string(schema).with_context(|| format!("reading {}", schema.display()))?;
    let root: schemars::schema::RootSchema =
        serde_json::from_str(&text).context("parsing the schema")?;
    let mut settings = typify::TypeSpaceSettings::default();
    settings.with_map_type("::std::collections::BTreeMap".to_owned());
    settings.with_derive("PartialEq".to_owned());
    let mut types = typify::TypeSpace::new(&settings);
    types.add_root_schema(root).context("generating types")?;
    let file = syn::parse2(types.to_stream()).context("parsing the generated code")?;
    // Bincode is not self-describing, so no field may be skipped when it is serialised.
    let code = prettyplease::unparse(&file)
        .replace(", skip_serializing_if = \"::std::option::Option::is_none\"", "")
        .replace("    #[serde(skip_serializing_if = \"::std::option::Option::is_none\")]\n", "");
    Ok(format!("//! Generated from the JSON Schema of the same name; do not edit.\n\n{code}"))
}

fn check(path: &Path, code: &str) -> anyhow::Result<()> {
    let committed = fs::read_to_string(path).unwrap_or_default();
    anyhow::ensure!(committed == code, "{} is stale: run `cargo xtask codegen`", path.display());
    Ok(())
}
