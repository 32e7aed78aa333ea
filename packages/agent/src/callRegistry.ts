import { CallError } from '@marjorampin/types';
import type { PlainOutcome } from './plainEndpoint';

/**
 * Result of voiding an at-most-once call: `done` when the service responded, `refused` when the call
 * did not run and never will, `unknown` when it may have run.
 */
export type VoidOutcome =
  { outcome: 'done'; result: PlainOutcome } | { outcome: 'refused' } | { outcome: 'unknown' };

type RegisteredCall =
  { state: 'refused' } | { state: 'started'; completion: Promise<PlainOutcome> };

/** Executes each call at most once at one endpoint, within one incarnation of its agent. */
export class CallRegistry {
  private readonly calls = new Map<string, RegisteredCall>();

  /** Number of registered calls. */
  get size(): number {
    return this.calls.size;
  }

  /** Executes a call. A repeated call shares the first execution; a voided one is rejected. */
  run(key: string, execute: () => Promise<PlainOutcome>): Promise<PlainOutcome> {
    const call = this.calls.get(key);
    if (call?.state === 'started') return call.completion;
    if (call) return Promise.reject(voidedError(key));
    const completion = execute();
    this.calls.set(key, { state: 'started', completion });
    // Callers of `run` handle the rejection; this avoids an unhandled one if nobody awaits it.
    completion.catch(() => undefined);
    return completion;
  }

  /** Voids a call: awaits the result if it has started, and refuses it from now on if it has not. */
  async void(key: string): Promise<VoidOutcome> {
    const call = this.calls.get(key);
    if (call?.state !== 'started') {
      this.calls.set(key, { state: 'refused' });
      return { outcome: 'refused' };
    }
    try {
      return { outcome: 'done', result: await call.completion };
    } catch (error) {
      const isProvenNotRun = error instanceof CallError && error.execution === 'not-run';
      return { outcome: isProvenNotRun ? 'refused' : 'unknown' };
    }
  }

  /**
   * Removes finished calls, whose outcomes the ledger has recorded. A voided call stays: the entry
   * that prepared it may still send it.
   */
  settle(keys: string[]): void {
    keys.forEach((key) => {
      if (this.calls.get(key)?.state === 'started') this.calls.delete(key);
    });
  }
}

function voidedError(key: string): CallError {
  const message = `call ${key} was voided before it arrived; it did not run`;
  return new CallError({ kind: 'voided', message });
}
