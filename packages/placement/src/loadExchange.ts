import type { EventLog } from '@marjorampin/logging';
import type { EntryLoad, Keeper, Reply, RequestBody } from '@marjorampin/protocol';
import { type Clock, parsePeerAddress, type PeerAddress } from '@marjorampin/types';
import { REPORT_LIFETIME_MS } from './loadTable';
import { placeConnection, type PlacementLoad, servesAll } from './placeConnection';
import { SmoothedValue } from './smoothedValue';

/** Time between two reports. */
const INTERVAL_MS = 500;
/** Time within which a keeper has to reply. */
const REPLY_TIMEOUT_MS = 400;
/** Time for which an entry that could not be reached gets no connections, and a keeper no reports. */
const EXCLUSION_MS = 3_000;
/** Failed exchanges after which a keeper is excluded. */
const EXCLUDING_MISSES = 2;
/** Time for which `servesAll` is not decided again: it is asked for each request, and loads change with
 * the reports. */
const DECISION_LIFETIME_MS = 50;
const MS_PER_SECOND = 1_000;

/** Keepers as `LoadExchange` uses them. */
export interface ExchangeKeepers {
  /** Returns the active keepers, in the same order at all entries; none before the first roster. */
  activeKeepers(): Keeper[];
  /** Sends a request to one keeper. */
  callKeeper(keeper: Keeper, body: RequestBody): Promise<Reply>;
}

/** What an entry reports about itself besides its name and place. */
export interface OwnState {
  /** Share of the last interval in which the event loop was busy, from 0 to 1. */
  utilization: number;
  /** Connections that callers have opened to this entry since its start. */
  connections: number;
  stalenessMs: number;
  configurationVersion: number;
  /** Whether relayed connections are served. */
  isAccepting: boolean;
}

/** Options of `LoadExchange`. */
export interface LoadExchangeOptions {
  /** Id of this entry. */
  id: string;
  domain: string;
  /** Address at which this entry accepts relayed connections, `IP:port`. */
  address: string;
  /** Processor time that the host grants, in cores. */
  capacity: number;
  keepers: ExchangeKeepers;
  clock: Clock;
  log: EventLog;
  random?: () => number;
}

/** The load of another entry. */
interface ReceivedLoad {
  load: EntryLoad;
  receivedAtMs: number;
}

/**
 * Exchanges loads with the other entries of the failure domain through one keeper of the domain, and
 * selects the entry that serves a connection.
 */
export class LoadExchange {
  private readonly options: Required<LoadExchangeOptions>;

  private readonly utilization = new SmoothedValue();

  private readonly connectionsPerSecond = new SmoothedValue();

  /** The count of connections at the last report, and its time. */
  private counted: { connections: number; atMs: number } | undefined;

  private readonly stopped = new AbortController();

  private readonly excludedUntilMs = new Map<string, number>();

  private readState: (() => OwnState) | undefined;

  /** Loads of the other entries by id. Another keeper may know only some of them. */
  private readonly received = new Map<string, ReceivedLoad>();

  /** The last decision of `servesAll`, and its time. */
  private decision = { servesAll: true, atMs: -Infinity };

  /** Exchanges with the keeper that failed one after another, by its id. */
  private readonly misses = new Map<string, number>();

  constructor({ random = Math.random, ...options }: LoadExchangeOptions) {
    this.options = { random, ...options };
  }

