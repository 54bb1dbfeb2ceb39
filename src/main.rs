//! Command line of cowslipdeal.

use std::process;

use cowslipdeal::{cli, run};

fn main() -> process::ExitCode {
    let matches = cli::command().get_matches();
    match run::run(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cowslipdeal: {error}");
            process::ExitCode::FAILURE
        }
    }
}
