import type { TurnRecord } from '@marjorampin/protocol';
import { completeChain } from './turnChain';

/** Cache of recently read and written turns, limited in bytes. */
export class TurnCache {
  private readonly limitBytes: number;

  private readonly records = new Map<string, TurnRecord>();

  private bytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /** Returns a turn and its ancestors, oldest first; undefined if one of them is not cached. */
  chain(turn: string): TurnRecord[] | undefined {
    return completeChain(this.records, turn);
  }

  /** Adds a turn and evicts the oldest ones beyond the limit. */
  add(record: TurnRecord): void {
    if (this.records.has(record.turn)) return;
    this.records.set(record.turn, record);
    this.bytes += sizeOf(record);
    for (const [turn, oldest] of this.records) {
      if (this.bytes <= this.limitBytes) return;
      this.records.delete(turn);
      this.bytes -= sizeOf(oldest);
    }
  }
}

function sizeOf({ input, output }: TurnRecord): number {
  return input.length + output.length;
}
