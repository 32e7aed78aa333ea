import { create } from '@bufbuild/protobuf';
import {
  type ProgramCopy,
  ProgramCopySchema,
  type Reservation,
  ReservationSchema,
  type TurnRecord,
} from '@marjorampin/protocol';

/** About what an id with its numbers takes in a message. */
const BYTES_PER_ENTRY = 32;

interface KeptProgram {
  /** Tokens by turn. */
  reservations: Map<string, number>;
  records: Map<string, TurnRecord>;
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

  private readonly programOfTurn = new Map<string, string>();

  /** Notes a reservation and returns all others of the program. A repeated one gets those that were
   * copied from other keepers in the meantime, although they were made before it. */
  reserve(program: string, { turn, tokens }: Reservation, expiresAtMs: number): Reservation[] {
    const kept = this.keep(program, expiresAtMs);
    const known = kept.reservations.get(turn);
    const others = [...kept.reservations]
      .filter(([other]) => other !== turn)
      .map(([other, otherTokens]) =>
        create(ReservationSchema, { turn: other, tokens: otherTokens }),
      );
    // What a turn used is never more than what was reserved for it, so the lower value is newer.
    kept.reservations.set(turn, Math.min(tokens, known ?? tokens));
    return others;
  }

  /** Replaces the reservation of a turn by what it used. */
  settle(program: string, turn: string, tokens: number, expiresAtMs: number): void {
    this.reserve(program, create(ReservationSchema, { turn, tokens }), expiresAtMs);
  }

  /** Adds a turn. */
  add(record: TurnRecord, expiresAtMs: number): void {
    const kept = this.keep(record.program, expiresAtMs);
    kept.records.set(record.turn, record);
    this.programOfTurn.set(record.turn, record.program);
  }

  /** Returns a turn and those before it that are held, oldest first; empty when it is not held. */
  chain(turn: string): TurnRecord[] {
    const last = this.find(turn);
    if (!last) return [];
    return [...last.ancestors.flatMap((ancestor) => this.find(ancestor) ?? []), last];
  }

  /** Returns the turns that are held of those given. */
  records(turns: string[]): TurnRecord[] {
    return turns.flatMap((turn) => this.find(turn) ?? []);
  }

  /** Returns whether a reservation would change what is held. */
  isNews(program: string, { turn, tokens }: Reservation): boolean {
    const known = this.programs.get(program)?.reservations.get(turn);
    return known === undefined || tokens < known;
  }

  /** Returns whether a turn is held. */
  has(turn: string): boolean {
    return this.programOfTurn.has(turn);
  }

  /** Drops programs whose time has passed. */
  expire(nowMs: number): void {
    [...this.programs].forEach(([program, kept]) => {
      if (kept.expiresAtMs > nowMs) return;
      this.programs.delete(program);
      [...kept.records.keys()].forEach((turn) => this.programOfTurn.delete(turn));
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
    return { programs: this.programs.size, turns: this.programOfTurn.size };
  }

  private copy(program: string, nowMs: number): ProgramCopy {
    const kept = this.programs.get(program);
    return create(ProgramCopySchema, {
      program,
      reservations: [...(kept?.reservations ?? [])].map(([turn, tokens]) => ({ turn, tokens })),
      turns: [...(kept?.records.keys() ?? [])],
      remainingMs: Math.max(0, (kept?.expiresAtMs ?? nowMs) - nowMs),
    });
  }

  private find(turn: string): TurnRecord | undefined {
    const program = this.programOfTurn.get(turn);
    return program === undefined ? undefined : this.programs.get(program)?.records.get(turn);
  }

  private keep(program: string, expiresAtMs: number): KeptProgram {
    const kept = this.programs.get(program) ?? {
      reservations: new Map(),
      records: new Map(),
      expiresAtMs,
    };
    kept.expiresAtMs = Math.max(kept.expiresAtMs, expiresAtMs);
    this.programs.set(program, kept);
    return kept;
  }
}
