import type { LedgerRecord, RecordKind } from '@marjorampin/ledger';
import type {
  LedgerRecord as LedgerRecordMessage,
  ProgramState,
  Segment as SegmentMessage,
} from '@marjorampin/protocol';
import type { Segment, TurnKind } from '@marjorampin/types';
import type { Program } from './program';

/** Converts a segment from its protocol message. */
export function segmentOf({ $typeName, $unknown, kind, ...fields }: SegmentMessage): Segment {
  return { ...fields, kind: kind as TurnKind };
}

/** Converts a ledger record from its protocol message. */
export function recordOf({
  $typeName,
  $unknown,
  kind,
  ...fields
}: LedgerRecordMessage): LedgerRecord {
  return { ...fields, kind: kind as RecordKind };
}

/** State of a program as its owner hands it over to the next owner. */
export interface ProgramSnapshot {
  program: string;
  turn: number;
  digest: string;
  granted: number;
  spent: number;
  recorded: number;
  running: boolean;
  holders: string[];
  warmEndpoint: string;
  visitedEndpoints: string[];
}

/** Converts a program's state from its protocol message. */
export function snapshotOf({ $typeName, $unknown, ...fields }: ProgramState): ProgramSnapshot {
  return fields;
}

/** Returns the state of a program for its next owner. */
export function snapshotProgram(program: Program): ProgramSnapshot {
  return {
    program: program.id,
    turn: program.turn,
    digest: program.digest,
    granted: program.budget.granted,
    spent: program.budget.spent,
    recorded: program.budget.recorded,
    running: program.isRunning,
    holders: program.holders,
    warmEndpoint: program.warmEndpoint,
    visitedEndpoints: [...program.visitedEndpoints],
  };
}
