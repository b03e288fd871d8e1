//! The calls that entry hosts make to each other.

use fulmarpath_policy::{
    Circuit, ContentKey, CrashedRun, EnginePermitRequest, OrganisationKey, PermitRequestId,
    SoundContent, UpstreamKey,
};

use crate::message::{
    ClaimAnswer, ClaimRequest, Document, FetchAnswer, LimitAnswer, PermitId, PermitReply, Ping,
    Pong, Progress, ProgressReply, SlotRequest,
};

/// The calls that an entry host answers.
#[tarpc::service]
pub trait Peer {
    /// Probes liveness, and exchanges rumours of other members and the versions held.
    async fn ping(ping: Ping) -> Pong;
    /// Pings a third member on the caller's behalf.
    async fn ping_through(target: std::net::SocketAddr, ping: Ping) -> Option<Pong>;
    /// Returns a document that the receiver holds, as JSON; empty where it holds none.
    async fn document(document: Document) -> Vec<u8>;
    /// Announces a newer document. The receiver adopts it, and fetches missing parts from `holder`.
    async fn announce(holder: std::net::SocketAddr, document: Document, value: Vec<u8>);
    /// Returns one part of the configuration by its hash; empty where it isn't held.
    async fn part(hash: String) -> Vec<u8>;
    /// Requests a permit from the home of an engine, or polls an earlier request with the same id.
    async fn ask(upstream: UpstreamKey, request: EnginePermitRequest) -> PermitReply;
    /// Withdraws a permit request or the permit granted for it.
    async fn withdraw(upstream: UpstreamKey, request: PermitRequestId);
    /// Reports the progress of one host's permits; the reply names those that should move.
    async fn progress(host: fulmarpath_policy::HostKey, progress: Vec<Progress>) -> ProgressReply;
    /// Restores a permit at a home that doesn't know it; `None` where the receiver doesn't know the
    /// engine or its model.
    async fn restore(upstream: UpstreamKey, request: EnginePermitRequest) -> Option<PermitId>;
    /// Takes a slot under an organisation's limits.
    async fn take_slot(request: SlotRequest) -> LimitAnswer;
    /// Reports how many slots the caller holds for each organisation.
    async fn restate_slots(host: fulmarpath_policy::HostKey, slots: Vec<(OrganisationKey, u32)>);
    /// Claims an idempotency key for one submission.
    async fn claim(request: ClaimRequest) -> ClaimAnswer;
    /// Reports to a home of crash reports that a request had just begun on an upstream that crashed.
    /// The upstream's key includes the time window of its crash, so that a crash after a restart
    /// counts as another one.
    async fn report_crash(run: CrashedRun);
    /// Asks a home whether a request with these contents may run as the probe of their circuits.
    async fn may_probe(contents: Vec<ContentKey>) -> bool;
    /// Tells a home that a granted probe of these contents did not run.
    async fn release_probe(contents: Vec<ContentKey>);
    /// Reports contents to a home that were answered.
    async fn report_success(sound: Vec<SoundContent>);
    /// Exchanges all circuits that the sender knows for all that the receiver knows.
    async fn exchange_circuits(circuits: Vec<Circuit>) -> Vec<Circuit>;
    /// Returns the tokens of a generation that the receiver holds, from an index on.
    async fn fetch(organisation: OrganisationKey, generation: String, from: u32) -> FetchAnswer;
}
