import { type Clock, elapsedMs, type Instant } from '@marjorampin/types';

/** Share of the lease time after which unused tokens are exchanged for new ones. */
const RENEWAL_SHARE = 0.5;

/** Options of `Lease`. */
export interface LeaseOptions {
  clock: Clock;
  /** Id of the keeper that granted the tokens. */
  keeper: string;
  /** Identifies the grant at the keeper. */
  period: number;
  tokens: number;
  /** When the request for the tokens was sent. */
  sentAt: Instant;
  /** Time from then on in which tokens may be spent. */
  validMs: number;
}

/** Tokens that one keeper granted to this entry. */
export class Lease {
  readonly keeper: string;

  readonly period: number;

  private readonly options: LeaseOptions;

  private unused: number;

  constructor(options: LeaseOptions) {
    this.options = options;
    this.keeper = options.keeper;
    this.period = options.period;
    this.unused = options.tokens;
  }

  /** Number of tokens that have not been spent. */
  get unusedTokens(): number {
    return this.unused;
  }

  /** Whether tokens may still be spent. A pause of the process and a step of the clock count. */
  get isValid(): boolean {
    return this.ageMs < this.options.validMs;
  }

  /** Whether unused tokens should be exchanged before they are lost. */
  get isDue(): boolean {
    return this.ageMs >= this.options.validMs * RENEWAL_SHARE;
  }

  /** Takes a token; returns false if none is left or the lease has ended. */
  take(): boolean {
    if (this.unused === 0 || !this.isValid) return false;
    this.unused -= 1;
    return true;
  }

  /** Adds a token that was taken but not spent. */
  giveBack(): void {
    this.unused += 1;
  }

  /** Takes all tokens, to return them to the keeper; none once the lease has ended. */
  withdraw(): number {
    const withdrawn = this.isValid ? this.unused : 0;
    this.unused = 0;
    return withdrawn;
  }

  private get ageMs(): number {
    return elapsedMs(this.options.sentAt, this.options.clock);
  }
}
