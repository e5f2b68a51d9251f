//! Configuration, membership and addresses.
//!
//! The decisions are pure: [`ViewKeeper`] merges what the store, peers and
//! listings say, [`FleetView`] is the snapshot that traffic threads read.

mod exchange;
mod follower;
mod follower_plan;
mod key;
mod key_digest;
mod member;
mod profile;
mod record;
mod rendezvous;
mod settings;
mod upstream;
mod view;
mod view_keeper;
mod workspace;

pub use exchange::LeaveMark;
pub use exchange::MemberLiveness;
pub use exchange::ViewChange;
pub use exchange::ViewQuery;
pub use exchange::ViewReply;
pub use follower::FollowerSettings;
pub use follower::VIEW_PATH;
pub use follower::VIEW_WAIT;
pub use follower::ViewFollower;
pub use follower::ViewSubscription;
pub use follower_plan::FollowerPlan;
pub use key::FleetKey;
pub use key::FleetKeyError;
pub use key_digest::KeyDigest;
pub use member::MemberRecord;
pub use member::MemberState;
pub use profile::PriorityLevel;
pub use profile::ProfileRecord;
pub use record::ConfigEntry;
pub use record::FleetRecord;
pub use record::RecordError;
pub use rendezvous::rendezvous_owner;
pub use rendezvous::rendezvous_weight;
pub use settings::DeploymentPolicy;
pub use settings::FleetSettings;
pub use settings::StalePolicy;
pub use upstream::EngineRole;
pub use upstream::ServiceOffer;
pub use upstream::UpstreamKind;
pub use upstream::UpstreamRecord;
pub use upstream::UpstreamState;
pub use view::FleetView;
pub use view::MemberEntry;
pub use view::ProfileEntry;
pub use view::UpstreamEntry;
pub use view::ViewFreshness;
pub use view::WorkspaceEntry;
pub use view_keeper::MergeOutcome;
pub use view_keeper::RejectedChange;
pub use view_keeper::ViewKeeper;
pub use workspace::WorkspaceRecord;
