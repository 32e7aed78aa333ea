import { setImmediate as nextTurn } from 'node:timers/promises';
import { KeeperAllowances } from '@marjorampin/allowances';
import { MemoryEventLog } from '@marjorampin/logging';
import { Metrics } from '@marjorampin/metrics';
import type { GrantingKeepers, Reply } from '@marjorampin/protocol';
import { PermitKeepersStandin } from '@marjorampin/standins';
import { type AccountLimit, Clock, ManualClock } from '@marjorampin/types';

const MS_PER_SECOND = 1_000;
const STEP_MS = 10;
const WINDOW_MS = 5_000;
const LEASE_MS = 400;
const OWNERS = 3;
/** Time in which all entries in contact use a new configuration. */
const CONFIG_MS = 3_000;
const LINK_MS = 2;
const REMAINING_MS = 10_000;
const NEVER = new Promise<Reply>(() => {
  // Never settles.
});

/** A fault or change. */
export type FleetFault =
  | { kind: 'cut' | 'lose-replies'; entry: number; keeper: number }
  | { kind: 'delay'; keeper: number; ms: number }
  | { kind: 'restart' | 'detach'; keeper: number }
  | { kind: 'replace' | 'remove'; keeper: number; unaware: number[] }
  /** The entries reach only this keeper and the others don't; it is replaced, or only removed. */
  | { kind: 'split'; keeper: number; entries: number[]; isRemoved?: boolean }
  | { kind: 'pause'; entry: number; ms: number }
  | { kind: 'limit'; perSecond: number; burst: number; unaware: number[] }
  | { kind: 'heal' };

/** A part of a run. */
export interface FleetPhase {
  seconds: number;
  callsPerSecond: number;
  /** Whether all calls go to one entry, which differs in each second. */
  isMoving?: boolean;
  /** Whether the endpoints refuse all calls. */
  isRefusing?: boolean;
  /** What happens at the beginning. */
  fault?: FleetFault | undefined;
}

/** One simulated run. */
export interface FleetRun {
  limit: AccountLimit;
  entries: number;
  phases: FleetPhase[];
  /** Time that a call waits between its admission and its endpoint. */
  holdMs?: number;
}

/** A request that an endpoint ran. */
interface RunRequest {
  sentAtMs: number;
  begunAtMs: number;
}

/** A limit with the time of its ack. */
interface StatedLimit extends AccountLimit {
  version: number;
  ackAtMs: number;
}

/** Clock of an entry, whose monotonic time does not count pauses. */
class PausedClock extends Clock {
  private pausedMs = 0;

  private pausedUntilMs = 0;

  constructor(private readonly base: Clock) {
    super();
  }

  /** Time until the process continues; 0 if it is not paused. */
  get leftMs(): number {
    return Math.max(0, this.pausedUntilMs - this.base.now());
  }

  pause(ms: number): void {
    if (this.leftMs > 0) return;
    this.pausedMs += ms;
    this.pausedUntilMs = this.base.now() + ms;
  }

  override now(): number {
    return this.base.now() - this.pausedMs + this.leftMs;
  }

  override wallTime(): number {
    return this.base.wallTime();
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.base.sleep(ms, signal);
    while (this.leftMs > 0) await this.base.sleep(this.leftMs, signal);
  }
}

interface FleetEntry {
  clock: PausedClock;
  allowances: KeeperAllowances;
  limit: StatedLimit;
}

/** Entries with simulated time that serve the calls of one account. */
export class AllowanceFleet {
  readonly requests: RunRequest[] = [];

  /** All limits of the run, the latest last. */
  readonly limits: StatedLimit[];

  /** Messages from entries to keepers. */
  messages = 0;

  private readonly settings: FleetRun;

  private readonly clock: ManualClock;

  private readonly standin: PermitKeepersStandin;

  private readonly entries: FleetEntry[];

  private keeperIds = ['k0', 'k1', 'k2'];

  private replacements = 0;

  private readonly delays = new Map<string, number>();

  private readonly lossy = new Set<string>();

  private calls = 0;

  /** Calls that are due, with the fraction of the next one. */
  private due = 0;

  private isRefusing = false;

