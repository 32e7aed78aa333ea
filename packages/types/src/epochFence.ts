import { CallError } from './callError';
import { PARTITION_COUNT } from './program';

/** Partition of a request, and the epoch in which the sender owns it. */
export interface FenceToken {
  partition: number;
  epoch: number;
}

/** Tracks the highest epoch seen for each partition, to reject requests of former owners. */
export class EpochFence {
  private readonly highestEpochs = new Uint32Array(PARTITION_COUNT);

  /**
   * Checks and records the epoch of a token. Throws `stale-epoch` if a higher one was recorded for
   * the partition, and `invalid-request` if the token is missing or its partition does not exist.
   */
  check(token: FenceToken | undefined): void {
    if (!token || token.partition >= PARTITION_COUNT) {
      const message =
        'the request has no valid partition; run the same version of marjorampin on all hosts';
      throw new CallError({ kind: 'invalid-request', message });
    }
    const highestEpoch = this.highestEpochs[token.partition] ?? 0;
    if (token.epoch < highestEpoch) {
      const message = `partition ${token.partition} has a newer owner (epoch ${highestEpoch}, not ${token.epoch}); retry at its owner`;
      throw new CallError({ kind: 'stale-epoch', message });
    }
    this.highestEpochs[token.partition] = token.epoch;
  }
}
