import type { TurnRecord } from '@marjorampin/protocol';
import { wholeChain } from './turnChain';

/** Turns that were read or written lately, up to a number of bytes. */
export class TurnCache {
  private readonly limitBytes: number;

  private readonly records = new Map<string, TurnRecord>();

  private bytes = 0;

  constructor(limitBytes: number) {
    this.limitBytes = limitBytes;
  }

  /** Returns a turn and all before it, or undefined when one of them is not remembered. */
  chain(turn: string): TurnRecord[] | undefined {
    return wholeChain(this.records, turn);
  }

  /** Remembers a turn and forgets the oldest ones beyond the limit. */
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
