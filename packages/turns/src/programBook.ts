import { create } from '@bufbuild/protobuf';
import {
  type ProgramCopy,
  ProgramCopySchema,
  type Reservation,
  ReservationSchema,
  type TurnRecord,
} from '@marjorampin/protocol';
import { heldChain } from './turnChain';

/** About what an id with its numbers takes in a message. */
const BYTES_PER_ENTRY = 32;

interface KeptProgram {
  /** Newest state by turn. */
  reservations: Map<string, Reservation>;
  /** Turns that the program has made and that are held. */
  turns: Set<string>;
  expiresAtMs: number;
}

/** A page of programs in the order of their ids. */
export interface BookPage {
  programs: ProgramCopy[];
  hasMore: boolean;
}

/** What a keeper holds in memory: reservations and turns by program, dropped after their time. */
export class ProgramBook {
  private readonly programs = new Map<string, KeptProgram>();

  private readonly recordByTurn = new Map<string, TurnRecord>();

  /** Notes a reservation and returns all others of the program. A repeated one gets those that were
   * copied from other keepers in the meantime, although they were made before it. */
  reserve(program: string, reservation: Reservation, expiresAtMs: number): Reservation[] {
    const kept = this.keep(program, expiresAtMs);
    const { turn } = reservation;
    const others = [...kept.reservations.values()].filter((other) => other.turn !== turn);
    kept.reservations.set(turn, newestOf(reservation, kept.reservations.get(turn)));
    return others;
  }

  /** Replaces the reservation of a turn by what it used. */
  settle(program: string, turn: string, tokens: number, expiresAtMs: number): void {
    const reservation = create(ReservationSchema, { turn, tokens, settled: true });
    this.reserve(program, reservation, expiresAtMs);
  }

  /** Adds a turn. */
  add(record: TurnRecord, expiresAtMs: number): void {
    const kept = this.keep(record.program, expiresAtMs);
    kept.turns.add(record.turn);
    this.recordByTurn.set(record.turn, record);
  }

  /** Returns a turn and those before it that are held, oldest first; empty when it is not held. */
  chain(turn: string): TurnRecord[] {
    return heldChain(this.recordByTurn, turn);
  }

  /** Returns the turns that are held of those given. */
  records(turns: string[]): TurnRecord[] {
    return turns.flatMap((turn) => this.recordByTurn.get(turn) ?? []);
  }

  /** Returns whether a reservation would change what is held. */
  isNews(program: string, reservation: Reservation): boolean {
    const known = this.programs.get(program)?.reservations.get(reservation.turn);
    if (!known) return true;
    const newest = newestOf(reservation, known);
    return newest.tokens !== known.tokens || newest.settled !== known.settled;
  }

  /** Returns whether a turn is held. */
  has(turn: string): boolean {
    return this.recordByTurn.has(turn);
  }

  /** Drops programs whose time has passed. */
  expire(nowMs: number): void {
    [...this.programs].forEach(([program, kept]) => {
      if (kept.expiresAtMs > nowMs) return;
      this.programs.delete(program);
      kept.turns.forEach((turn) => this.recordByTurn.delete(turn));
    });
  }

  /** Returns programs after a given one for which `isWanted` holds, up to about `bytes`. */
  page(
    after: string,
    {
      isWanted,
      bytes,
      nowMs,
    }: { isWanted(program: string): boolean; bytes: number; nowMs: number },
  ): BookPage {
    const ids = [...this.programs.keys()].filter((id) => id > after && isWanted(id)).sort();
    const programs: ProgramCopy[] = [];
    let size = 0;
    for (const id of ids) {
      if (size > bytes) return { programs, hasMore: true };
      const copy = this.copy(id, nowMs);
      size += (copy.turns.length + copy.reservations.length) * BYTES_PER_ENTRY;
      programs.push(copy);
    }
    return { programs, hasMore: false };
  }

  /** Number of programs and turns held. */
  get size(): { programs: number; turns: number } {
    return { programs: this.programs.size, turns: this.recordByTurn.size };
  }

  private copy(program: string, nowMs: number): ProgramCopy {
    const kept = this.programs.get(program);
    return create(ProgramCopySchema, {
      program,
      reservations: [...(kept?.reservations.values() ?? [])],
      turns: [...(kept?.turns ?? [])],
      remainingMs: Math.max(0, (kept?.expiresAtMs ?? nowMs) - nowMs),
    });
  }

  private keep(program: string, expiresAtMs: number): KeptProgram {
    const kept = this.programs.get(program) ?? {
      reservations: new Map(),
      turns: new Set(),
      expiresAtMs,
    };
    kept.expiresAtMs = Math.max(kept.expiresAtMs, expiresAtMs);
    this.programs.set(program, kept);
    return kept;
  }
}

/** Merges two states of a turn's reservation in any order: what a turn used is never more than what
 * was reserved for it, and a settlement is final. */
export function newestOf(one: Reservation, other: Reservation | undefined): Reservation {
  if (!other) return one;
  const tokens = Math.min(one.tokens, other.tokens);
  const settled = one.settled || other.settled;
  return create(ReservationSchema, { turn: one.turn, tokens, settled });
}
