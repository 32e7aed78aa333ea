import { CallError, type Clock, parseProgramId, type Segment } from '@marjorampin/types';
import type { ProgramSnapshot } from './messages';

/** Time for which a new owner waits for the end of a call that runs at the former owner. */
const FORMER_OWNER_CALL_TIMEOUT_MS = 60_000;
const FORMER_OWNER_POLL_INTERVAL_MS = 10;

interface HandedOverProgram {
  /** Epoch of the partition under the new owner. */
  epoch: number;
  formerOwner: string;
  /** Incarnation of the former owner; after a restart it can't report the running call's result. */
  incarnation: string | undefined;
  state: ProgramSnapshot;
}

/** Options of `HandedOverPrograms`. */
export interface HandedOverProgramsOptions {
  clock: Clock;
  /** Returns the current incarnation of an entry; undefined when it is not a member. */
  incarnationOf(id: string): string | undefined;
}

/** Programs that former owners handed over and that no call has loaded into memory yet. */
export class HandedOverPrograms {
  private readonly clock: Clock;

  private readonly incarnationOf: (id: string) => string | undefined;

  private readonly pending = new Map<string, HandedOverProgram>();

  constructor({ clock, incarnationOf }: HandedOverProgramsOptions) {
    this.clock = clock;
    this.incarnationOf = incarnationOf;
  }

  /** Adds the programs of a partition in the state that the former owner sent. */
  receive(epoch: number, formerOwner: string, programs: ProgramSnapshot[]): void {
    const incarnation = this.incarnationOf(formerOwner);
    programs.forEach((state) => {
      this.pending.set(state.program, { epoch, formerOwner, incarnation, state });
    });
  }

  /** Removes the programs of partitions that were lost again. */
  dropPartitions(partitions: Set<number>): void {
    [...this.pending.keys()].forEach((program) => {
      const parts = parseProgramId(program);
      if (parts && partitions.has(parts.partition)) this.pending.delete(program);
    });
  }

  /** Returns the state of a program whose call still runs at the former owner. */
  findRunning(program: string): ProgramSnapshot | undefined {
    const handedOver = this.pending.get(program);
    return handedOver?.state.running ? handedOver.state : undefined;
  }

  /** Records the end of the call at the former owner, with its turn if there is one. */
  recordCallEnd(state: ProgramSnapshot, segment: Segment | undefined, holders: string[]): void {
    const handedOver = this.pending.get(state.program);
    if (!handedOver) return;
    const turn = segment?.turn ?? state.turn;
    const digest = segment?.digest ?? state.digest;
    handedOver.state = { ...state, turn, digest, holders, running: false };
  }

  /**
   * Removes a program and returns its state once no call of it runs at the former owner; undefined
   * when it was not handed over or its state is uncertain. Throws `owner-unavailable` after
   * `FORMER_OWNER_CALL_TIMEOUT_MS`.
   */
  async take(program: string, epoch: number): Promise<ProgramSnapshot | undefined> {
    const waitUntilMs = this.clock.now() + FORMER_OWNER_CALL_TIMEOUT_MS;
    for (;;) {
      const handedOver = this.pending.get(program);
      if (!handedOver || handedOver.epoch !== epoch) return undefined;
      if (!handedOver.state.running) {
        this.pending.delete(program);
        return handedOver.state;
      }
      if (this.incarnationOf(handedOver.formerOwner) !== handedOver.incarnation) {
        // The former owner stopped during the call, so the state it sent may be out of date.
        this.pending.delete(program);
        return undefined;
      }
      if (this.clock.now() > waitUntilMs) throw stillRunning(program);
      await this.clock.sleep(FORMER_OWNER_POLL_INTERVAL_MS);
    }
  }
}

function stillRunning(program: string): CallError {
  const message = `a call of ${program} is still running at its former owner; retry later`;
  return new CallError({ kind: 'owner-unavailable', message, retryAfterMs: 1_000 });
}
