import type { Handover, ProgramSettled } from '@marjorampin/protocol';
import { CallError, type Clock, parseProgramId, type Segment } from '@marjorampin/types';
import type { Handovers } from './handovers';
import type { HistoryKeeper } from './historyKeeper';
import { type ProgramSnapshot, segmentOf, snapshotOf } from './messages';
import type { Ownership } from './ownership';

/** A word that the table does not confirm for this long is passed over. */
const APPLY_WAIT_MS = 3_000;
const APPLY_POLL_MS = 10;

/** What a receiver of handovers needs. */
export interface HandoverReceiverOptions {
  handovers: Handovers;
  ownership: Ownership;
  history: HistoryKeeper;
  clock: Clock;
}

/** Takes in what former owners say about partitions and calls that they gave up. */
export class HandoverReceiver {
  private readonly options: HandoverReceiverOptions;

  /** Words that came before this process saw that it owns the partition. */
  private readonly early = new Map<number, Handover>();

  constructor(options: HandoverReceiverOptions) {
    this.options = options;
  }

  /** Notes a partition's programs; the word may come before the table says so here. */
  receive(handover: Handover): void {
    this.early.set(handover.partition, handover);
    this.apply(handover.partition);
  }

  /** Applies a former owner's word, if it is awaited and has come. */
  apply(partition: number): void {
    const { handovers, ownership } = this.options;
    const handover = this.early.get(partition);
    if (!handover) return;
    const { epoch, programs, sender } = handover;
    if (!ownership.isAwaited(partition, epoch, sender)) return;
    this.early.delete(partition);
    handovers.receive(epoch, sender, programs.map(snapshotOf));
    ownership.receiveHandover(partition);
  }

  /** Keeps the turn of a call that ended at the former owner; returns its holders. */
  async receiveSettled({ program, segment }: ProgramSettled): Promise<string[]> {
    const { handovers } = this.options;
    await this.untilApplied(program?.program ?? '');
    const known = handovers.running(program?.program ?? '');
    if (!program || !known) {
      const message = 'the program was taken up without its former owner; retry the call';
      throw new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
    }
    const state = snapshotOf(program);
    if (!segment) {
      handovers.settle(state, undefined, state.holders);
      return state.holders;
    }
    const kept = segmentOf(segment);
    const holders = await this.keep(state, known, kept);
    handovers.settle(state, kept, holders);
    return holders;
  }

  /** The end of a call may be told before the table shows here that its partition moved. */
  private async untilApplied(program: string): Promise<void> {
    const { clock } = this.options;
    const partition = parseProgramId(program)?.partition ?? -1;
    const giveUpAt = clock.now() + APPLY_WAIT_MS;
    while (this.early.has(partition) && clock.now() < giveUpAt) await clock.sleep(APPLY_POLL_MS);
  }

  private async keep(
    state: ProgramSnapshot,
    known: ProgramSnapshot,
    segment: Segment,
  ): Promise<string[]> {
    const { ownership, history } = this.options;
    const { partition, customer } = parseProgramId(state.program) ?? { partition: 0, customer: '' };
    const epoch = await ownership.epochOf(partition);
    const token = { partition, epoch };
    const { turn, digest, granted, spent, holders } = known;
    const before = { program: state.program, customer, turn, digest, granted, spent, holders };
    const chain = await history.find(token, {
      ...before,
      parent: '',
      epoch,
      endpoints: [],
      expiresMs: 0,
    });
    if (!chain) {
      const message = 'the turns before this one can not be read; retry the call';
      throw new CallError({ kind: 'owner-unavailable', message, execution: 'unknown' });
    }
    return history.store(token, [...chain.slice(0, turn), segment], holders);
  }
}
