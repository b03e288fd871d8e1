//! What a host does next with a stream whose generation may be on its way to another engine.
//!
//! Two things go on at once: the engine's stream goes on, ends or breaks, and a carry copies the
//! generation's memory, stops the generation or finds that it can't. Each may come to its end at any
//! moment of the other. Looked at one by one, an end that came while the stop was under way was put
//! aside for the carry to explain, and where the carry then had stopped nothing, nothing was left to
//! read or to wait for: the caller sat before a whole answer that never ended.
//!
//! So one table holds both, and a stream is always read, waited for, or over.

/// How far a carry is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// There is none.
    #[default]
    Idle,
    /// The long copy is under way, and the generation goes on.
    Copying,
    /// The engine has been told to stop the generation, which ends its stream.
    Stopping,
}

/// How an engine's stream is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// As its framing says.
    Complete,
    /// Broken off, or its engine is known to be gone.
    Broken,
}

/// What a carry has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationStep {
    /// The long copy is there, and the engine is told to stop the generation.
    Copied,
    /// The carry is over, and the engine has not stopped the generation.
    NotStopped,
    /// The carry is over, and the engine has stopped the generation, or may have.
    Stopped,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Read on.
    Read,
    /// Nothing more is to be read before the carry tells what became of the generation.
    AwaitMigration,
    /// The answer is whole.
    Finish,
    /// The generation is lost with its engine: go on from a copy of its memory.
    Recover,
    /// The generation is stopped: go on from where its memory is.
    Resume,
}

/// One stream and the carry of its generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Handover {
    stage: Stage,
    ended: Option<StreamEnd>,
}

impl Handover {
    /// Whether the engine's stream may still bring something.
    pub fn is_stream_open(&self) -> bool {
        self.ended.is_none()
    }

    /// Whether a carry may begin: not beside another, nor when there is nothing left to carry.
    pub fn can_begin_migration(&self) -> bool {
        self.stage == Stage::Idle && self.is_stream_open()
    }

    /// A carry begins.
    pub fn begin_migration(&mut self) {
        self.stage = Stage::Copying;
    }

    /// The engine's stream is over.
    ///
    /// An engine that stops a generation ends its stream, and an answer without a length then looks
    /// whole. Only the carry can tell the one from the other.
    pub fn end_stream(&mut self, end: StreamEnd) -> NextStep {
        self.ended = Some(end);
        if self.stage == Stage::Stopping {
            return NextStep::AwaitMigration;
        }
        self.stage = Stage::Idle;
        over(end)
    }

    /// The carry has come to something.
    pub fn advance_migration(&mut self, step: MigrationStep) -> NextStep {
        match step {
            MigrationStep::Copied => {
                self.stage = Stage::Stopping;
                self.ended.map_or(NextStep::Read, over)
            }
            MigrationStep::NotStopped => {
                self.stage = Stage::Idle;
                self.ended.map_or(NextStep::Read, over)
            }
            MigrationStep::Stopped => {
                self.stage = Stage::Idle;
                NextStep::Resume
            }
        }
    }

    /// Another stream goes on with the generation.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}

fn over(end: StreamEnd) -> NextStep {
    match end {
        StreamEnd::Complete => NextStep::Finish,
        StreamEnd::Broken => NextStep::Recover,
    }
}
