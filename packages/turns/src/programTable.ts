import { create } from '@bufbuild/protobuf';
import {
  type ProgramCopy,
  ProgramCopySchema,
  type Reservation,
  ReservationSchema,
  type TurnRecord,
} from '@marjorampin/protocol';
import { storedChain } from './turnChain';

/** Approximate size of a turn id or a reservation in a message. */
const BYTES_PER_ITEM = 32;

interface StoredProgram {
  /** Merged state of each reservation, by turn id. */
  reservations: Map<string, Reservation>;
  /** The program's turns and their ancestors, which may belong to other programs, by id. */
  turns: Map<string, TurnRecord>;
  expiresAtMs: number;
  /** Time of the first reservation here; undefined before it. */
  startedAtMs: number | undefined;
}

/** A stored turn. */
interface StoredTurn {
  record: TurnRecord;
  /** Number of programs that need it. */
  holders: number;
  /** Whether a quorum is known to store it. */
  isAcknowledged: boolean;
}

/** A page of programs, ordered by id. */
export interface ProgramTablePage {
  programs: ProgramCopy[];
  hasMore: boolean;
}

/** What a keeper stores of one program. */
export interface ProgramContents {
  reservations: Reservation[];
  records: TurnRecord[];
}

/** In-memory reservations and turns of a keeper by program, removed when they expire. */
export class ProgramTable {
  private readonly programs = new Map<string, StoredProgram>();

  private readonly storedTurns = new Map<string, StoredTurn>();

  /** Stores a reservation and returns all others of the program. For a repeated request, these
   * include reservations copied from other keepers since the first one, even older ones. */
  reserve(program: string, reservation: Reservation, expiresAtMs: number): Reservation[] {
    const stored = this.upsert(program, expiresAtMs);
    const { turn } = reservation;
    const others = [...stored.reservations.values()].filter((other) => other.turn !== turn);
    stored.reservations.set(turn, mergeReservations(reservation, stored.reservations.get(turn)));
    return others;
  }

  /** Replaces the reservation of a turn with the tokens that it used. */
  settle(program: string, turn: string, tokens: number, expiresAtMs: number): void {
    const reservation = create(ReservationSchema, { turn, tokens, settled: true });
    this.reserve(program, reservation, expiresAtMs);
  }

  /** Adds a turn that a program needs: its own, or an ancestor of one. */
  add(program: string, record: TurnRecord, expiresAtMs: number): void {
    const { turns } = this.upsert(program, expiresAtMs);
    if (turns.has(record.turn)) return;
    const stored = this.storedTurns.get(record.turn) ?? {
      record,
      holders: 0,
      isAcknowledged: false,
    };
    stored.holders += 1;
    this.storedTurns.set(record.turn, stored);
    turns.set(record.turn, stored.record);
  }

  /** Returns whether a turn is stored for a program. */
  holds(program: string, turn: string): boolean {
    return this.programs.get(program)?.turns.has(turn) ?? false;
  }

  /** Records that a quorum stores some turns; those that are not stored here are left out. */
  acknowledge(turns: string[]): void {
    turns.forEach((turn) => {
      const stored = this.storedTurns.get(turn);
      if (stored) stored.isAcknowledged = true;
    });
  }

  /** Returns whether a turn is stored here and known to be stored by a quorum. */
  isAcknowledged(turn: string): boolean {
    return this.storedTurns.get(turn)?.isAcknowledged ?? false;
  }

  /** Returns a turn and its stored ancestors, oldest first; empty if the turn is not stored. */
  chain(turn: string): TurnRecord[] {
    return storedChain((id) => this.record(id), turn);
  }

  /** Returns the record of a turn, if it is stored. */
  record(turn: string): TurnRecord | undefined {
    return this.storedTurns.get(turn)?.record;
  }

  /** Returns the records of those given turns that are stored. */
  records(turns: string[]): TurnRecord[] {
    return turns.flatMap((turn) => this.record(turn) ?? []);
  }

