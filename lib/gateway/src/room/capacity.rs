//! The limits of a VM.

use snipegate_types::ByteCount;
use snipegate_types::ByteRate;

/// What a VM can carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VmCapacity {
    /// Rate of its network link, in each direction; `None` if it is not known.
    pub link: Option<ByteRate>,
    /// Processor time per second, in cores.
    pub cores: f64,
    /// Memory limit of the process.
    pub memory: ByteCount,
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
}
