import type { EventLog } from '@marjorampin/logging';
import type { GrantingKeepers, Keeper, Reply, RequestBody } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';

/** Time after which another owner is asked; several round trips between failure domains, and shorter than
 * a lease, whose time begins with the request. */
const REPLY_TIMEOUT_MS = 300;
/** Time for which a keeper that did not reply in time is not asked. */
const SILENCE_EXCLUSION_MS = 1_000;

/** Options of `OwnerCalls`. */
export interface OwnerCallsOptions {
  keepers: GrantingKeepers;
  clock: Clock;
  log: EventLog;
}

/** Sends requests to the owners of allowances; avoids those that don't reply. */
export class OwnerCalls {
  private readonly options: OwnerCallsOptions;

  private readonly excludedUntilMs = new Map<string, number>();

  constructor(options: OwnerCallsOptions) {
    this.options = options;
  }

  /** Returns the expected latency of an owner's reply; infinite if it is not to be asked. */
  expectedMs(owner: Keeper): number {
    const excludedUntilMs = this.excludedUntilMs.get(owner.id) ?? 0;
    if (excludedUntilMs > this.options.clock.now()) return Infinity;
    return this.options.keepers.expectedMs(owner);
  }

  /** Sends a request about an account; returns undefined, and excludes the owner, if it fails. */
  async call(owner: Keeper, account: string, body: RequestBody): Promise<Reply | undefined> {
    const { keepers, clock } = this.options;
    const replied = new AbortController();
    try {
      const reply = await Promise.race([
        keepers.callKeeper(owner, body),
        clock.sleep(REPLY_TIMEOUT_MS, replied.signal),
      ]);
      if (reply) return reply;
      this.exclude(owner, account, `no reply within ${REPLY_TIMEOUT_MS} ms`);
    } catch (error) {
      this.exclude(owner, account, String(error));
    } finally {
      replied.abort();
    }
    return undefined;
  }

  /** Does not ask an owner for some time. */
  exclude({ id }: Keeper, account: string, error: string): void {
    const { clock, log } = this.options;
    this.excludedUntilMs.set(id, clock.now() + SILENCE_EXCLUSION_MS);
    log.write('allowanceFailed', { keeper: id, account, error });
  }
}
