import { CallError, type Clock, parseProgramId, type Segment } from '@marjorampin/types';
import type { ProgramSnapshot } from './messages';

const SETTLE_WAIT_MS = 60_000;
const SETTLE_POLL_MS = 10;

interface Handed {
  epoch: number;
  /** Entry that handed the program over, and its start: a later one knows nothing of the call. */
  from: string;
  incarnation: string | undefined;
  state: ProgramSnapshot;
}

/** What the store of handovers needs. */
export interface HandoversOptions {
  clock: Clock;
  /** Returns the present start of an entry; undefined when it is no member. */
  incarnationOf(id: string): string | undefined;
}

/** Programs that former owners handed over and that were not taken up yet. */
export class Handovers {
  private readonly clock: Clock;

  private readonly incarnationOf: (id: string) => string | undefined;

  private readonly handed = new Map<string, Handed>();

  constructor({ clock, incarnationOf }: HandoversOptions) {
    this.clock = clock;
    this.incarnationOf = incarnationOf;
  }

  /** Notes the programs of a partition as their former owner knew them. */
  receive(epoch: number, from: string, programs: ProgramSnapshot[]): void {
    const incarnation = this.incarnationOf(from);
    programs.forEach((state) => {
      this.handed.set(state.program, { epoch, from, incarnation, state });
    });
  }

  /** Drops what was handed over for partitions that were lost again. */
  dropPartitions(partitions: Set<number>): void {
    [...this.handed.keys()].forEach((program) => {
      const parts = parseProgramId(program);
      if (parts && partitions.has(parts.partition)) this.handed.delete(program);
    });
  }

  /** Returns a running program's state, for the turn that its former owner still reports. */
  running(program: string): ProgramSnapshot | undefined {
    const handed = this.handed.get(program);
    return handed?.state.running ? handed.state : undefined;
  }

  /** Notes how the call at the former owner ended. */
  settle(state: ProgramSnapshot, segment: Segment | undefined, holders: string[]): void {
    const handed = this.handed.get(state.program);
    if (!handed) return;
    const turn = segment?.turn ?? state.turn;
    const digest = segment?.digest ?? state.digest;
    handed.state = { ...state, turn, digest, holders, running: false };
  }

  /** Takes a program's state, once no call of it runs elsewhere; undefined when unknown. */
  async take(program: string, epoch: number): Promise<ProgramSnapshot | undefined> {
    const giveUpAt = this.clock.now() + SETTLE_WAIT_MS;
    for (;;) {
      const handed = this.handed.get(program);
      if (!handed || handed.epoch !== epoch) return undefined;
      if (!handed.state.running) {
        this.handed.delete(program);
        return handed.state;
      }
      if (this.incarnationOf(handed.from) !== handed.incarnation) {
        // The former owner died in the middle of the call: what it said is no longer certain.
        this.handed.delete(program);
        return undefined;
      }
      if (this.clock.now() > giveUpAt) throw stillRunning(program);
      await this.clock.sleep(SETTLE_POLL_MS);
    }
  }
}

function stillRunning(program: string): CallError {
  const message = `a call of ${program} still runs at its former owner; retry later`;
  return new CallError({ kind: 'owner-unavailable', message, retryAfterMs: 1_000 });
}
