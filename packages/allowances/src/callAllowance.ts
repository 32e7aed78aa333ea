import { CallError } from '@marjorampin/types';

/** Right to send one request to an endpoint. */
export interface AllowanceToken {
  /** Makes the token available to other calls if it is still valid. */
  giveBack(): void;
}

/** Where calls of one account get tokens from. */
export interface TokenSource {
  /** Takes a token; throws a `CallError` if there is none. */
  take(remainingMs: number): Promise<AllowanceToken>;
}

const UNLIMITED_TOKEN: AllowanceToken = {
  giveBack: () => {
    // Nothing is counted.
  },
};

const UNLIMITED_SOURCE: TokenSource = { take: async () => UNLIMITED_TOKEN };

/** Allowance of one call: a token for each time that it is sent to an endpoint which may run it. */
export class CallAllowance {
  private readonly source: TokenSource;

  /** Token that no attempt has used. */
  private unspent: AllowanceToken | undefined;

  /** Token of the attempt in progress or of the last one. */
  private spent: AllowanceToken | undefined;

  private constructor(source: TokenSource, token: AllowanceToken) {
    this.source = source;
    this.unspent = token;
  }

  /** Acquires the first token of a call. */
  static async acquire(source: TokenSource, remainingMs: number): Promise<CallAllowance> {
    return new CallAllowance(source, await source.take(remainingMs));
  }

  /** Returns the allowance of a call without a limit. */
  static unlimited(): CallAllowance {
    return new CallAllowance(UNLIMITED_SOURCE, UNLIMITED_TOKEN);
  }

  /** Spends a token on an attempt that may run. */
  spend(): void {
    this.spent = this.unspent;
    this.unspent = undefined;
  }

  /** Restores the token of the last attempt, which certainly did not run. */
  restore(): void {
    this.unspent ??= this.spent;
    this.spent = undefined;
  }

  /** Returns whether the call may be sent again; takes a further token if an attempt may have run. */
  async renew(remainingMs: number): Promise<boolean> {
    if (this.unspent) return true;
    try {
      this.unspent = await this.source.take(remainingMs);
      return true;
    } catch (error) {
      if (error instanceof CallError) return false;
      throw error;
    }
  }

  /** Ends the call; gives a token that was not spent back, once. */
  close(): void {
    const { unspent } = this;
    this.unspent = undefined;
    this.spent = undefined;
    unspent?.giveBack();
  }
}
