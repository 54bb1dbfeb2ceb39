//! Binary of the capacity measurements.

use std::process;

use capacity::{cli, measure};

#[global_allocator]
static ALLOCATOR: peak_alloc::PeakAlloc = measure::ALLOCATOR;

fn main() -> process::ExitCode {
    match cli::run(&cli::command().get_matches()) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}
