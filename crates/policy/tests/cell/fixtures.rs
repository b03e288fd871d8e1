//! Engines with usual capacities, and requests and generations for them.

use fulmarpath_policy::{
    Cell, CellEngine, EngineCapacity, HostKey, OrganisationKey, Placement, PlacementRequest,
    RunKey, RunStatement, UpstreamKey,
};

pub(crate) const LOCAL: u64 = 1;
pub(crate) const REMOTE: u64 = 2;
pub(crate) const HOST: HostKey = HostKey(7);
pub(crate) const CAPACITY: EngineCapacity = EngineCapacity {
    memory_tokens: 30_000,
    slots: 24,
    token_bytes: 18_432,
    link_mbps: 2_700.0,
    copy_ttl_ms: 5_000,
};

pub(crate) fn engine(key: u64, data_centre: u64, is_draining: bool) -> CellEngine {
    CellEngine {
        name: key,
        key: UpstreamKey(key),
        data_centre,
        is_draining,
        is_evacuated: false,
        cold: None,
        capacity: CAPACITY,
    }
}

pub(crate) fn cell(engines: &[CellEngine]) -> Cell {
    let mut cell = Cell::default();
    cell.set_engines(0, engines);
    cell
}

pub(crate) fn request(
    run: u64,
    prompt_tokens: u32,
    limit_tokens: u32,
    hint_tokens: u32,
) -> PlacementRequest {
    PlacementRequest {
        organisation: OrganisationKey(0),
        run: RunKey(run),
        host: HOST,
        data_centre: LOCAL,
        prompt_tokens,
        limit_tokens,
        hint_tokens: Some(hint_tokens),
        retry_key: run,
        priority: 1,
        gap_target_ms: None,
        max_wait_ms: 1_800,
        left_ms: 39_000,
        is_final_attempt: false,
        excluded: Vec::new(),
        can_back_up: false,
    }
}

pub(crate) fn statement(run: u64, engine: u64, out_tokens: u32, limit_tokens: u32) -> RunStatement {
    RunStatement {
        organisation: OrganisationKey(0),
        run: RunKey(run),
        engine: UpstreamKey(engine),
        backup: None,
        prompt_tokens: 3_000,
        out_tokens,
        limit_tokens,
        hint_tokens: Some(limit_tokens),
        gap_target_ms: None,
        longest_pause_ms: 0,
        priority: 0,
    }
}

pub(crate) fn engine_of(placement: Placement) -> Option<u64> {
    match placement {
        Placement::On { engine, .. } => Some(engine.0),
        Placement::Full { .. } | Placement::TooLarge | Placement::NoEngine => None,
    }
}
