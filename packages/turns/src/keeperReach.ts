import type { EventLog } from '@marjorampin/logging';
import type { Keeper, PeerPool, Roster } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';

/** Time between two rounds of probes. */
const ROUND_MS = 400;
/** Far above a round trip, and short enough to notice a cut within a second. */
const PROBE_TIMEOUT_MS = 300;
/** A single lost probe says nothing yet. */
const MISSES_ALLOWED = 1;

/** What is needed to watch the way to the keepers. */
export interface KeeperReachOptions {
  peers: PeerPool;
  clock: Clock;
  log: EventLog;
  lossLimit: number;
  /** Returns the keepers as they are known now. */
  roster(): Roster | undefined;
}

/** Knows whether this process reaches enough keepers to serve turns at all. */
export class KeeperReach {
  private readonly options: KeeperReachOptions;

  private readonly misses = new Map<string, number>();

  private readonly stopped = new AbortController();

  private isCut = false;

  constructor(options: KeeperReachOptions) {
    this.options = options;
  }

  /** More keepers are silent than may be lost at once: turns can't be served from here. */
  get isCutOff(): boolean {
    return this.isCut;
  }

  /** Returns whether a keeper left its last probe unanswered. */
  isSilent(id: string): boolean {
    return (this.misses.get(id) ?? 0) > 0;
  }

  /** Probes until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.stopped.signal.aborted) {
      await this.round();
      await clock.sleep(ROUND_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Ends the probes. */
  stop(): void {
    this.stopped.abort();
  }

  /** Probes every keeper once and judges. */
  async round(): Promise<void> {
    const { roster, lossLimit, log } = this.options;
    const keepers = roster()?.keepers ?? [];
    await Promise.all(keepers.map((keeper) => this.probe(keeper)));
    const silent = keepers.filter(({ id }) => (this.misses.get(id) ?? 0) > MISSES_ALLOWED);
    const isCut = silent.length > lossLimit;
    if (isCut !== this.isCut) {
      log.write(isCut ? 'keepersLost' : 'keepersRegained', { silent: silent.length });
    }
    this.isCut = isCut;
  }

  private async probe({ id, address }: Keeper): Promise<void> {
    const body = { case: 'probe' as const, value: { sender: '' } };
    const controller = new AbortController();
    const timer = setTimeout(() => controller.abort(), PROBE_TIMEOUT_MS);
    const hasAnswered = await this.options.peers
      .get(address)
      .call(body, { signal: controller.signal })
      .then(
        () => true,
        () => false,
      );
    clearTimeout(timer);
    this.misses.set(id, hasAnswered ? 0 : (this.misses.get(id) ?? 0) + 1);
  }
}
