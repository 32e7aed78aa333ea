import type { EventLog } from '@marjorampin/logging';
import type { PeerPool } from '@marjorampin/protocol';
import { CallError, type Clock, type Segment } from '@marjorampin/types';
import { stateOf } from './messages';
import type { Program } from './program';
import type { ProgramRegistry } from './programRegistry';

const HANDOVER_TIMEOUT_MS = 2_000;
const SETTLE_TIMEOUT_MS = 5_000;
const REPORT_ATTEMPTS = 5;
const REPORT_PAUSE_MS = 200;

/** What a sender of handovers needs. */
export interface HandoverSenderOptions {
  self: string;
  registry: ProgramRegistry;
  peers: PeerPool;
  clock: Clock;
  log: EventLog;
  /** Returns the peer address of an entry. */
  addressOf(entry: string): string | undefined;
}

/** A partition that another entry owns now. */
export interface LostPartition {
  partition: number;
  owner: string;
  epoch: number;
}

/** Tells new owners what this process knows of the partitions that it gave up. */
export class HandoverSender {
  private readonly options: HandoverSenderOptions;

  constructor(options: HandoverSenderOptions) {
    this.options = options;
  }

  /** Sends the states of all programs of lost partitions, running ones included. */
  send(lost: LostPartition[]): void {
    const { log } = this.options;
    lost.forEach((each) => this.sendPartition(each));
    log.write('partitionsLost', { count: lost.length, owner: lost[0]?.owner });
  }

  /** Lets the new owner keep the turn of a call that ran here; returns the holders. */
  async settle(program: Program, segment?: Segment): Promise<string[]> {
    const { peers } = this.options;
    const address = program.departedTo;
    if (!address) throw notDeparted(program.id);
    const value = { program: stateOf(program), ...(segment ? { segment } : {}) };
    const options = { progressTimeoutMs: SETTLE_TIMEOUT_MS };
    const reply = await peers.get(address).call({ case: 'programSettled', value }, options);
    const departed = program;
    departed.isDepartureReported = true;
    return reply.body.case === 'heldBy' ? reply.body.value.holders : [];
  }

  /** Tells the new owner that no call runs here any more; repeats it until it is heard. */
  async report(program: Program): Promise<void> {
    for (let attempt = 1; attempt <= REPORT_ATTEMPTS; attempt += 1) {
      if (program.isDepartureReported) return;
      await this.settle(program).catch(() => undefined);
      await this.options.clock.sleep(REPORT_PAUSE_MS);
    }
  }

  private async sendPartition({ partition, owner, epoch }: LostPartition): Promise<void> {
    const { self, registry, peers, addressOf } = this.options;
    const address = addressOf(owner);
    const programs = registry.ofPartition(partition);
    const states = programs.map(stateOf);
    programs.forEach((program) => {
      const departing = program;
      departing.departedTo = address;
      this.forgetWhenIdle(program);
    });
    if (!address) return;
    const value = { partition, epoch, programs: states, sender: self };
    const options = { progressTimeoutMs: HANDOVER_TIMEOUT_MS };
    // Without this word the new owner assumes upper bounds, which is safe.
    await peers
      .get(address)
      .call({ case: 'handover', value }, options)
      .catch(() => undefined);
  }

  private async forgetWhenIdle(program: Program): Promise<void> {
    const { registry } = this.options;
    await program.whenIdle();
    if (registry.get(program.id) === program) registry.forget(program.id);
  }
}

function notDeparted(program: string): CallError {
  const message = `the new owner of ${program} is not a member; retry the call`;
  return new CallError({ kind: 'not-owner', message, execution: 'unknown', retryAfterMs: 200 });
}
