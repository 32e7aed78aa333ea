import type { TurnRecord } from '@marjorampin/protocol';

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
    const last = this.records.get(turn);
    if (!last) return undefined;
    const chain = [...last.ancestors.flatMap((ancestor) => this.records.get(ancestor) ?? []), last];
    return chain.length === last.ancestors.length + 1 ? chain : undefined;
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

/** Returns a turn and all before it out of records in any order; undefined when one is missing. */
export function assembleChain(records: TurnRecord[], turn: string): TurnRecord[] | undefined {
  const byTurn = new Map(records.map((record) => [record.turn, record]));
  const last = byTurn.get(turn);
  if (!last) return undefined;
  const chain = [...last.ancestors.flatMap((ancestor) => byTurn.get(ancestor) ?? []), last];
  return chain.length === last.ancestors.length + 1 ? chain : undefined;
}
