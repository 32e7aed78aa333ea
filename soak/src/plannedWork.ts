import { SystemClock } from '@marjorampin/types';
import type { RandomSource, SoakEnvironment } from './soakEnvironment';
import type { SoakHost } from './soakHosts';

const clock = new SystemClock();

const MINIMUM_INTERVAL_MS = 100;
const MAXIMUM_INTERVAL_MS = 1_500;
/** Time between the stops of two entries in a series. */
const SERIES_INTERVAL_MS = 1_500;
/** Time for which an endpoint drains before it leaves, and for which it is away. */
const DRAIN_MS = 2_000;
const AWAY_MS = 1_000;
/** Time within which a keeper is emptied; otherwise the order is withdrawn. */
const RETIREMENT_MS = 12_000;
const CHECK_INTERVAL_MS = 100;
/** Settings and parts of the configuration that change. */
const GRACE_S = [6, 8];
export const TIMEOUTS_MS = [3_500, 4_000, 4_500];
const CONNECTIONS = [100, 200, 300];
const IDLE_TIMEOUTS_MS = [2_000, 15_000];

interface WorkContext {
  environment: SoakEnvironment;
  pick<T>(items: readonly T[]): T;
  /** Hosts whose process is being stopped or emptied. */
  busy: Set<SoakHost>;
}

/** Work of operators; resolves once it is done. */
type PlannedWork = (context: WorkContext) => Promise<void>;

/** Stops a process and waits until the next one has started. */
async function restart({ environment: { hosts }, busy }: WorkContext, host: SoakHost) {
  busy.add(host);
  const ended = hosts.nextExit(host);
  hosts.signal(host, 'SIGTERM');
  await ended;
  busy.delete(host);
}

function idleHosts({ environment, busy }: WorkContext, role: SoakHost['role']): SoakHost[] {
  return environment.hosts.hosts.filter((host) => host.role === role && !busy.has(host));
}

/** Leaves an entry that doesn't stop; the others stop in any overlap. */
async function restartEntry(context: WorkContext): Promise<void> {
  const idle = idleHosts(context, 'entry');
  if (idle.length > 1) await restart(context, context.pick(idle));
}

/** One keeper at a time is away: turns need a majority. */
async function withOneKeeper(
  context: WorkContext,
  work: (host: SoakHost) => Promise<void>,
): Promise<void> {
  const all = context.environment.hosts.hosts.filter(({ role }) => role === 'keeper');
  const idle = idleHosts(context, 'keeper');
  if (idle.length < all.length) return;
  await work(context.pick(idle));
}

async function retireKeeper(context: WorkContext, host: SoakHost): Promise<void> {
  const { environment, busy } = context;
  busy.add(host);
  await environment.orderRetirement(host, true);
  const until = clock.now() + RETIREMENT_MS;
  while (clock.now() < until && !(await environment.isRetired(host))) {
    await clock.sleep(CHECK_INTERVAL_MS);
  }
  if (await environment.isRetired(host)) {
    const ended = environment.hosts.nextExit(host);
    environment.hosts.replaceDisk(host);
    await ended;
  }
  await environment.orderRetirement(host, false);
  busy.delete(host);
}

const WORK: Record<string, PlannedWork> = {
  'stop an entry': restartEntry,
  'stop entries in series': async (context) => {
    const { length } = idleHosts(context, 'entry');
    const stops = Array.from({ length: length - 1 }, async (_, index) => {
      await clock.sleep(index * SERIES_INTERVAL_MS);
      await restartEntry(context);
    });
    await Promise.all(stops);
  },
  'stop a keeper': (context) => withOneKeeper(context, (host) => restart(context, host)),
  'retire a keeper': (context) => withOneKeeper(context, (host) => retireKeeper(context, host)),
  'change the settings': async ({ environment: { hosts }, pick }) => {
    hosts.reload(pick(hosts.hosts), pick(GRACE_S));
  },
  'change the settings of all hosts': async ({ environment: { hosts }, pick }) => {
    const graceS = pick(GRACE_S);
    hosts.hosts.forEach((host) => hosts.reload(host, graceS));
  },
  'change timeouts': ({ environment, pick }) =>
    environment.writeConfiguration({
      timeoutMs: pick(TIMEOUTS_MS),
      idleTimeoutMs: pick(IDLE_TIMEOUTS_MS),
    }),
  'change routes and services': ({ environment, pick }) =>
    environment.writeConfiguration({
      timeoutMs: pick(TIMEOUTS_MS),
      maxConns: pick(CONNECTIONS),
      spareNames: pick([[], ['spare'], ['spare', 'other']]),
    }),
  'drain an endpoint': async ({ environment, pick }) => {
    const endpoint = pick(environment.endpoints);
    await environment.register(endpoint, 'draining');
    await clock.sleep(DRAIN_MS);
    await environment.unregister(endpoint);
    await clock.sleep(AWAY_MS);
    await environment.register(endpoint);
  },
};

/** Does planned work that overlaps for `durationMs`, waits for its end and returns how much it was. */
export async function doPlannedWork(options: {
  environment: SoakEnvironment;
  random: RandomSource;
  durationMs: number;
  output(line: string): void;
}): Promise<number> {
  const { environment, random, durationMs, output } = options;
  const pick = <T>(items: readonly T[]): T => items[Math.floor(random() * items.length)] as T;
  const context = { environment, pick, busy: new Set<SoakHost>() };
  const pending: Promise<void>[] = [];
  let elapsedMs = 0;
  while (elapsedMs < durationMs) {
    const rangeMs = MAXIMUM_INTERVAL_MS - MINIMUM_INTERVAL_MS;
    const intervalMs = MINIMUM_INTERVAL_MS + random() * rangeMs;
    await clock.sleep(intervalMs);
    elapsedMs += intervalMs;
    const name = pick(Object.keys(WORK));
    output(`${new Date().toISOString()} ${Math.round(elapsedMs)} ms: ${name}\n`);
    pending.push(WORK[name]?.(context) ?? Promise.resolve());
  }
  await Promise.all(pending);
  return pending.length;
}
