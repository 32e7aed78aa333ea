import { getHeapStatistics } from 'node:v8';

/** Share of the heap that the inputs and answers in progress may take: half of the heap is for the process
 * itself, and the rest for copies, some of which exist until the next collection of garbage. */
const HELD_SHARE = 1 / 8;

/** Returns the limit of the bytes that all calls of this process hold together. */
export function heldLimitBytes(): number {
  return Math.floor(getHeapStatistics().heap_size_limit * HELD_SHARE);
}
