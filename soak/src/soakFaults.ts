import { SystemClock } from '@marjorampin/types';
import type { RandomSource, SoakEnvironment } from './soakEnvironment';

const clock = new SystemClock();

/** Time between the starts of two faults; most faults last longer and overlap. */
const MINIMUM_FAULT_INTERVAL_MS = 200;
const MAXIMUM_FAULT_INTERVAL_MS = 1_200;
const MINIMUM_FAULT_DURATION_MS = 300;
const MAXIMUM_FAULT_DURATION_MS = 2_500;
/** Delay of a slow link as a share of the fault's duration. */
const LINK_DELAY_SHARE = 0.1;
/**
 * Time between two disk losses, in which the keepers replicate the lost data again: the settings
 * tolerate the loss of one machine at a time.
 */
const DISK_LOSS_INTERVAL_MS = 15_000;

interface FaultContext {
  environment: SoakEnvironment;
  pick<T>(items: T[]): T;
  faultDurationMs: number;
}

/** Begins a fault and returns the function that ends it. */
type Fault = (context: FaultContext) => (() => void) | Promise<() => void>;

/** End of a fault whose effect passes without intervention. */
const noUndo = () => undefined;

/** Faults by name, drawn with equal probability. */
const FAULTS: Record<string, Fault> = {
  'kill a process': ({ environment, pick }) => {
    environment.hosts.signal(pick(environment.hosts.hosts), 'SIGKILL');
    return noUndo;
  },
  'stop a process': ({ environment, pick }) => {
    environment.hosts.signal(pick(environment.hosts.hosts), 'SIGTERM');
    return noUndo;
  },
  'pause a process': ({ environment, pick }) => {
    const host = pick(environment.hosts.hosts);
    environment.hosts.signal(host, 'SIGSTOP');
    return () => environment.hosts.signal(host, 'SIGCONT');
  },
  'reload the settings': ({ environment, pick }) => {
    environment.hosts.signal(pick(environment.hosts.hosts), 'SIGHUP');
    return noUndo;
  },
  'change the configuration': async ({ environment }) => {
    await environment.writeConfiguration();
    return noUndo;
  },
  'kill all processes': ({ environment }) => {
    environment.hosts.hosts.forEach((host) => environment.hosts.signal(host, 'SIGKILL'));
    return noUndo;
  },
  'the store refuses requests': ({ environment }) => {
    environment.store.setMode('refuses');
    return () => environment.store.setMode('serves');
  },
  'the store is unresponsive': ({ environment }) => {
    environment.store.setMode('silent');
    return () => environment.store.setMode('serves');
  },
  'reset the connections of a link': ({ environment, pick }) => {
    pick(environment.links).reset();
    return noUndo;
  },
  'drop the traffic of a link': ({ environment, pick }) => {
    const link = pick(environment.links);
    link.dropTraffic('silent');
    return () => link.restore();
  },
  'drop the replies of a link': ({ environment, pick }) => {
    const link = pick(environment.links);
    link.dropTraffic('one-way');
    return () => link.restore();
  },
  'delay a link': ({ environment, pick, faultDurationMs }) => {
    const link = pick(environment.links);
    link.delay(faultDurationMs * LINK_DELAY_SHARE);
    return () => link.restore();
  },
  'an endpoint is unresponsive': ({ environment, pick }) => {
    const endpoint = pick(environment.endpoints);
    endpoint.setMode('silent');
    return () => endpoint.setMode('serves');
  },
  'an endpoint closes connections': ({ environment, pick }) => {
    const endpoint = pick(environment.endpoints);
    endpoint.setMode('failing');
    return () => endpoint.setMode('serves');
  },
  'an endpoint cuts its streams': ({ environment, pick }) => {
    const endpoint = pick(environment.endpoints);
    endpoint.setMode('cutting');
    return () => endpoint.setMode('serves');
  },
  'an endpoint is unregistered and registered again': async ({ environment, pick }) => {
    const endpoint = pick(environment.endpoints);
    await environment.unregister(endpoint);
    return () => environment.register(endpoint);
  },
};

const DISK_LOSS = 'lose a disk';

const loseKeeperDisk: Fault = ({ environment, pick }) => {
  environment.hosts.wipeDisk(pick(environment.hosts.hosts.filter(({ role }) => role === 'keeper')));
  return noUndo;
};

/** Injects overlapping faults for `durationMs`, ends them all and returns their number. */
export async function injectFaults(options: {
  environment: SoakEnvironment;
  random: RandomSource;
  durationMs: number;
  output(line: string): void;
}): Promise<number> {
  const { environment, random, durationMs, output } = options;
  const between = (low: number, high: number) => low + random() * (high - low);
  const pick = <T>(items: T[]): T => items[Math.floor(random() * items.length)] as T;
  const pendingEnds: Promise<void>[] = [];
  let elapsedMs = 0;
  let faults = 0;
  let diskLostAtMs = -Infinity;
  while (elapsedMs < durationMs) {
    const intervalMs = between(MINIMUM_FAULT_INTERVAL_MS, MAXIMUM_FAULT_INTERVAL_MS);
    await clock.sleep(intervalMs);
    elapsedMs += intervalMs;
    const faultDurationMs = between(MINIMUM_FAULT_DURATION_MS, MAXIMUM_FAULT_DURATION_MS);
    const mayLoseDisk = elapsedMs - diskLostAtMs >= DISK_LOSS_INTERVAL_MS;
    const name = pick(mayLoseDisk ? [...Object.keys(FAULTS), DISK_LOSS] : Object.keys(FAULTS));
    if (name === DISK_LOSS) diskLostAtMs = elapsedMs;
    faults += 1;
    output(`${Math.round(elapsedMs)} ms: ${name} for ${Math.round(faultDurationMs)} ms\n`);
    const begin = FAULTS[name] ?? loseKeeperDisk;
    const end = await begin({ environment, pick, faultDurationMs });
    pendingEnds.push(clock.sleep(faultDurationMs).then(end));
  }
  await Promise.all(pendingEnds);
  return faults;
}