  private constructor(run: FleetRun, clock: ManualClock, standin: PermitKeepersStandin) {
    this.settings = run;
    this.clock = clock;
    this.standin = standin;
    this.limits = [{ ...run.limit, version: 1, ackAtMs: 0 }];
    this.entries = Array.from({ length: run.entries }, (_, index) => this.createEntry(index));
  }

  /** Creates the fleet and its three keepers. */
  static async create(run: FleetRun): Promise<AllowanceFleet> {
    const clock = new ManualClock();
    return new AllowanceFleet(run, clock, await PermitKeepersStandin.create({ clock }));
  }

  /** Runs all phases. */
  async run(): Promise<void> {
    for (const phase of this.settings.phases) {
      if (phase.fault) this.apply(phase.fault);
      this.isRefusing = phase.isRefusing ?? false;
      await this.runPhase(phase);
    }
  }

  private async runPhase({ seconds, callsPerSecond, isMoving }: FleetPhase): Promise<void> {
    for (let step = 0; step < (seconds * MS_PER_SECOND) / STEP_MS; step += 1) {
      const second = Math.floor(this.clock.now() / MS_PER_SECOND);
      this.due += (callsPerSecond * STEP_MS) / MS_PER_SECOND;
      for (; this.due >= 1; this.due -= 1) {
        this.calls += 1;
        this.call((isMoving ? second : this.calls) % this.entries.length);
      }
      await nextTurn();
      await this.clock.advance(STEP_MS);
    }
  }

  private get latest(): StatedLimit {
    return this.limits.at(-1) ?? { ...this.settings.limit, version: 0, ackAtMs: 0 };
  }

  private createEntry(index: number): FleetEntry {
    const clock = new PausedClock(this.clock);
    const allowances = new KeeperAllowances({
      keepers: this.keepersOf(`${index}`, clock),
      clock,
      log: new MemoryEventLog(),
      metrics: new Metrics(),
    });
    return { clock, allowances, limit: this.latest };
  }

  /** Returns the keepers as an entry sees them, with links that delay messages and lose replies. */
  private keepersOf(entry: string, clock: Clock): GrantingKeepers {
    const keepers = this.standin.of(entry);
    const callKeeper: GrantingKeepers['callKeeper'] = async (keeper, body) => {
      this.messages += 1;
      await this.clock.sleep(LINK_MS + (this.delays.get(keeper.id) ?? 0));
      const reply = await keepers.callKeeper(keeper, body);
      // A paused process reads the reply when it continues.
      await clock.sleep(0);
      const isLost = this.lossy.has(`${entry} ${keeper.id}`);
      return isLost ? NEVER : reply;
    };
    return {
      get roster() {
        return keepers.roster;
      },
      ownersOf: keepers.ownersOf,
      expectedMs: keepers.expectedMs,
      callKeeper,
    };
  }

  private async call(index: number): Promise<void> {
    const entry = this.entries[index];
    const sentAtMs = this.clock.now();
    if (!entry) return;
    // A paused process reads the requests that arrived meanwhile when it continues.
    if (entry.clock.leftMs > 0) await entry.clock.sleep(0);
    const { holdMs = 0 } = this.settings;
    const { perSecond, burst, version } = entry.limit;
    const account = { name: 'a', rank: undefined, limit: { perSecond, burst }, keyDigests: [] };
    const allowance = await entry.allowances
      .acquire(account, version, REMAINING_MS)
      .catch(() => undefined);
    if (!allowance) return;
    if (holdMs > 0) await entry.clock.sleep(holdMs);
    allowance.spend();
    if (this.isRefusing) allowance.restore();
    else this.requests.push({ sentAtMs, begunAtMs: this.clock.now() });
    allowance.close();
  }

  private apply(fault: FleetFault): void {
    if (fault.kind === 'limit') this.changeLimit(fault);
    else if (fault.kind === 'pause') {
      this.entries[fault.entry % this.entries.length]?.clock.pause(fault.ms);
    } else if (fault.kind === 'heal') this.heal();
    else this.disrupt(fault, this.keeperIds[fault.keeper % this.keeperIds.length] ?? '');
  }

