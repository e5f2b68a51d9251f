//! Evacuations as keys of the configuration store.

use slog::info;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_types::DataCentre;

use crate::gateway::Gateway;

/// Returns the data centre that a key of the store evacuates while it exists; `None` if the key
/// is not one of an evacuation, or names no data centre.
pub fn evacuation_of_key(gateway: &Gateway, key: &str) -> Option<DataCentre> {
    let prefix = gateway.wire_format.layout().evacuation_prefix;
    let name = key.strip_prefix(prefix)?;
    match name.parse() {
        Ok(data_centre) => Some(data_centre),
        Err(error) => {
            gateway.metrics.count("evacuation.malformed");
            info!(gateway.log, "invalid data centre of an evacuation"; "error" => %error);
            None
        }
    }
}

/// Returns the evacuations among the entries of a listing.
pub fn evacuated_data_centres(
    gateway: &Gateway,
    entries: &[(String, StoredValue)],
) -> Vec<(DataCentre, StoreRevision)> {
    let evacuation = |(key, stored): &(String, StoredValue)| {
        evacuation_of_key(gateway, key).map(|data_centre| (data_centre, stored.revision))
    };
    entries.iter().filter_map(evacuation).collect()
}
