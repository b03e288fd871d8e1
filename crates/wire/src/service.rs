//! The calls that entry hosts make to each other.

use fulmarpath_policy::{Ask, AskId, Circuit, ContentKey, OrganisationKey, UpstreamKey};

use crate::message::{
    AskReply, ClaimAnswer, ClaimAsk, Document, FetchAnswer, LimitAnswer, PermitId, Ping, Pong,
    Progress, ProgressReply, SlotAsk,
};

/// What one entry host may ask of another.
#[tarpc::service]
pub trait Peer {
    /// Liveness, rumours of other members and the held revision.
    async fn ping(ping: Ping) -> Pong;
    /// Pings a third member on the caller's behalf.
    async fn ping_through(target: std::net::SocketAddr, ping: Ping) -> Option<Pong>;
    /// A document that the receiver holds, as JSON; empty where it holds none.
    async fn document(document: Document) -> Vec<u8>;
    /// A newer document exists; the receiver takes it, and fetches from `holder` what it lacks.
    async fn announce(holder: std::net::SocketAddr, document: Document, value: Vec<u8>);
    /// One part of the configuration by its hash; empty where it isn't held.
    async fn part(hash: String) -> Vec<u8>;
    /// Asks the home of an engine for a permit, or after an earlier ask of the same id.
    async fn ask(upstream: UpstreamKey, ask: Ask) -> AskReply;
    /// An ask or its permit is no longer wanted.
    async fn withdraw(upstream: UpstreamKey, ask: AskId);
    /// How far the permits of one host are; answers with those that had better move.
    async fn progress(host: fulmarpath_policy::HostKey, progress: Vec<Progress>) -> ProgressReply;
    /// Restores a permit at a home that doesn't know it.
    async fn restore(upstream: UpstreamKey, ask: Ask) -> Option<PermitId>;
    /// Takes a slot under an organisation's limits.
    async fn take_slot(ask: SlotAsk) -> LimitAnswer;
    /// States how many slots the caller holds of each organisation.
    async fn restate_slots(host: fulmarpath_policy::HostKey, slots: Vec<(OrganisationKey, u32)>);
    /// Claims an idempotency key for one submission.
    async fn claim(claim: ClaimAsk) -> ClaimAnswer;
    /// Tells a home of a service that a request of this content had just begun on an upstream that
    /// ended.
    async fn report_crash(content: ContentKey, crash: UpstreamKey);
    /// Asks a home whether a request of this content may be the one that runs.
    async fn may_probe(content: ContentKey) -> bool;
    /// Tells a home that a request of this content was answered whole.
    async fn report_success(content: ContentKey);
    /// All circuits that the sender knows, for all that the receiver knows.
    async fn exchange_circuits(circuits: Vec<Circuit>) -> Vec<Circuit>;
    /// Tokens of a generation that this host holds, from an index on.
    async fn fetch(organisation: OrganisationKey, generation: String, from: u32) -> FetchAnswer;
}