  private disrupt(fault: Extract<FleetFault, { keeper: number }>, id: string): void {
    if (fault.kind === 'cut') this.standin.cut(`${fault.entry}`, id);
    if (fault.kind === 'lose-replies') this.lossy.add(`${fault.entry} ${id}`);
    if (fault.kind === 'delay') this.delays.set(id, fault.ms);
    if (fault.kind === 'restart') this.standin.restart(id);
    if (fault.kind === 'detach') this.standin.detach(id);
    if (fault.kind === 'split') this.split(fault, id);
    if (fault.kind !== 'replace' && fault.kind !== 'remove') return;
    this.changeKeepers(fault.kind, id, fault.unaware);
  }

  private split({ entries, isRemoved }: { entries: number[]; isRemoved?: boolean }, id: string) {
    this.entries.forEach((_, index) => {
      const isInside = entries.includes(index);
      const cutOff = isInside ? this.keeperIds.filter((other) => other !== id) : [id];
      cutOff.forEach((keeper) => this.standin.cut(`${index}`, keeper));
    });
    this.changeKeepers(isRemoved ? 'remove' : 'replace', id, entries);
  }

  private changeKeepers(kind: 'replace' | 'remove', id: string, unaware: number[]): void {
    // A removed keeper is replaced by the next change.
    const isComplete = this.keeperIds.length === 3;
    const others = isComplete ? this.keeperIds.filter((other) => other !== id) : this.keeperIds;
    this.replacements += 1;
    const added = kind === 'replace' || !isComplete ? [`new${this.replacements}`] : [];
    this.keeperIds = [...others, ...added];
    this.standin.setKeepers(
      this.keeperIds,
      unaware.map((entry) => `${entry}`),
    );
  }

  private heal(): void {
    this.standin.heal();
    this.standin.updateAll();
    this.delays.clear();
    this.lossy.clear();
  }

  private changeLimit({ perSecond, burst, unaware }: AccountLimit & { unaware: number[] }): void {
    const ackAtMs = this.clock.now();
    const changed = { perSecond, burst, version: this.latest.version + 1, ackAtMs };
    this.limits.push(changed);
    this.entries.forEach((entry, index) => {
      const delayMs = unaware.includes(index) ? CONFIG_MS - STEP_MS : 0;
      this.clock.sleep(delayMs).then(() => {
        if (entry.limit.version < changed.version) Object.assign(entry, { limit: changed });
      });
    });
  }
}

/** Returns by how many requests the fullest window, or the time since the start, exceeds what owners grant
 * at most for it; negative if none does. */
export function mostAboveAllowance({ requests, limits }: AllowanceFleet): number {
  const starts = [...new Set(requests.map(({ sentAtMs }) => sentAtMs))];
  const excesses = starts.map((startMs) => {
    const endMs = startMs + WINDOW_MS;
    const counted = requests.filter(
      ({ sentAtMs, begunAtMs }) => sentAtMs >= startMs && begunAtMs <= endMs,
    ).length;
    return counted - grantedAtMost(startMs, limits);
  });
  return Math.max(-Infinity, ...excesses, ...excessesSinceStart(requests, limits));
}

/** Owners begin with empty buckets, so nothing but the rate is granted since the start. */
function excessesSinceStart(requests: RunRequest[], limits: StatedLimit[]): number[] {
  const perSecond = Math.max(...limits.map((limit) => limit.perSecond));
  return requests
    .map(({ begunAtMs }) => begunAtMs)
    .sort((a, b) => a - b)
    .map((atMs, index) => Math.floor(index + 1 - (perSecond * atMs) / MS_PER_SECOND));
}

/** Returns how many tokens may be granted for the requests of a window: those of the window and of one
 * lease time before it, under the largest limit that some entry in contact may still use in it. */
function grantedAtMost(startMs: number, limits: StatedLimit[]): number {
  const inForce = limits.filter(({ ackAtMs }, index) => {
    const endsAtMs = (limits[index + 1]?.ackAtMs ?? Infinity) + CONFIG_MS;
    return ackAtMs <= startMs + WINDOW_MS && startMs < endsAtMs;
  });
  const perSecond = Math.max(...inForce.map((limit) => limit.perSecond));
  const burst = Math.max(...inForce.map((limit) => limit.burst));
  const capacity = Math.max(burst, OWNERS, (perSecond * LEASE_MS) / 4 / MS_PER_SECOND);
  return Math.ceil((perSecond * (WINDOW_MS + LEASE_MS)) / MS_PER_SECOND + capacity);
}
