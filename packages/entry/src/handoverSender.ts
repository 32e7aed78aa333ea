import type { EventLog } from '@marjorampin/logging';
import type { PeerPool } from '@marjorampin/protocol';
import { CallError, type Clock, type Segment } from '@marjorampin/types';
import { snapshotProgram } from './messages';
import type { Program } from './program';
import type { ProgramRegistry } from './programRegistry';

const HANDOVER_REQUEST_TIMEOUT_MS = 2_000;
/** Timeout of a report that a call ended, which includes storing its turn at the new owner. */
const CALL_END_REPORT_TIMEOUT_MS = 5_000;
const MAXIMUM_REPORT_ATTEMPTS = 5;
const REPORT_RETRY_DELAY_MS = 200;

/** Options of `HandoverSender`. */
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

/** Hands over lost partitions to their new owners, then sends them the results of calls that were
 * still running here. */
export class HandoverSender {
  private readonly options: HandoverSenderOptions;

  constructor(options: HandoverSenderOptions) {
    this.options = options;
  }

  /** Sends the state of all programs of the lost partitions, including those with a running call. */
  sendHandovers(lost: LostPartition[]): void {
    const { log } = this.options;
    lost.forEach((lostPartition) => this.sendHandover(lostPartition));
    log.write('partitionsLost', { count: lost.length, owner: lost[0]?.owner });
  }

  /**
   * Reports the end of a program's call to the new owner, in one attempt. The new owner stores the
   * call's turn if there is one; returns the ids of the entries that store it.
   */
  async sendCallEnd(program: Program, segment?: Segment): Promise<string[]> {
    const { peers } = this.options;
    const address = program.newOwnerAddress;
    if (!address) throw newOwnerUnavailable(program.id);
    const value = { program: snapshotProgram(program), ...(segment ? { segment } : {}) };
    const options = { progressTimeoutMs: CALL_END_REPORT_TIMEOUT_MS };
    const reply = await peers.get(address).call({ case: 'programSettled', value }, options);
    const lostProgram = program;
    lostProgram.isCallEndReported = true;
    return reply.body.case === 'heldBy' ? reply.body.value.holders : [];
  }

  /**
   * Reports to the new owner that the program's call ended without a turn, in up to
   * `MAXIMUM_REPORT_ATTEMPTS` attempts.
   */
  async sendCallEndWithRetries(program: Program): Promise<void> {
    for (let attempt = 1; attempt <= MAXIMUM_REPORT_ATTEMPTS; attempt += 1) {
      if (program.isCallEndReported) return;
      await this.sendCallEnd(program).catch(() => undefined);
      await this.options.clock.sleep(REPORT_RETRY_DELAY_MS);
    }
  }

  private async sendHandover({ partition, owner, epoch }: LostPartition): Promise<void> {
    const { self, registry, peers, addressOf } = this.options;
    const address = addressOf(owner);
    const programs = registry.ofPartition(partition);
    const states = programs.map(snapshotProgram);
    programs.forEach((program) => {
      const lostProgram = program;
      lostProgram.newOwnerAddress = address;
      this.removeWhenIdle(program);
    });
    if (!address) return;
    const value = { partition, epoch, programs: states, sender: self };
    const options = { progressTimeoutMs: HANDOVER_REQUEST_TIMEOUT_MS };
    // A lost handover is safe: the new owner then assumes the upper bound of the spent budget.
    await peers
      .get(address)
      .call({ case: 'handover', value }, options)
      .catch(() => undefined);
  }

  private async removeWhenIdle(program: Program): Promise<void> {
    const { registry } = this.options;
    await program.whenIdle();
    if (registry.get(program.id) === program) registry.remove(program.id);
  }
}

function newOwnerUnavailable(program: string): CallError {
  const message = `the new owner of ${program} is not a registered member; retry the call`;
  return new CallError({ kind: 'not-owner', message, execution: 'unknown', retryAfterMs: 200 });
}
