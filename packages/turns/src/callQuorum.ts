import type { Keeper, Reply } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import { keepersUnavailable } from './keepersUnavailable';

/** Timeout of a call to a quorum; well above the time of a sync on a busy disk. */
export const QUORUM_TIMEOUT_MS = 900;

/** Time to read replies that arrived while this process was busy; at least one turn of the event
 * loop. */
const UNREAD_REPLIES_MS = 1;

/** Options of `callQuorum`. */
export interface QuorumOptions {
  /** Keepers in the order in which they are called. */
  group: Keeper[];
  /** Number of replies that make a quorum. */
  needed: number;
  /** Delay after which as many more keepers are called as replies are missing, and again after each
   * such delay. Each failed call makes the next one start immediately. */
  hedgeMs: number;
  timeoutMs: number;
  clock: Clock;
  /** Receives the keepers that have not replied when the delay `hedgeMs` is over. */
  onDelay?(keepers: Keeper[]): void;
  /** Receives the keepers that have not replied when the whole time is over. */
  onTimeout?(keepers: Keeper[]): void;
  /** Sends the request to one keeper; a rejection is a failure of that keeper. */
  call(keeper: Keeper, index: number): Promise<Reply>;
}

/** Resolves with the first `needed` replies, or rejects once that many can no longer arrive. */
export function callQuorum({
  group,
  needed,
  hedgeMs,
  timeoutMs,
  clock,
  onDelay = () => undefined,
  onTimeout = () => undefined,
  call,
}: QuorumOptions): Promise<Reply[]> {
  return new Promise((resolve, reject) => {
    const replies: Reply[] = [];
    const timers: (() => void)[] = [];
    const settled = new Set<Keeper>();
    let called = 0;
    let failed = 0;
    const finish = (settle: () => void) => {
      timers.forEach((cancel) => cancel());
      settle();
    };
    const callNext = async () => {
      const index = called;
      const keeper = group[index];
      if (!keeper) return;
      called += 1;
      try {
        const reply = await call(keeper, index).finally(() => settled.add(keeper));
        replies.push(reply);
        if (replies.length === needed) finish(() => resolve([...replies]));
      } catch (error) {
        failed += 1;
        const reason = error instanceof Error ? error.message : String(error);
        if (group.length - failed < needed) {
          const text = `${failed} of ${group.length} keepers failed (last error: ${reason})`;
          finish(() => reject(keepersUnavailable(text)));
          return;
        }
        callNext();
      }
    };
    if (group.length < needed) {
      const text = `${group.length} keepers are registered, and ${needed} have to store each write`;
      reject(keepersUnavailable(text));
      return;
    }
    const findSilent = () => group.slice(0, called).filter((keeper) => !settled.has(keeper));
    const callMissing = () => {
      onDelay(findSilent());
      const target = Math.min(group.length, called + needed - replies.length);
      while (called < target) callNext();
    };
    const scheduleHedge = () => {
      const hedge = () => {
        if (replies.length >= needed) return;
        callMissing();
        if (called < group.length) scheduleHedge();
      };
      // If this process was busy, replies that have arrived are read before the second delay ends.
      const readReplies = () => timers.push(clock.after(UNREAD_REPLIES_MS, hedge));
      timers.push(clock.after(hedgeMs, readReplies));
    };
    const giveUp = () => {
      onTimeout(findSilent());
      const text = `only ${replies.length} of the required ${needed} keepers replied in time`;
      finish(() => reject(keepersUnavailable(text)));
    };
    // If this process was paused, replies that have arrived are read first.
    const readLastReplies = () => timers.push(clock.after(UNREAD_REPLIES_MS, giveUp));
    timers.push(clock.after(timeoutMs, readLastReplies));
    scheduleHedge();
    while (called < needed) callNext();
  });
}
