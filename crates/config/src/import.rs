//! Reads an asset register in CSV into an inventory, with findings per row.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::str::FromStr;

use csv::StringRecord;
use smol_str::SmolStr;
use syc_types::RackId;
use syc_types::Resources;
use syc_types::WorkerId;
use syc_types::Zone;

use crate::Findings;
use crate::Inventory;
use crate::WorkerDoc;
use crate::parse::Checked;

/// Columns that a register must have, in any order; further ones are passed over.
pub const REGISTER_COLUMNS: [&str; 6] = [
    "id",
    "address",
    "zone",
    "rack",
    "cpu_millis",
    "memory_bytes",
];

/// Column that may be missing: 0 accelerators then.
pub const ACCELERATORS_COLUMN: &str = "accelerators";

/// Reads the workers of a register; `part` names the inventory that comes of it.
///
/// # Errors
///
/// Fails with every finding: its line, and its column's name as the path.
pub fn import_register(name: &str, text: &str, part: &str) -> Result<Inventory, Findings> {
    let mut checked = Checked::new(name, text);
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let header = reader.headers().cloned().unwrap_or_default();
    for column in REGISTER_COLUMNS {
        if !header.iter().any(|found| found == column) {
            checked.add_at(column, 1, 1, "this column is missing".to_owned());
        }
    }
    checked.finish()?;
    let mut workers = Vec::new();
    let mut ids = HashSet::new();
    for row in reader.records() {
        match row {
            Ok(row) => {
                let worker = Row::new(&header, &row, &mut checked).worker();
                if !ids.insert(worker.id.clone()) {
                    let message = format!("`{}` is listed twice", worker.id);
                    checked.add_at("id", line_of(&row), 1, message);
                }
                workers.push(worker);
            }
            Err(error) => {
                let line = error.position().map_or(1, line_number);
                checked.add_at("row", line, 1, error.to_string());
            }
        }
    }
    checked.finish()?;
    Ok(Inventory {
        name: part.into(),
        workers,
        services: Vec::new(),
    })
}

fn line_number(position: &csv::Position) -> usize {
    usize::try_from(position.line()).unwrap_or(usize::MAX)
}

fn line_of(row: &StringRecord) -> usize {
    row.position().map_or(1, line_number)
}

struct Row<'r, 'c, 't> {
    header: &'r StringRecord,
    record: &'r StringRecord,
    checked: &'c mut Checked<'t>,
}

impl<'r, 'c, 't> Row<'r, 'c, 't> {
    fn new(
        header: &'r StringRecord,
        record: &'r StringRecord,
        checked: &'c mut Checked<'t>,
    ) -> Self {
        Self {
            header,
            record,
            checked,
        }
    }

    fn worker(mut self) -> WorkerDoc {
        let address = SmolStr::new(self.text("address"));
        if !address.is_empty() && address.parse::<SocketAddr>().is_err() {
            self.add(
                "address",
                format!("`{address}` is not an address `ip:port`"),
            );
        }
        WorkerDoc {
            id: WorkerId::new(self.text("id")),
            address,
            zone: Zone::new(self.text("zone")),
            rack: RackId::new(self.text("rack")),
            capacity: self.capacity(),
        }
    }

    fn capacity(&mut self) -> Resources {
        let accelerators = match self.field(ACCELERATORS_COLUMN) {
            None | Some("") => 0,
            Some(_) => self.number(ACCELERATORS_COLUMN),
        };
        Resources {
            cpu_millis: self.number("cpu_millis"),
            memory_bytes: self.number("memory_bytes"),
            accelerators,
        }
    }

    fn field(&self, column: &str) -> Option<&'r str> {
        let index = self.header.iter().position(|found| found == column)?;
        self.record.get(index)
    }

    fn text(&mut self, column: &str) -> &'r str {
        let text = self.field(column).unwrap_or_default();
        if text.is_empty() {
            self.add(column, "must not be empty".to_owned());
        }
        text
    }

    fn number<N>(&mut self, column: &str) -> N
    where
        N: FromStr + Default,
    {
        let text = self.field(column).unwrap_or_default();
        text.parse().unwrap_or_else(|_| {
            self.add(column, format!("`{text}` is not a whole number"));
            N::default()
        })
    }

    fn add(&mut self, column: &str, message: String) {
        self.checked
            .add_at(column, line_of(self.record), 1, message);
    }
}
