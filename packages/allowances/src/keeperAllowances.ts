import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { GrantingKeepers } from '@marjorampin/protocol';
import { type ClientAccount, type Clock, toCallError } from '@marjorampin/types';
import { AccountAllowances } from './accountAllowances';
import { AccountTokens, type LimitedAccount } from './accountTokens';
import { CallAllowance } from './callAllowance';
import { leaseTimeMs } from './leaseTime';
import { OwnerCalls } from './ownerCalls';
import { RecentlyUsed } from './recentlyUsed';

/** Options of `KeeperAllowances`. */
export interface KeeperAllowancesOptions {
  keepers: GrantingKeepers;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
  /** Time for which granted tokens may be spent. */
  leaseMs?: number | undefined;
}

/**
 * Acquires the allowances of client accounts from keepers. A few keepers, the same for all entries, own an
 * equal part of an account's allowance each: together they never grant more than the allowance, also
 * while some of them are unreachable or don't know of each other.
 */
export class KeeperAllowances extends AccountAllowances {
  private readonly options: KeeperAllowancesOptions;

  private readonly calls: OwnerCalls;

  private readonly leaseMs: number;

  private readonly accounts: RecentlyUsed<AccountTokens>;

  constructor(options: KeeperAllowancesOptions) {
    super();
    this.options = options;
    const { clock, metrics } = options;
    this.calls = new OwnerCalls(options);
    this.leaseMs = options.leaseMs ?? leaseTimeMs({});
    this.accounts = new RecentlyUsed({ clock });
    metrics.gauge(
      'allowance_accounts',
      'accounts with a limit that were used recently',
      () => this.accounts.size,
    );
  }

  override async acquire(
    account: ClientAccount,
    version: number,
    remainingMs: number,
  ): Promise<CallAllowance> {
    if (!hasLimit(account)) return CallAllowance.unlimited();
    const { metrics } = this.options;
    try {
      const tokens = this.tokensOf(account, version);
      const allowance = await CallAllowance.acquire(tokens, remainingMs);
      metrics.count('allowance_requests_total', { outcome: 'granted' });
      return allowance;
    } catch (error) {
      metrics.count('allowance_requests_total', { outcome: toCallError(error).kind });
      throw error;
    }
  }

  private tokensOf(account: LimitedAccount, version: number): AccountTokens {
    const { keepers, clock, metrics } = this.options;
    const { calls, leaseMs } = this;
    const create = () =>
      new AccountTokens({ keepers, calls, clock, metrics, leaseMs }, account, version);
    const tokens = this.accounts.use(account.name, create);
    tokens.update(account, version);
    return tokens;
  }
}

function hasLimit(account: ClientAccount): account is LimitedAccount {
  return account.limit !== undefined;
}
