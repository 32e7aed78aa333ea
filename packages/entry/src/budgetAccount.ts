import { createLedgerRecord } from '@marjorampin/ledger';
import { CallError } from '@marjorampin/types';
import type { Ledger } from './ledgerClient';

/** A grant is recorded in this many chunks. */
const CHUNKS_PER_GRANT = 8;

/** Part of the grant that may be spent without a record in the ledger. */
export function firstChunk(granted: number): number {
  return Math.ceil(granted / CHUNKS_PER_GRANT);
}

/** Ledger key of a program's budget. */
export function budgetKey(program: string): string {
  return `budget/${program}`;
}

/** What an account starts from. */
export interface BudgetAccountOptions {
  program: string;
  granted: number;
  spent?: number;
  /** Tokens that the ledger says are granted; 0 when it has no record. */
  recorded?: number;
  epoch: number;
  ledger: Ledger;
}

/**
 * The budget of one program: worst cases are reserved before a call and settled after it.
 * Spending above the first chunk is recorded ahead in the ledger, so that whoever takes the
 * program over knows an upper bound.
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

  /** What may be spent without another record. */
  get ceiling(): number {
    return Math.max(this.recorded, firstChunk(this.granted));
  }

  /** Assumes that everything was spent that could have been. */
  assumeUpperBound(): void {
    this.spentTokens = Math.min(this.granted, this.ceiling);
  }

  /** Sets tokens aside; throws `budget-exhausted` when the grant does not hold them. */
  async reserve(tokens: number): Promise<void> {
    const needed = this.spentTokens + this.reservedTokens + tokens;
    if (needed > this.granted) throw this.exhausted(tokens);
    this.reservedTokens += tokens;
    if (needed <= this.ceiling) return;
    try {
      await this.raise(needed);
    } catch (error) {
      this.reservedTokens -= tokens;
      throw error;
    }
  }

  /** Replaces a reservation by what was really spent. */
  settle(reserved: number, spent: number): void {
    this.reservedTokens -= reserved;
    this.spentTokens += Math.min(spent, reserved);
  }

  /** Takes back what a sub-agent left of its part. */
  refund(tokens: number): void {
    this.spentTokens = Math.max(0, this.spentTokens - tokens);
  }

  /** Records the whole grant as used, so that the account can never be opened again. */
  async close(): Promise<void> {
    if (this.recorded < this.granted) await this.record(this.granted);
    this.spentTokens = this.granted;
  }

  private async raise(needed: number): Promise<void> {
    const chunk = firstChunk(this.granted);
    const chunks = Math.ceil(needed / chunk);
    await this.record(Math.min(this.granted, chunks * chunk));
  }

  private async record(granted: number): Promise<void> {
    const record = createLedgerRecord({
      key: budgetKey(this.program),
      kind: 'budget',
      program: this.program,
      epoch: this.epoch,
      granted,
      previousGranted: this.recorded,
    });
    const result = await this.ledger.append(record);
    if (result.err) throw result.val;
    const [standing] = result.val.standing;
    // A record of our own whose answer was lost stands as if it had been appended now.
    const isOwn = standing?.epoch === this.epoch && standing.granted >= granted;
    if (!result.val.appended && !isOwn) throw this.superseded();
    this.recorded = isOwn ? standing.granted : granted;
  }

  private exhausted(tokens: number): CallError {
    const left = this.granted - this.spentTokens - this.reservedTokens;
    const message = `the call may need ${tokens} tokens, but ${left} of ${this.granted} are left; end the program or ask for a larger budget in the contract`;
    return new CallError({ kind: 'budget-exhausted', message });
  }

  private superseded(): CallError {
    const message = `the budget of ${this.program} is kept by a newer owner; retry the call`;
    return new CallError({ kind: 'not-owner', message, retryAfterMs: 100 });
  }
}
