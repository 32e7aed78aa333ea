import { createLedgerRecord } from '@marjorampin/ledger';
import { CallError } from '@marjorampin/types';
import type { Ledger } from './ledgerClient';

/** Number of chunks in which a grant is recorded. */
const CHUNKS_PER_GRANT = 8;

/** Returns the tokens in a chunk; the first chunk may be spent without a ledger record. */
export function chunkSize(granted: number): number {
  return Math.ceil(granted / CHUNKS_PER_GRANT);
}

/** Returns the ledger key of a program's budget. */
export function budgetKey(program: string): string {
  return `budget/${program}`;
}

/** Options of `BudgetAccount`. */
export interface BudgetAccountOptions {
  program: string;
  /** The whole budget, in tokens. */
  granted: number;
  spent?: number;
  /** Part of the budget that the owner may spend so far, from the ledger; 0 without a record. */
  recorded?: number;
  epoch: number;
  ledger: Ledger;
}

/**
 * Token budget of one program. The worst case of a call is reserved before it and settled after
 * it. Spending above the first chunk is recorded in the ledger in advance, which gives the next
 * owner of the program an upper bound.
 */
export class BudgetAccount {
  readonly granted: number;

  recorded: number;

  private readonly program: string;

  private readonly epoch: number;

  private readonly ledger: Ledger;

  private spentTokens: number;

  private reservedTokens = 0;

  constructor({ program, granted, spent = 0, recorded = 0, epoch, ledger }: BudgetAccountOptions) {
    this.program = program;
    this.granted = granted;
    this.recorded = recorded;
    this.epoch = epoch;
    this.ledger = ledger;
    this.spentTokens = spent;
  }

  get spent(): number {
    return this.spentTokens;
  }

  /** Total of tokens that may be spent before another record is needed. */
  get ceiling(): number {
    return Math.max(this.recorded, chunkSize(this.granted));
  }

  /** Sets the spent tokens to the upper bound of what a former owner spent. */
  assumeUpperBound(): void {
    this.spentTokens = Math.min(this.granted, this.ceiling);
  }

  /** Reserves tokens; throws `budget-exhausted` when fewer are left of the grant. */
  async reserve(tokens: number): Promise<void> {
    const needed = this.spentTokens + this.reservedTokens + tokens;
    if (needed > this.granted) throw this.exhausted(tokens);
    this.reservedTokens += tokens;
    if (needed <= this.ceiling) return;
    try {
      await this.raiseCeiling(needed);
    } catch (error) {
      this.reservedTokens -= tokens;
      throw error;
    }
  }

  /** Replaces a reservation with the tokens spent, at most those reserved. */
  settle(reserved: number, spent: number): void {
    this.reservedTokens -= reserved;
    this.spentTokens += Math.min(spent, reserved);
  }

  /** Adds back tokens that a sub-agent did not spend. */
  refund(tokens: number): void {
    this.spentTokens = Math.max(0, this.spentTokens - tokens);
  }

  /** Records the whole grant as used, which leaves a later owner nothing to spend. */
  async close(): Promise<void> {
    if (this.recorded < this.granted) await this.recordGranted(this.granted);
    this.spentTokens = this.granted;
  }

  private async raiseCeiling(needed: number): Promise<void> {
    const size = chunkSize(this.granted);
    const chunks = Math.ceil(needed / size);
    await this.recordGranted(Math.min(this.granted, chunks * size));
  }

  private async recordGranted(tokens: number): Promise<void> {
    const record = createLedgerRecord({
      key: budgetKey(this.program),
      kind: 'budget',
      program: this.program,
      epoch: this.epoch,
      granted: tokens,
      previousGranted: this.recorded,
    });
    const result = await this.ledger.append(record);
    if (result.err) throw result.val;
    const [existing] = result.val.conflictingRecords;
    // A record of this owner whose acknowledgement was lost counts as appended.
    const isOwnRecord = existing?.epoch === this.epoch && existing.granted >= tokens;
    if (!result.val.appended && !isOwnRecord) throw this.superseded();
    this.recorded = isOwnRecord ? existing.granted : tokens;
  }

  private exhausted(tokens: number): CallError {
    const left = this.granted - this.spentTokens - this.reservedTokens;
    const message = `the call may need ${tokens} tokens, but ${left} of ${this.granted} are left; end the program or ask for a larger budget in the contract`;
    return new CallError({ kind: 'budget-exhausted', message });
  }

  private superseded(): CallError {
    const message = `a newer owner manages the budget of ${this.program}; retry the call`;
    return new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
  }
}
