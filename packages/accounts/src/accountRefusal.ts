import { CallError, type CallErrorOptions } from '@marjorampin/types';

/** Why a request was refused on behalf of its client account. */
export const REFUSAL_REASONS = [
  'key-unknown',
  'key-absent',
  'key-malformed',
  'configuration-old',
  'allowance',
] as const;

/** Why a request was refused on behalf of its client account. */
export type RefusalReason = (typeof REFUSAL_REASONS)[number];

/** Options of `AccountRefusal`. */
export interface AccountRefusalOptions extends CallErrorOptions {
  reason: RefusalReason;
  /** Name of the account; undefined if it is not known. */
  account?: string | undefined;
}

/** Error of a request that its client account does not allow; the request has not run. */
export class AccountRefusal extends CallError {
  readonly reason: RefusalReason;

  readonly account: string | undefined;

  constructor({ reason, account, ...options }: AccountRefusalOptions) {
    super(options);
    this.name = 'AccountRefusal';
    this.reason = reason;
    this.account = account;
  }
}
