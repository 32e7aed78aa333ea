import type { TurnRecord } from '@marjorampin/protocol';

/** Returns the first turns up to a size in bytes, but at least one. */
export function firstBatch(records: TurnRecord[], maximumBytes: number): TurnRecord[] {
  let bytes = 0;
  const end = records.findIndex(({ input, output }) => {
    bytes += input.length + output.length;
    return bytes > maximumBytes;
  });
  return end < 0 ? records : records.slice(0, Math.max(1, end));
}

/** Splits turns into batches up to a size in bytes; a larger turn is a batch of its own. */
export function recordBatches(records: TurnRecord[], maximumBytes: number): TurnRecord[][] {
  const batches: TurnRecord[][] = [];
  let rest = records;
  while (rest.length > 0) {
    const batch = firstBatch(rest, maximumBytes);
    batches.push(batch);
    rest = rest.slice(batch.length);
  }
  return batches;
}
