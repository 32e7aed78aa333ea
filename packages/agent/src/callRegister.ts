import { CallError } from '@marjorampin/types';
import type { PlainOutcome } from './plainEndpoint';

/** What became of a call that must run at most once. */
export type VoidOutcome =
  { outcome: 'done'; result: PlainOutcome } | { outcome: 'refused' } | { outcome: 'unknown' };

type Entry = { state: 'refused' } | { state: 'started'; end: Promise<PlainOutcome> };

/** Keeps calls from running twice at one endpoint, for one start of its agent. */
export class CallRegister {
  private readonly entries = new Map<string, Entry>();

  /** Number of calls that are remembered. */
  get size(): number {
    return this.entries.size;
  }

  /** Runs a call, joins it when it already started, and refuses it when it was voided. */
  run(key: string, execute: () => Promise<PlainOutcome>): Promise<PlainOutcome> {
    const known = this.entries.get(key);
    if (known?.state === 'started') return known.end;
    if (known) return Promise.reject(voided(key));
    const end = execute();
    this.entries.set(key, { state: 'started', end });
    // The failure reaches whoever waits for the call; nobody else needs to hear of it.
    end.catch(() => undefined);
    return end;
  }

  /** Returns what became of a call; one that was never seen is refused from now on. */
  async void(key: string): Promise<VoidOutcome> {
    const known = this.entries.get(key);
    if (known?.state !== 'started') {
      this.entries.set(key, { state: 'refused' });
      return { outcome: 'refused' };
    }
    try {
      return { outcome: 'done', result: await known.end };
    } catch (error) {
      const isProvenNotRun = error instanceof CallError && error.execution === 'not-run';
      return { outcome: isProvenNotRun ? 'refused' : 'unknown' };
    }
  }

  /**
   * Forgets finished calls whose outcomes are in the ledger. A refused call is kept: whoever
   * prepared it may still send it.
   */
  settle(keys: string[]): void {
    keys.forEach((key) => {
      if (this.entries.get(key)?.state === 'started') this.entries.delete(key);
    });
  }
}

function voided(key: string): CallError {
  const message = `call ${key} was voided before it arrived; it did not run`;
  return new CallError({ kind: 'voided', message });
}
