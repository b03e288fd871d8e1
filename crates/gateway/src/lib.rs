//! The gateway: forwards callers' requests unchanged to model engines and plain services, and their
//! responses unchanged to the callers, according to the operator's configuration.
//!
//! The names of fields, paths and objects on the wire are not known here: [`Dialect`] reads and
//! writes heads, [`Metadata`] reads the entries of the operator and of the upstreams.

mod attempt;
mod cells;
mod configuration;
mod control;
mod crashes;
mod dissemination;
mod encoding;
mod evacuations;
mod fleet;
mod forward;
mod gateway;
mod head;
mod hop;
mod inbound;
mod join;
mod key;
mod log_throttle;
mod metrics;
mod peer;
mod poison;
mod problem;
mod record;
mod relay;
mod resources;
mod roster;
mod serve;
mod start;
mod store;
mod supervision;
mod surge_guard;
mod tracker;
mod upstreams;

pub use cells::pool::{CellPools, OtherHomes, Overflow, OwnCell, Reservation};
pub use configuration::{
    ActiveConfiguration, CallerLimits, Configuration, EngineTraits, Organisation, Route, RouteKind,
    Service, Share,
};
pub use control::{CompletedCopy, CopyError, EngineControl, EngineStatus, ProbeResult};
pub use gateway::{ControlCounts, Gateway, GatewaySettings};
pub use head::{
    Continuation, Dialect, GenerationHead, HeadError, Outbound, PromptPart, RequestHead,
    ResponseHead,
};
pub use problem::Problem;
pub use record::{Dispatch, REQUEST_PREFIX, RequestRecord, Shortage, Size};
pub use relay::events::{EventBuffer, EventTooLong};
pub use relay::response_buffer::ResponseBuffer;
pub use relay::stream_buffer::{BufferWriter, CallerGone, Chunk, StreamBuffers};
pub use resources::{BodyAdmission, BodyId, BodyState, ByteBudget, HeldBytes, HostLimits};
pub use roster::Roster;
pub use roster::directory::{
    Departure, DepartureNotice, Directory, DirectoryChange, DirectoryPart, ExpiredEntry,
    HostRegistration, ListedPage, RegisteredState, Registration, RegistrationChange,
};
pub use roster::list_assembly::ListAssembly;
pub use roster::presence_log::{PresenceLog, PresentHosts};
pub use serve::{Listen, ListenError, Listeners};
pub use store::era::STORE_RESTORED_PREFIX;
pub use store::metadata::{
    Change, Changes, CircuitRegistry, Collection, Freshness, HostRegistry, ListPage, Metadata,
    Snapshot, StoreError, StoredCircuit, UnusableEntry,
};
pub use supervision::log_panics;
