//! `experiments`: measurements of the decision modules in virtual time.

use experiments::command;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    command::run(&command::parser().get_matches())
}
