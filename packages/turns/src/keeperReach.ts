import type { EventLog } from '@marjorampin/logging';
import type { Keeper, Roster } from '@marjorampin/protocol';
import type { Clock } from '@marjorampin/types';

/** Time between two rounds of judgement. */
const ROUND_MS = 400;
/** Above the longest pause between two frames of a living peer, which is 750 ms. */
const SILENT_AFTER_MS = 1_000;

/** What is needed to watch the way to the keepers. */
export interface KeeperReachOptions {
  clock: Clock;
  log: EventLog;
  lossLimit: number;
  /** Returns the keepers as they are known now. */
  roster(): Roster | undefined;
  /** Returns the milliseconds since a keeper was heard last. */
  silentMs(keeper: Keeper): number;
}

/** Knows whether this process reaches enough keepers to serve turns at all. */
export class KeeperReach {
  private readonly options: KeeperReachOptions;

  private readonly stopped = new AbortController();

  private silent = new Set<string>();

  private judgedAtMs = -Infinity;

  private isCut = false;

  constructor(options: KeeperReachOptions) {
    this.options = options;
  }

  /** More keepers are silent than may be lost at once: turns can't be served from here. */
  get isCutOff(): boolean {
    return this.isCut;
  }

  /** Returns whether a keeper was silent when it was looked at last. */
  isSilent(id: string): boolean {
    return this.silent.has(id);
  }

  /** Judges until `stop`. */
  async run(): Promise<void> {
    const { clock } = this.options;
    while (!this.stopped.signal.aborted) {
      this.judge();
      await clock.sleep(ROUND_MS, this.stopped.signal).catch(() => undefined);
    }
  }

  /** Ends the judgements. */
  stop(): void {
    this.stopped.abort();
  }

  /** Looks at every keeper once. */
  judge(): void {
    const { roster, lossLimit, log, silentMs, clock } = this.options;
    const lateMs = clock.now() - this.judgedAtMs - ROUND_MS;
    this.judgedAtMs = clock.now();
    // After a pause of its own, this process has not read yet what the keepers sent meanwhile.
    if (lateMs > ROUND_MS && lateMs < Infinity) return;
    const keepers = roster()?.keepers ?? [];
    const silent = keepers.filter((keeper) => silentMs(keeper) > SILENT_AFTER_MS);
    this.silent = new Set(silent.map(({ id }) => id));
    const isCut = silent.length > lossLimit;
    if (isCut !== this.isCut) {
      log.write(isCut ? 'keepersLost' : 'keepersRegained', { silent: silent.length });
    }
    this.isCut = isCut;
  }
}
