import type { EntryLoad } from '@marjorampin/protocol';

/** Load of an entry, as plain data. */
export type PlacementLoad = Omit<EntryLoad, '$typeName' | '$unknown'>;

/** Processor time, on a whole core, of serving the calls of one connection. */
export const SERVICE_MS = 4;
/** Processor time, on a whole core, of relaying the calls of one connection. */
export const RELAY_MS = 2;
/** Smallest gain in expected time for which a connection is relayed. */
const MINIMUM_GAIN_MS = 3;
/** Share of its capacity that even a saturated entry is assumed to have left. */
const MINIMUM_SPARE_SHARE = 0.05;
/** Utilization above which an entry counts with less than its capacity. */
const HIGH_UTILIZATION = 0.9;
/** Assumed rate of connections besides the measured one, which decides before there are any. */
const ASSUMED_CONNECTIONS_PER_SECOND = 1;
/** An entry whose data is older than this entry's by more than this serves no relayed connection. */
const MAXIMUM_EXTRA_STALENESS_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** An entry that could serve more connections than the balancer gives it. */
interface Candidate<T> {
  load: T;
  /** Connections per second that it lacks. */
  deficit: number;
}

/**
 * Returns the entry that should serve a new connection, undefined for the entry itself. Answers a
 * balancer that gives hosts of different size equally many connections: each entry serves its part of
 * the failure domain's connections, in proportion to its capacity, and relays the rest if that is
 * noticeably faster. `random` is a number from 0 to 1.
 */
export function placeConnection<T extends PlacementLoad>(
  self: PlacementLoad,
  others: T[],
  random: number,
): T | undefined {
  const usable = others.filter((other) => canServe(other, self));
  const partOf = partsOf([self, ...usable]);
  const share = partOf(self) / demandOf(self);
  if (random < share) return undefined;
  const candidates = usable
    .filter((load) => gainMs(self, load) > MINIMUM_GAIN_MS)
    .map((load) => ({ load, deficit: Math.max(0, partOf(load) - demandOf(load)) }));
  return pickByDeficit(candidates, (random - share) / (1 - share));
}

/** Returns whether `placeConnection` lets an entry serve all connections that callers open to it. */
export function servesAll(self: PlacementLoad, others: PlacementLoad[]): boolean {
  return placeConnection(self, others, 1 - Number.EPSILON) === undefined;
}

/** Returns a function that returns the connections per second which each entry should serve. */
function partsOf(loads: PlacementLoad[]): (load: PlacementLoad) => number {
  const totalRate = sumOf(loads, demandOf);
  const meanDemand = totalRate / sumOf(loads, ({ capacity }) => capacity);
  const totalCapacity = sumOf(loads, (load) => serviceCapacity(load, meanDemand));
  return (load) => (totalRate * serviceCapacity(load, meanDemand)) / totalCapacity;
}

function pickByDeficit<T>(candidates: Candidate<T>[], position: number): T | undefined {
  let remaining = position * sumOf(candidates, ({ deficit }) => deficit);
  return candidates.find(({ deficit }) => {
    remaining -= deficit;
    return deficit > 0 && remaining < 0;
  })?.load;
}

/** Returns by how much sooner another entry serves a connection than this one would serve all of its
 * own. */
function gainMs(self: PlacementLoad, other: PlacementLoad): number {
  const offered = (demandOf(self) * SERVICE_MS) / MS_PER_SECOND / self.capacity;
  const ownSpare = spareCapacity(self, Math.max(offered, self.utilization));
  return (SERVICE_MS - RELAY_MS) / ownSpare - SERVICE_MS / spareCapacity(other, other.utilization);
}

/** Returns the cores that are not in use at a utilization. */
function spareCapacity({ capacity }: PlacementLoad, utilization: number): number {
  return capacity * Math.max(MINIMUM_SPARE_SHARE, 1 - utilization);
}

/** Returns the cores that an entry has for serving: those with more demand than the mean also relay.
 * A busy entry counts with less, as its host may be slower than it states. */
function serviceCapacity(load: PlacementLoad, meanDemand: number): number {
  const { capacity, utilization } = load;
  const demand = demandOf(load);
  const relaying = demand / capacity > meanDemand ? (demand * RELAY_MS) / MS_PER_SECOND : 0;
  const share = (1 - utilization) / (1 - HIGH_UTILIZATION);
  const usable = Math.min(1, Math.max(MINIMUM_SPARE_SHARE, share));
  return Math.max(capacity * MINIMUM_SPARE_SHARE, capacity - relaying) * usable;
}

function demandOf({ connectionsPerSecond }: PlacementLoad): number {
  return connectionsPerSecond + ASSUMED_CONNECTIONS_PER_SECOND;
}

/** A caller must not get an older configuration than the entry that it is connected to has. */
function canServe(other: PlacementLoad, self: PlacementLoad): boolean {
  return (
    other.accepting &&
    other.configurationVersion === self.configurationVersion &&
    other.stalenessMs <= self.stalenessMs + MAXIMUM_EXTRA_STALENESS_MS
  );
}

function sumOf<T>(items: T[], valueOf: (item: T) => number): number {
  return items.reduce((sum, item) => sum + valueOf(item), 0);
}
