/** Hosts, network and store in memory, under real `KeeperProcess`es and `TurnStore`s. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  type CallOptions,
  type PeerConnection,
  PeerPool,
  PeerServer,
  type Reply,
  ReplySchema,
  type RequestBody,
  RequestSchema,
} from '@marjorampin/protocol';
import {
  type Changes,
  type CompareAndSwap,
  KeyValueStore,
  MemoryKeyValueStore,
  type Snapshot,
  type StoredValue,
  StoreError,
} from '@marjorampin/store';
import {
  CallError,
  Clock,
  Err,
  ManualClock,
  type PeerAddress,
  type Result,
} from '@marjorampin/types';
import type { KeeperHandler } from '../keeperHandler';

/** Time of a message in one direction. */
const MESSAGE_MS = 1;
/** Timeout of a call that has none of its own. */
const CALL_TIMEOUT_MS = 1_000;
/** Time after which a request to the store fails while the store can't be reached. */
const STORE_TIMEOUT_MS = 300;

const never = () =>
  new Promise<never>(() => {
    // Never settles, as the process has ended.
  });

/** Clock of one process: while it is frozen, no sleep ends, and after its end none ever does. */
class ProcessClock extends Clock {
  private readonly owner: SimulatedProcess;

  private readonly clock: Clock;

  constructor(owner: SimulatedProcess, clock: Clock) {
    super();
    this.owner = owner;
    this.clock = clock;
  }

  override now(): number {
    return this.clock.now();
  }

  override wallTime(): number {
    return this.clock.wallTime();
  }

  override async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms);
    await this.owner.untilRunning();
    signal?.throwIfAborted();
  }
}

/** One start of a process on a host. */
export class SimulatedProcess {
  readonly clock: ProcessClock;

  readonly host: SimulatedHost;

  isEnded = false;

  private thaw: (() => void) | undefined;

  private thawed: Promise<void> | undefined;

  constructor(host: SimulatedHost, clock: Clock) {
    this.host = host;
    this.clock = new ProcessClock(this, clock);
  }

  /** Whether the process is stopped until `unfreeze`. */
  get isFrozen(): boolean {
    return this.thawed !== undefined;
  }

  freeze(): void {
    this.thawed ??= new Promise((resolve) => {
      this.thaw = resolve;
    });
  }

  unfreeze(): void {
    this.thaw?.();
    this.thawed = undefined;
  }

  /** Resolves while the process runs; never after its end. */
  async untilRunning(): Promise<void> {
    while (this.thawed && !this.isEnded) await this.thawed;
    if (this.isEnded) await never();
  }
}

/** A host at one address. */
export class SimulatedHost {
  readonly address: PeerAddress;

  process: SimulatedProcess | undefined;

  handler: KeeperHandler | undefined;

  /** Whether messages to a host without a process are lost instead of being refused. */
  isSilent = false;

  /** Whether the host is cut off from all other hosts. */
  isCutOff = false;

  /** Whether the host reaches the store. */
  reachesStore = true;

  constructor(address: PeerAddress) {
    this.address = address;
  }

  /** Ends the process at once. */
  endProcess({ isSilent = false } = {}): void {
    if (this.process) {
      this.process.isEnded = true;
      this.process.unfreeze();
    }
    Object.assign(this, { process: undefined, handler: undefined, isSilent });
  }
}

interface Running {
  network: SimulatedNetwork;
  process: SimulatedProcess;
}

/** Processes by their clock, which the options of connections and servers contain. */
const processes = new WeakMap<Clock, Running>();

/** Changes replies on their way, for mutations. */
export type Tamper = (body: RequestBody, reply: Reply | undefined) => Reply | undefined;

/** All hosts, and messages between their processes. */
export class SimulatedNetwork {
  readonly clock = new ManualClock();

  readonly store = new MemoryKeyValueStore();

  /** Hosts by address, `IP:port`. */
  readonly hosts = new Map<string, SimulatedHost>();

  /** Pairs of addresses between which no connection can be opened, `from to`. */
  readonly brokenLinks = new Set<string>();

  tamper: Tamper | undefined;

  /** Changes written values of the store, for mutations. */
  tamperWrite: ((write: CompareAndSwap) => CompareAndSwap) | undefined;

  /** Creates a host with an address of its own. */
  createHost(): SimulatedHost {
    const port = this.hosts.size + 1;
    const host = new SimulatedHost({ host: '10.0.0.1', port });
    this.hosts.set(nameOf(host), host);
    return host;
  }

  /** Starts a process on a host. */
  startProcess(host: SimulatedHost): SimulatedProcess {
    const started = new SimulatedProcess(host, this.clock);
    processes.set(started.clock, { network: this, process: started });
    Object.assign(host, { process: started, isSilent: false, handler: undefined });
    return started;
  }

  /** Returns the connection of a process to an address. */
  connection(from: SimulatedProcess, address: string): PeerConnection {
    return { call: (body, options) => this.call(from, address, body, options) };
  }

