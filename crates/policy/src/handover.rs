//! Decides the next step for a stream whose generation may be migrating to another engine.
//!
//! Two processes run concurrently: the engine's stream continues, ends or breaks, and a migration
//! copies the generation's memory, then stops the generation or fails to do so. Either may finish
//! at any stage of the other. If they were handled separately, the end of a stream during the stop
//! would be attributed to the migration. If the migration had then stopped nothing, nothing would
//! be left to read or to wait for, and the caller would never receive the end of a complete answer.
//!
//! So one state machine covers both, and a stream is always being read, waited for, or finished.

/// The stage of a migration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// No migration is in progress.
    #[default]
    Idle,
    /// The long copy is in progress, and the generation continues.
    Copying,
    /// The engine has been asked to stop the generation, which ends its stream.
    Stopping,
}

/// How an engine's stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Ended as its framing requires. A stream that ends with its connection has ended after a
    /// complete event.
    Complete,
    /// Broken off, or its engine is known to have ended.
    Broken,
}

/// The progress of a migration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationStep {
    /// The long copy is complete, and the engine is asked to stop the generation.
    Copied,
    /// The migration is over, and the engine has not stopped the generation.
    NotStopped,
    /// The migration is over, and the engine has stopped the generation, or may have.
    Stopped,
}

/// The next step for the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Continue reading.
    Read,
    /// Wait for the outcome of the migration; there is nothing more to read.
    AwaitMigration,
    /// The answer is complete.
    Finish,
    /// The generation is lost with its engine: continue from a copy of its memory.
    Recover,
    /// The generation is stopped: continue where its memory is.
    Resume,
}

/// A stream and the migration of its generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Handover {
    stage: Stage,
    ended: Option<StreamEnd>,
}

impl Handover {
    /// Whether the engine's stream may deliver more.
    pub fn is_stream_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Whether a migration may begin: none is in progress and the stream has not ended.
    pub fn can_begin_migration(&self) -> bool {
        self.stage == Stage::Idle && self.is_stream_open()
    }

    /// Records the start of a migration.
    pub fn begin_migration(&mut self) {
        self.stage = Stage::Copying;
    }

    /// Records the end of the engine's stream.
    ///
    /// An engine that stops a generation ends its stream, and an answer without a length then looks
    /// complete. Only the outcome of the migration distinguishes the two.
    pub fn end_stream(&mut self, end: StreamEnd) -> NextStep {
        self.ended = Some(end);
        if self.stage == Stage::Stopping {
            return NextStep::AwaitMigration;
        }
        self.stage = Stage::Idle;
        after_end(end)
    }

    /// Records the progress of the migration.
    pub fn advance_migration(&mut self, step: MigrationStep) -> NextStep {
        match step {
            MigrationStep::Copied => {
                self.stage = Stage::Stopping;
                self.ended.map_or(NextStep::Read, after_end)
            }
            MigrationStep::NotStopped => {
                self.stage = Stage::Idle;
                self.ended.map_or(NextStep::Read, after_end)
            }
            MigrationStep::Stopped => {
                self.stage = Stage::Idle;
                NextStep::Resume
            }
        }
    }

    /// Resets the state for another stream that continues the generation.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}

fn after_end(end: StreamEnd) -> NextStep {
    match end {
        StreamEnd::Complete => NextStep::Finish,
        StreamEnd::Broken => NextStep::Recover,
    }
}
