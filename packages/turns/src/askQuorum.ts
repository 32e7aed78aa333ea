import type { Keeper, Reply } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';
import { keepersUnavailable } from './keepersUnavailable';

/** A quorum that does not answer within this time is given up; well above a sync on a busy disk. */
export const QUORUM_TIMEOUT_MS = 900;

/** Whom to ask, and how many answers are enough. */
export interface QuorumOptions {
  /** In the order in which they are asked. */
  group: Keeper[];
  needed: number;
  /** Those beyond the first `needed` are asked after this long, or in place of one that fails. */
  hedgeMs: number;
  timeoutMs: number;
  clock: Clock;
  /** Sends the request to one keeper; a rejection is a failure of that keeper. */
  ask(keeper: Keeper, index: number): Promise<Reply>;
}

/** Resolves with the first `needed` answers, or rejects once so many can't be had any more. */
export function askQuorum({
  group,
  needed,
  hedgeMs,
  timeoutMs,
  clock,
  ask,
}: QuorumOptions): Promise<Reply[]> {
  return new Promise((resolve, reject) => {
    const answers: Reply[] = [];
    const timers: (() => void)[] = [];
    let asked = 0;
    let failed = 0;
    const end = (settle: () => void) => {
      timers.forEach((cancel) => cancel());
      settle();
    };
    const askNext = async () => {
      const index = asked;
      const keeper = group[index];
      if (!keeper) return;
      asked += 1;
      try {
        answers.push(await ask(keeper, index));
        if (answers.length === needed) end(() => resolve([...answers]));
      } catch (error) {
        failed += 1;
        const reason = error instanceof Error ? error.message : String(error);
        if (group.length - failed < needed) {
          const text = `${failed} of ${group.length} keepers failed, the last: ${reason}`;
          end(() => reject(keepersUnavailable(text)));
          return;
        }
        askNext();
      }
    };
    if (group.length === 0) {
      reject(keepersUnavailable('no keeper is registered'));
      return;
    }
    const askRest = () => {
      while (asked < group.length) askNext();
    };
    const giveUp = () => {
      const text = `${answers.length} of ${needed} keepers answered in time`;
      end(() => reject(keepersUnavailable(text)));
    };
    timers.push(clock.after(hedgeMs, askRest), clock.after(timeoutMs, giveUp));
    while (asked < needed) askNext();
  });
}
