import { readdirSync, readFileSync } from 'node:fs';
import http from 'node:http';
import { connect, createServer, type Server, type Socket } from 'node:net';
import { CONFIGURATION_KEY, ENDPOINT_ENTRY_PREFIX } from '@marjorampin/platform';
import { type PeerAddress, SystemClock } from '@marjorampin/types';
import { EndpointStandin } from '../../endpointStandin';
import { buildBundle, PORTS, type SoakHost, SoakHosts } from '../../soakHosts';
import { SoakRecord } from '../../soakRecord';
import { StoreStandin } from '../../storeStandin';

/** Loopback network that only these tests use. */
const NETWORK = '127.98';
/** Memory of the smallest host. */
const MEMORY_MB = 178;
/** Descriptors that the host of these tests grants. */
export const MAXIMUM_FDS = 600;
const KEEPERS = 3;
const TIMEOUT_MS = 60_000;
const POLL_MS = 100;
/** Port of the metrics in `deploy/system.toml`. */
const METRICS_PORT = 9464;
const LARGEST_BODY_BYTES = 4_194_304;
const POURED = Buffer.from('data: x\n\n'.repeat(1_000));

const clock = new SystemClock();

function routeOf(name: string, kind: string, service: string) {
  return {
    name,
    host: 'soak.example',
    prefix: `/${name}/`,
    kind,
    timeoutMs: 30_000,
    sloMs: 500,
    service,
  };
}