  /** Returns whether a reservation would change the stored state. */
  wouldChange(program: string, reservation: Reservation): boolean {
    const current = this.programs.get(program)?.reservations.get(reservation.turn);
    if (!current) return true;
    const merged = mergeReservations(reservation, current);
    return merged.tokens !== current.tokens || merged.settled !== current.settled;
  }

  /** Returns all that is stored of a program; nothing if it is unknown. */
  contents(program: string): ProgramContents {
    const stored = this.programs.get(program);
    return {
      reservations: [...(stored?.reservations.values() ?? [])],
      records: [...(stored?.turns.values() ?? [])],
    };
  }

  /** Returns the milliseconds until a program expires; 0 if it is unknown. */
  remainingMs(program: string, nowMs: number): number {
    return Math.max(0, (this.programs.get(program)?.expiresAtMs ?? nowMs) - nowMs);
  }

  /** Records that a program has run since a time, and returns the earliest such time. */
  recordStart(program: string, startedAtMs: number): number {
    const stored = this.programs.get(program);
    const earliestMs = Math.min(startedAtMs, stored?.startedAtMs ?? Infinity);
    if (stored) stored.startedAtMs = earliestMs;
    return earliestMs;
  }

  /** Removes expired programs, and the turns that no other program needs. */
  expire(nowMs: number): void {
    [...this.programs].forEach(([program, stored]) => {
      if (stored.expiresAtMs > nowMs) return;
      this.programs.delete(program);
      stored.turns.forEach((_, turn) => this.release(turn));
    });
  }

  /** Returns programs after the id `after` that satisfy `isWanted`, up to about `bytes`. */
  page(
    after: string,
    {
      isWanted,
      bytes,
      nowMs,
    }: { isWanted(program: string): boolean; bytes: number; nowMs: number },
  ): ProgramTablePage {
    const ids = [...this.programs.keys()].filter((id) => id > after && isWanted(id)).sort();
    const programs: ProgramCopy[] = [];
    let size = 0;
    for (const id of ids) {
      if (size > bytes) return { programs, hasMore: true };
      const copy = this.copy(id, nowMs);
      size += (copy.turns.length + copy.reservations.length) * BYTES_PER_ITEM;
      programs.push(copy);
    }
    return { programs, hasMore: false };
  }

  /** Number of stored programs and turns. */
  get size(): { programs: number; turns: number } {
    return { programs: this.programs.size, turns: this.storedTurns.size };
  }

  private release(turn: string): void {
    const stored = this.storedTurns.get(turn);
    if (!stored) return;
    stored.holders -= 1;
    if (stored.holders === 0) this.storedTurns.delete(turn);
  }

  private copy(program: string, nowMs: number): ProgramCopy {
    const stored = this.programs.get(program);
    return create(ProgramCopySchema, {
      program,
      reservations: [...(stored?.reservations.values() ?? [])],
      turns: [...(stored?.turns.keys() ?? [])],
      remainingMs: this.remainingMs(program, nowMs),
    });
  }

  private upsert(program: string, expiresAtMs: number): StoredProgram {
    const stored = this.programs.get(program) ?? {
      reservations: new Map(),
      turns: new Map(),
      expiresAtMs,
      startedAtMs: undefined,
    };
    stored.expiresAtMs = Math.max(stored.expiresAtMs, expiresAtMs);
    this.programs.set(program, stored);
    return stored;
  }
}

/** Merges two states of a turn's reservation in any order: a turn never uses more tokens than were
 * reserved for it, and a settlement is final. */
export function mergeReservations(one: Reservation, other: Reservation | undefined): Reservation {
  if (!other) return one;
  const tokens = Math.min(one.tokens, other.tokens);
  const settled = one.settled || other.settled;
  return create(ReservationSchema, { turn: one.turn, tokens, settled });
}
