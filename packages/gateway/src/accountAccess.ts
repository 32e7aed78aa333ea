import {
  type AccessRequest,
  type AccountTable,
  authorize,
  type Credential,
  type RevocationBounds,
} from '@marjorampin/accounts';
import type { EventLog } from '@marjorampin/logging';
import type { Route } from '@marjorampin/routing';
import type { ClientAccount } from '@marjorampin/types';
import type { ForwardedAccount } from './headerCodec';

/** Options of `AccountAccess`. */
export interface AccountAccessOptions {
  /** Milliseconds since the configuration was last known to be current, by the clock that shows more. */
  configurationAgeMs(): number;
  /** Age in milliseconds above which a newer configuration may allow what this one does not. */
  uncertainAgeMs: number;
  /** Undefined if keys are accepted for any age of the configuration. */
  bounds: RevocationBounds | undefined;
  log: EventLog;
}

/** Access of one request to its route. */
export interface CallerAccess {
  /** Undefined on public routes and without accounts. */
  account: ClientAccount | undefined;
  /** What the endpoint is told; undefined without accounts. */
  forwarded: ForwardedAccount | undefined;
  /** Returns the access under the configuration in force now; throws an `AccountRefusal` if there is none. */
  renewed(): CallerAccess;
}

const UNRESTRICTED: CallerAccess = {
  account: undefined,
  forwarded: undefined,
  renewed: () => UNRESTRICTED,
};

const PUBLIC: CallerAccess = {
  account: undefined,
  forwarded: { name: undefined },
  renewed: () => PUBLIC,
};

/** Decides which requests the accounts of the configuration in force allow. */
export class AccountAccess {
  private readonly options: AccountAccessOptions;

  private accounts: AccountTable | undefined;

  /** Requests refused since the configuration became too old for any key; 0 while it is not. */
  private refusedCount = 0;

  constructor(options: AccountAccessOptions) {
    this.options = options;
  }

  /** Replaces the accounts; undefined if callers need no key. */
  configure(accounts: AccountTable | undefined): void {
    this.accounts = accounts;
  }

  /** Returns the access of a request; throws an `AccountRefusal` if it has none. */
  admit(route: Route, readCredential: () => Credential): CallerAccess {
    const { accounts } = this;
    if (!accounts) return UNRESTRICTED;
    if (route.isPublic) return PUBLIC;
    const credential = readCredential();
    const account = this.authorize(credential, accounts);
    return {
      account,
      forwarded: { name: account.name },
      renewed: () => this.admit(route, () => credential),
    };
  }

  /** Whether the configuration has accounts. */
  get isConfigured(): boolean {
    return this.accounts !== undefined;
  }

  /** Whether the configuration is so old that callers should use other entries. */
  get isUnready(): boolean {
    const { bounds, configurationAgeMs } = this.options;
    if (!this.accounts || !bounds) return false;
    return configurationAgeMs() > bounds.unreadyAgeMs;
  }

  private authorize(credential: Credential, accounts: AccountTable): ClientAccount {
    const request = this.requestOf(accounts);
    try {
      const account = authorize(credential, request);
      this.recordConfirmed();
      return account;
    } catch (error) {
      this.recordRefusal(request);
      throw error;
    }
  }

  private recordRefusal({ ageMs, bounds }: AccessRequest): void {
    if (!bounds || ageMs <= bounds.refusalAgeMs) return;
    this.refusedCount += 1;
    if (this.refusedCount > 1) return;
    this.options.log.write('accountsOutdated', { ageMs: Math.round(ageMs) });
  }

  private recordConfirmed(): void {
    if (this.refusedCount === 0) return;
    this.options.log.write('accountsConfirmed', { refused: this.refusedCount });
    this.refusedCount = 0;
  }

  private requestOf(accounts: AccountTable): AccessRequest {
    const { uncertainAgeMs, bounds, configurationAgeMs } = this.options;
    return { accounts, ageMs: configurationAgeMs(), uncertainAgeMs, bounds };
  }
}
