import type { ClientAccount } from '@marjorampin/types';
import type { CallAllowance } from './callAllowance';

/** Allowances of client accounts, as entries use them. */
export abstract class AccountAllowances {
  /**
   * Acquires the allowance of a call of an account, whose limit is stated by the given version of the
   * configuration. Throws `rate-limited` if the account has used its allowance, `keepers-unavailable` if
   * none of its owners can be reached. The allowance has to be closed.
   */
  abstract acquire(
    account: ClientAccount,
    version: number,
    remainingMs: number,
  ): Promise<CallAllowance>;
}
