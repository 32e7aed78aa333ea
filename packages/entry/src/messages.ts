import type { LedgerRecord, RecordKind } from '@marjorampin/ledger';
import type {
  LedgerRecord as LedgerRecordMessage,
  ProgramState,
  Segment as SegmentMessage,
} from '@marjorampin/protocol';
import type { Segment, TurnKind } from '@marjorampin/types';
import type { Program } from './program';

/** Reads a segment from its message. */
export function segmentOf({ $typeName, $unknown, kind, ...fields }: SegmentMessage): Segment {
  return { ...fields, kind: kind as TurnKind };
}

/** Reads a ledger record from its message. */
export function recordOf({
  $typeName,
  $unknown,
  kind,
  ...fields
}: LedgerRecordMessage): LedgerRecord {
  return { ...fields, kind: kind as RecordKind };
}

/** A program's state as one owner tells it to the next. */
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

/** Reads a program's state from its message. */
export function snapshotOf({ $typeName, $unknown, ...fields }: ProgramState): ProgramSnapshot {
  return fields;
}

/** Describes a program for its next owner. */
export function stateOf(program: Program): ProgramSnapshot {
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
