import type { Handover, ProgramSettled } from '@marjorampin/protocol';
import { CallError, type Clock, parseProgramId, type Segment } from '@marjorampin/types';
import type { HandedOverPrograms } from './handedOverPrograms';
import type { HistoryReplicator } from './historyReplicator';
import { type ProgramSnapshot, segmentOf, snapshotOf } from './messages';
import type { Ownership } from './ownership';

/** Time for which the report of an ended call waits for the handover of its partition. */
const APPLY_TIMEOUT_MS = 3_000;
const POLL_INTERVAL_MS = 10;

/** Options of `HandoverReceiver`. */
export interface HandoverReceiverOptions {
  handedOverPrograms: HandedOverPrograms;
  ownership: Ownership;
  history: HistoryReplicator;
  clock: Clock;
}

/** Receives the handovers of partitions, and the results of calls that end at a former owner. */
export class HandoverReceiver {
  private readonly options: HandoverReceiverOptions;

  /** Handovers that arrived before the partition table showed the new owner here, by partition. */
  private readonly pending = new Map<number, Handover>();

  constructor(options: HandoverReceiverOptions) {
    this.options = options;
  }

  /** Accepts a handover, which may arrive before the partition table shows the new owner here. */
  receive(handover: Handover): void {
    this.pending.set(handover.partition, handover);
    this.apply(handover.partition);
  }

  /** Applies the pending handover of a partition if this process owns the partition by now. */
  apply(partition: number): void {
    const { handedOverPrograms, ownership } = this.options;
    const handover = this.pending.get(partition);
    if (!handover) return;
    const { epoch, programs, sender } = handover;
    if (!ownership.isAwaitingHandover(partition, epoch, sender)) return;
    this.pending.delete(partition);
    handedOverPrograms.receive(epoch, sender, programs.map(snapshotOf));
    ownership.confirmHandover(partition);
  }

  /**
   * Stores the turn of a call that ended at the former owner and returns its holders. Throws
   * `not-owner` when this process has no handover of the program with a running call.
   */
  async receiveCallEnd({ program, segment }: ProgramSettled): Promise<string[]> {
    const { handedOverPrograms } = this.options;
    await this.whenApplied(program?.program ?? '');
    const handedOver = handedOverPrograms.findRunning(program?.program ?? '');
    if (!program || !handedOver) {
      const message =
        'the program was recovered without a handover from its former owner; retry the call';
      throw new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
    }
    const state = snapshotOf(program);
    if (!segment) {
      handedOverPrograms.recordCallEnd(state, undefined, state.holders);
      return state.holders;
    }
    const receivedSegment = segmentOf(segment);
    const holders = await this.storeTurn(state, handedOver, receivedSegment);
    handedOverPrograms.recordCallEnd(state, receivedSegment, holders);
    return holders;
  }

  /** Waits until a pending handover is applied: the end of a call may be reported before that. */
  private async whenApplied(program: string): Promise<void> {
    const { clock } = this.options;
    const partition = parseProgramId(program)?.partition ?? -1;
    const endMs = clock.now() + APPLY_TIMEOUT_MS;
    while (this.pending.has(partition) && clock.now() < endMs) await clock.sleep(POLL_INTERVAL_MS);
  }

  private async storeTurn(
    state: ProgramSnapshot,
    previousState: ProgramSnapshot,
    segment: Segment,
  ): Promise<string[]> {
    const { ownership, history } = this.options;
    const { partition, customer } = parseProgramId(state.program) ?? { partition: 0, customer: '' };
    const epoch = await ownership.epochOf(partition);
    const fenceToken = { partition, epoch };
    const { turn, digest, granted, spent, holders } = previousState;
    const continuationFields = {
      program: state.program,
      customer,
      turn,
      digest,
      granted,
      spent,
      holders,
    };
    const chain = await history.find(fenceToken, {
      ...continuationFields,
      parent: '',
      epoch,
      endpoints: [],
      expiresMs: 0,
    });
    if (!chain) {
      const message = 'the previous turns of the program cannot be read; retry the call';
      throw new CallError({ kind: 'owner-unavailable', message, execution: 'unknown' });
    }
    return history.store(fenceToken, [...chain.slice(0, turn), segment], holders);
  }
}
