import seedrandom from 'seedrandom';
import { placeConnection, type PlacementLoad, RELAY_MS, SERVICE_MS } from '../placeConnection';
import { SmoothedValue } from '../smoothedValue';

const REPORT_INTERVAL_MS = 500;
/** Time after which an answer is late. */
const OBJECTIVE_MS = 250;
const MS_PER_SECOND = 1_000;

/** An entry of the simulated failure domain. */
export interface SimulatedHost {
  /** Processor time that the host grants, in cores. */
  capacity: number;
  /** Share of the callers' connections that the balancer gives the entry, relative to the others. */
  share?: number;
}

/** Options of `simulateDomain`. */
export interface SimulationOptions {
  hosts: SimulatedHost[];
  durationS: number;
  seed: string;
  /** Processor time of relaying a call on a whole core. */
  relayMs?: number;
  /** Calls per second of all callers at a time in seconds. */
  callsPerSecond(atS: number): number;
  /** Whether an entry serves at a time in seconds; always by default. */
  isUp?(host: number, atS: number): boolean;
}

/** What callers received. */
export interface SimulationResult {
  /** Share of the calls that were answered within the objective. */
  timelyShare: number;
  /** Share of the calls that another entry than the one connected to served. */
  relayedShare: number;
  /** Largest utilization of an entry in the second half. */
  maximumUtilization: number;
}

/** State of one entry: its processor works off calls in the order of arrival. */
class SimulatedEntry {
  freeAtMs = 0;

  busyMs = 0;

  /** Connections that callers opened since the last report. */
  connections = 0;

  readonly utilization = new SmoothedValue();

  readonly connectionsPerSecond = new SmoothedValue();

  readonly capacity: number;

  constructor({ capacity }: SimulatedHost) {
    this.capacity = capacity;
  }

  /** Returns when the processor has worked off `workMs` that arrive at `nowMs`. */
  work(nowMs: number, workMs: number): number {
    const takenMs = workMs / this.capacity;
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + takenMs;
    this.busyMs += takenMs;
    return this.freeAtMs;
  }

  /** Ends an interval between two reports and returns its utilization. */
  report(nowMs: number): number {
    const measured = Math.min(1, this.busyMs / REPORT_INTERVAL_MS);
    this.utilization.add(measured);
    this.connectionsPerSecond.add((this.connections * MS_PER_SECOND) / REPORT_INTERVAL_MS);
    this.connections = 0;
    // Work that waits keeps the processor busy in the next interval.
    this.busyMs = Math.max(0, this.freeAtMs - nowMs);
    return measured;
  }
}

/** Simulates callers of one failure domain whose balancer knows nothing of the hosts. */
export function simulateDomain({
  hosts,
  durationS,
  seed,
  callsPerSecond,
  relayMs = RELAY_MS,
  isUp = () => true,
}: SimulationOptions): SimulationResult {
  const random = seedrandom(seed);
  const entries = hosts.map((host) => new SimulatedEntry(host));
  let reported = entries.map((entry, index) => loadOf(entry, index));
  let maximumUtilization = 0;
  let nextReportMs = REPORT_INTERVAL_MS;
  let calls = 0;
  let timely = 0;
  let relayed = 0;
  const report = (nowMs: number) => {
    reported = entries.map((entry, index) => {
      const measured = entry.report(nowMs);
      if (nowMs > (durationS * MS_PER_SECOND) / 2) {
        maximumUtilization = Math.max(maximumUtilization, measured);
      }
      return loadOf(entry, index);
    });
  };
  for (let nowMs = 0; nowMs < durationS * MS_PER_SECOND;) {
    nowMs += (-Math.log(1 - random()) * MS_PER_SECOND) / callsPerSecond(nowMs / MS_PER_SECOND);
    while (nowMs > nextReportMs) {
      report(nextReportMs);
      nextReportMs += REPORT_INTERVAL_MS;
    }
    const atS = nowMs / MS_PER_SECOND;
    const up = entries.flatMap((_, index) => (isUp(index, atS) ? [index] : []));
    const accepting = pickAccepting(up, hosts, random());
    entries[accepting]!.connections += 1;
    const others = reported.filter((_, index) => index !== accepting && isUp(index, atS));
    const target = placeConnection(loadOf(entries[accepting]!, accepting), others, random());
    const serving = target ? Number(target.id) : accepting;
    const answeredAtMs = serve(entries, { accepting, serving, nowMs, relayMs });
    calls += 1;
    timely += answeredAtMs - nowMs <= OBJECTIVE_MS ? 1 : 0;
    relayed += target ? 1 : 0;
  }
  return { timelyShare: timely / calls, relayedShare: relayed / calls, maximumUtilization };
}

/** Returns when a call is answered. */
function serve(
  entries: SimulatedEntry[],
  call: { accepting: number; serving: number; nowMs: number; relayMs: number },
): number {
  const { accepting, serving, nowMs, relayMs } = call;
  if (serving === accepting) return entries[accepting]!.work(nowMs, SERVICE_MS);
  const relayedAtMs = entries[accepting]!.work(nowMs, relayMs);
  return entries[serving]!.work(relayedAtMs, SERVICE_MS);
}

function pickAccepting(up: number[], hosts: SimulatedHost[], random: number): number {
  const total = up.reduce((sum, index) => sum + (hosts[index]!.share ?? 1), 0);
  let remaining = random * total;
  const picked = up.find((index) => {
    remaining -= hosts[index]!.share ?? 1;
    return remaining < 0;
  });
  return picked ?? up.at(-1) ?? 0;
}

function loadOf(
  { capacity, utilization, connectionsPerSecond }: SimulatedEntry,
  index: number,
): PlacementLoad {
  return {
    id: `${index}`,
    address: '',
    domain: '',
    capacity,
    utilization: utilization.value,
    connectionsPerSecond: connectionsPerSecond.value,
    stalenessMs: 0,
    configurationVersion: 1,
    accepting: true,
  };
}
