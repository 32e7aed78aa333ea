import { CallError } from './callError';
import { PARTITION_COUNT } from './program';

/** The partition and the epoch under which an owner acts. */
export interface FenceToken {
  partition: number;
  epoch: number;
}

/** Remembers the highest epoch of each partition and refuses lower ones. */
export class EpochFence {
  private readonly highest = new Uint32Array(PARTITION_COUNT);

  /** Throws `stale-epoch` when a newer owner was seen. */
  admit(token: FenceToken | undefined): void {
    if (!token || token.partition >= PARTITION_COUNT) {
      const message = 'the request names no valid partition; update the entry';
      throw new CallError({ kind: 'invalid-request', message });
    }
    const known = this.highest[token.partition] ?? 0;
    if (token.epoch < known) {
      const message = `partition ${token.partition} has a newer owner (epoch ${known}, not ${token.epoch}); ask that owner`;
      throw new CallError({ kind: 'stale-epoch', message });
    }
    this.highest[token.partition] = token.epoch;
  }
}