  /** Reports the state of this entry at each interval until `stop` is called. */
  async run(readState: () => OwnState): Promise<void> {
    const { clock } = this.options;
    const { signal } = this.stopped;
    this.readState = readState;
    while (!signal.aborted) {
      const state = readState();
      this.measure(state);
      await this.exchange(this.ownLoad(state));
      await clock.sleep(INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  /** Stops the reports. */
  stop(): void {
    this.stopped.abort();
  }

  /** Returns the entry that should serve a new connection; undefined for this one. */
  place(): { id: string; address: PeerAddress } | undefined {
    if (!this.readState) return undefined;
    const own = this.ownLoad(this.readState());
    const chosen = placeConnection(own, this.usableLoads(), this.options.random());
    const address = chosen && parsePeerAddress(chosen.address);
    return address && { id: chosen.id, address };
  }

  /** Whether this entry serves all connections that callers open to it. */
  get servesAll(): boolean {
    if (!this.readState) return true;
    const atMs = this.options.clock.now();
    if (atMs - this.decision.atMs > DECISION_LIFETIME_MS) {
      const own = this.ownLoad(this.readState());
      this.decision = { servesAll: servesAll(own, this.usableLoads()), atMs };
    }
    return this.decision.servesAll;
  }

  /** Excludes an entry that could not be reached. */
  exclude(id: string): void {
    this.excludedUntilMs.set(id, this.options.clock.now() + EXCLUSION_MS);
  }

  private measure({ utilization, connections }: OwnState): void {
    const atMs = this.options.clock.now();
    const { connections: before, atMs: beforeMs } = this.counted ?? {
      connections,
      atMs: -Infinity,
    };
    this.counted = { connections, atMs };
    this.utilization.add(utilization);
    const elapsedMs = Math.max(1, atMs - beforeMs);
    this.connectionsPerSecond.add(((connections - before) * MS_PER_SECOND) / elapsedMs);
  }

  private usableLoads(): EntryLoad[] {
    const oldestMs = this.options.clock.now() - REPORT_LIFETIME_MS;
    this.received.forEach(({ receivedAtMs }, id) => {
      if (receivedAtMs < oldestMs) this.received.delete(id);
    });
    return [...this.received.values()]
      .map(({ load }) => load)
      .filter(({ id }) => !this.isExcluded(id));
  }

  private isExcluded(id: string): boolean {
    return (this.excludedUntilMs.get(id) ?? -Infinity) > this.options.clock.now();
  }

  private ownLoad({ isAccepting, stalenessMs, configurationVersion }: OwnState): PlacementLoad {
    const { id, domain, address, capacity } = this.options;
    return {
      id,
      domain,
      address,
      capacity,
      utilization: this.utilization.value,
      connectionsPerSecond: this.connectionsPerSecond.value,
      stalenessMs,
      configurationVersion,
      accepting: isAccepting,
    };
  }

  /** One late reply may be due to this process, and another keeper knows other entries. */
  private recordMiss(keeper: string): void {
    const misses = (this.misses.get(keeper) ?? 0) + 1;
    this.misses.set(keeper, misses);
    if (misses < EXCLUDING_MISSES) return;
    this.misses.delete(keeper);
    this.exclude(keeper);
  }

  /** Reports to the first usable keeper of the domain; all entries of the domain use the same one. */
  private async exchange(load: PlacementLoad): Promise<void> {
    const { domain, keepers, clock, log } = this.options;
    const keeper = keepers
      .activeKeepers()
      .find((each) => each.domain === domain && !this.isExcluded(each.id));
    if (!keeper) return;
    const isReplied = new AbortController();
    try {
      const reply = await Promise.race([
        keepers.callKeeper(keeper, { case: 'shareLoad', value: { load } }),
        clock.sleep(REPLY_TIMEOUT_MS, isReplied.signal),
      ]);
      if (!reply) throw new Error(`no reply within ${REPLY_TIMEOUT_MS} ms`);
      if (reply.body.case !== 'entryLoads') throw new Error(`reply ${reply.body.case ?? 'empty'}`);
      const receivedAtMs = clock.now();
      reply.body.value.loads.forEach((each) => {
        this.received.set(each.id, { load: each, receivedAtMs });
      });
      this.misses.delete(keeper.id);
    } catch (error) {
      this.recordMiss(keeper.id);
      log.write('loadNotShared', { keeper: keeper.id, error: String(error) });
    } finally {
      isReplied.abort();
    }
  }
}