const CONFIGURATION = {
  version: 1,
  routes: [
    routeOf('book', 'non_idempotent', 'sound'),
    routeOf('deaf', 'non_idempotent', 'odd'),
    routeOf('pour', 'stream', 'odd'),
  ],
  services: [
    { name: 'sound', maxConns: 500 },
    { name: 'odd', maxConns: 500 },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: LARGEST_BODY_BYTES,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

/** Servers of the project's processes. */
export type ServerName = 'callers' | 'relayed' | 'ready' | 'metrics' | 'keeper';

/** Resources that a process has used. */
export interface Usage {
  peakMb: number;
  fds: number;
}

/** Keepers and one entry on hosts of the smallest size, the store and endpoints, of which one answers, one
 * reads nothing (`/deaf/`) and one answers without end (`/pour/`). */
export class LoadedHosts {
  private readonly store = new StoreStandin();

  private readonly endpoint = new EndpointStandin('sound', new SoakRecord());

  private readonly oddEndpoint: Server;

  private readonly oddSockets = new Set<Socket>();

  private readonly entry: SoakHost = hostOf('entry', 0);

  private readonly keepers = Array.from({ length: KEEPERS }, (_, index) => hostOf('keeper', index));

  private readonly hosts = new SoakHosts([], () => undefined, 1, {
    memoryMb: MEMORY_MB,
    maxFds: MAXIMUM_FDS,
  });

  private lastId = 0;

  constructor() {
    this.oddEndpoint = createServer((socket) => {
      this.oddSockets.add(socket);
      socket.on('error', () => undefined).on('close', () => this.oddSockets.delete(socket));
      socket.once('data', (bytes: Buffer) => respondOddly(socket, bytes.toString('latin1')));
    });
  }

  /** Starts everything, and waits until the entry serves. */
  async start(): Promise<void> {
    buildBundle();
    await this.store.listen({ host: `${NETWORK}.3.1`, port: PORTS.store });
    await this.store.put(CONFIGURATION_KEY, CONFIGURATION);
    await this.endpoint.listen({ host: `${NETWORK}.4.1`, port: PORTS.endpoint });
    await new Promise<void>((resolve) => {
      this.oddEndpoint.listen(PORTS.endpoint, `${NETWORK}.4.2`, resolve);
    });
    await this.register('sound', 1);
    await this.register('odd', 2);
    [...this.keepers, this.entry].forEach((host) => this.hosts.start(host));
    await this.awaitService();
  }

  /** Replaces the processes of the entry and of the first keeper, and waits until they serve. */
  async restart(): Promise<void> {
    const replaced = [this.entry, ...this.keepers.slice(0, 1)];
    const exits = replaced.map((host) => this.hosts.nextExit(host));
    replaced.forEach((host) => this.hosts.signal(host, 'SIGKILL'));
    await Promise.all(exits);
    await this.awaitService();
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await this.hosts.stop();
    this.oddSockets.forEach((socket) => socket.destroy());
    this.oddEndpoint.close();
    await Promise.all([this.store.close(), this.endpoint.close()]);
  }

  /** Address of a server of the entry or of the first keeper. */
  addressOf(server: ServerName): PeerAddress {
    const [keeper] = this.keepers;
    const { ip } = server === 'keeper' && keeper ? keeper : this.entry;
    const ports = {
      callers: PORTS.front,
      relayed: PORTS.peers + 1,
      ready: PORTS.ready,
      metrics: METRICS_PORT,
      keeper: PORTS.peers,
    };
    return { host: ip, port: ports[server] };
  }

  /** Id of the process that has a server; undefined while it does not run. */
  pidOf(server: ServerName): number | undefined {
    const [keeper] = this.keepers;
    return this.hosts.pidOf(server === 'keeper' && keeper ? keeper : this.entry);
  }

  /** Sends ordinary requests until one is answered 200; throws if none is. */
  async awaitAnswer(body = 'ordinary', isChunked = false): Promise<void> {
    const until = clock.now() + TIMEOUT_MS;
    while ((await this.call(body, isChunked)) !== 200) {
      if (clock.now() > until) throw new Error('no ordinary request is answered');
      await clock.sleep(POLL_MS);
    }
  }

  /** Sends an ordinary request and returns the status of its answer, 0 if there is none. */
  call(body: string, isChunked: boolean, agent?: http.Agent): Promise<number> {
    const { host, port } = this.addressOf('callers');
    this.lastId += 1;
    const headers: http.OutgoingHttpHeaders = {
      Host: 'soak.example',
      'Marjorampin-Request-Id': `ordinary-${this.lastId}`,
      ...(isChunked ? { 'Transfer-Encoding': 'chunked' } : { 'Content-Length': body.length }),
    };
    return new Promise<number>((resolve) => {
      const request = http.request(
        {
          host,
          port,
          method: 'POST',
          path: '/book/0',
          headers,
          agent: agent ?? false,
          timeout: TIMEOUT_MS,
        },
        (answer) => {
          answer.on('error', () => undefined).resume();
          answer.on('close', () => resolve(answer.complete ? (answer.statusCode ?? 0) : 0));
        },
      );
      request.on('error', () => resolve(0)).on('timeout', () => request.destroy());
      request.end(body);
    });
  }

  private async awaitService(): Promise<void> {
    const until = clock.now() + TIMEOUT_MS;
    const { host, port } = this.addressOf('ready');
    while (!(await isReady(host, port)) || !(await isListening(this.addressOf('keeper')))) {
      if (clock.now() > until) throw new Error('the processes do not become ready');
      await clock.sleep(POLL_MS);
    }
    await this.awaitAnswer();
  }

  private async register(id: string, index: number): Promise<void> {
    await this.store.put(`${ENDPOINT_ENTRY_PREFIX}${id}`, {
      service: id,
      address: `${NETWORK}.4.${index}:${PORTS.endpoint}`,
      zone: 'zone-0',
      slots: 100,
      state: 'ready',
      sequence: 1,
      born: 1,
    });
  }
}

/** Returns what a process has used; undefined if it has ended. */
export function usageOf(pid: number): Usage | undefined {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const peakKb = Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]);
    return { peakMb: peakKb / 1_024, fds: readdirSync(`/proc/${pid}/fd`).length };
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
    throw error;
  }
}

function hostOf(role: SoakHost['role'], index: number): SoakHost {
  return {
    name: `${role}-${index}`,
    role,
    ip: `${NETWORK}.${role === 'entry' ? 1 : 2}.${index + 1}`,
    zone: `zone-${index}`,
    storeAddress: `${NETWORK}.3.1:${PORTS.store}`,
  };
}

function isReady(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const request = http.get({ host, port, agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });
}

function isListening(address: PeerAddress): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(address, () => {
      socket.destroy();
      resolve(true);
    });
    socket.on('error', () => resolve(false));
  });
}

function respondOddly(socket: Socket, head: string): void {
  if (head.includes(' /deaf/')) {
    socket.pause();
    return;
  }
  const id = /marjorampin-request-id: (\S+)/i.exec(head)?.[1] ?? '';
  socket.write(
    `HTTP/1.1 200 OK\r\nMarjorampin-Request-Id: ${id}\r\nMarjorampin-Response-Seal: s\r\n\r\n`,
  );
  const pour = () => {
    if (socket.destroyed) return;
    if (socket.write(POURED)) setImmediate(pour);
    else socket.once('drain', pour);
  };
  pour();
}