  private async call(
    from: SimulatedProcess,
    address: string,
    body: RequestBody,
    { progressTimeoutMs = CALL_TIMEOUT_MS }: CallOptions = {},
  ): Promise<Reply> {
    const timeout = this.clock.sleep(progressTimeoutMs).then(() => undefined);
    const outcome = this.exchange(from, address, body).catch((error: Error) => error);
    const replied = await Promise.race([outcome, timeout]);
    await from.untilRunning();
    const arrived = replied instanceof Error ? undefined : replied;
    const reply = this.tamper ? this.tamper(body, arrived) : arrived;
    if (reply) return reply;
    if (replied instanceof Error) throw replied;
    const message = `no reply from ${address} in time`;
    throw new CallError({ kind: 'deadline-exceeded', message, execution: 'unknown' });
  }

  private async exchange(
    from: SimulatedProcess,
    address: string,
    body: RequestBody,
  ): Promise<Reply> {
    const bytes = toBinary(RequestSchema, create(RequestSchema, { body: body as never }));
    await this.clock.sleep(MESSAGE_MS);
    const to = this.hosts.get(address);
    const isLost = () => !to || from.isEnded || from.host.isCutOff || to.isCutOff || to.isSilent;
    if (!to || isLost()) return never();
    const { process: receiver, handler } = to;
    const isRefused = this.brokenLinks.has(`${nameOf(from.host)} ${address}`);
    if (!receiver || !handler || isRefused) throw connectionLost(address);
    await receiver.untilRunning();
    const handled = await handler.handle(fromBinary(RequestSchema, bytes));
    const reply = toBinary(ReplySchema, create(ReplySchema, handled));
    await receiver.untilRunning();
    await this.clock.sleep(MESSAGE_MS);
    if (isLost()) return never();
    return fromBinary(ReplySchema, reply);
  }
}

/** The store as one process reaches it. */
export class HostStore extends KeyValueStore {
  private readonly network: SimulatedNetwork;

  private readonly process: SimulatedProcess;

  constructor(network: SimulatedNetwork, process: SimulatedProcess) {
    super();
    this.network = network;
    this.process = process;
  }

  override get(key: string): Promise<Result<StoredValue | undefined, StoreError>> {
    return this.request(() => this.network.store.get(key));
  }

  override list(prefix: string): Promise<Result<Snapshot, StoreError>> {
    return this.request(() => this.network.store.list(prefix));
  }

  override compareAndSwap(write: CompareAndSwap): Promise<Result<number, StoreError>> {
    const { store, tamperWrite } = this.network;
    return this.request(() => store.compareAndSwap(tamperWrite ? tamperWrite(write) : write));
  }

  override remove(key: string, expectedVersion: number): Promise<Result<void, StoreError>> {
    return this.request(() => this.network.store.remove(key, expectedVersion));
  }

  override async watch(): Promise<Result<Changes, StoreError>> {
    return Err(unavailable());
  }

  private async request<Value>(
    send: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> {
    const { clock, store } = this.network;
    await clock.sleep(MESSAGE_MS);
    if (this.process.isEnded) return never();
    const isReached = this.process.host.reachesStore && !store.faults.down;
    const result = isReached ? await send() : Err(unavailable());
    await clock.sleep(isReached ? MESSAGE_MS : STORE_TIMEOUT_MS);
    await this.process.untilRunning();
    return result;
  }
}

function processOf({ clock }: { clock: Clock }) {
  const found = processes.get(clock);
  if (!found) throw new Error('the clock belongs to no simulated process');
  return found;
}

/** Private options of connections and servers. */
interface Connected {
  options: { clock: Clock; handler: KeeperHandler; address: PeerAddress };
}

/** Replaces connections and servers of peers by simulated ones for all modules of this thread. */
export function redirectPeers(): void {
  Object.assign(PeerPool.prototype, {
    get(this: Connected, address: string) {
      const { network, process } = processOf(this.options);
      return network.connection(process, address);
    },
  });
  Object.assign(PeerServer.prototype, {
    async listen(this: Connected) {
      const { options } = this;
      processOf(options).process.host.handler = options.handler;
      return options.address;
    },
    async close() {
      // The end of the process closes its simulated server.
    },
  });
}

type Instantiate = (source: unknown, ...rest: unknown[]) => Promise<unknown>;

/** The part of the global `WebAssembly` that is replaced; the types of Node.js lack it. */
interface ModuleLoader {
  instantiate: Instantiate;
  Module: new (bytes: Uint8Array) => object;
  Instance: new (module: object) => object;
}

/** Makes WebAssembly modules load at once: a load in the background ends at a random simulated time. */
export function loadModulesAtOnce(): void {
  const { WebAssembly: loader } = globalThis as unknown as { WebAssembly: ModuleLoader };
  const { instantiate, Module, Instance } = loader;
  const loaded = new Map<Uint8Array, { module: object; instance: object }>();
  loader.instantiate = async (source, ...rest) => {
    if (!(source instanceof Uint8Array)) return instantiate(source, ...rest);
    const module = loaded.get(source)?.module ?? new Module(source);
    const result = loaded.get(source) ?? { module, instance: new Instance(module) };
    loaded.set(source, result);
    return result;
  };
}

/** Returns the address of a host, `IP:port`. */
export function nameOf({ address: { host, port } }: SimulatedHost): string {
  return `${host}:${port}`;
}

function connectionLost(address: string): CallError {
  return new CallError({ kind: 'connection-lost', message: `no process at ${address}` });
}

function unavailable(): StoreError {
  return new StoreError({ kind: 'unavailable', message: 'the store is out of reach' });
}
