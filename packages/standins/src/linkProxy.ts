import net from 'node:net';
import { type PeerAddress, SystemClock } from '@marjorampin/types';

const clock = new SystemClock();

/** TCP proxy that emulates the faults of a network link: resets, lost data and delays. */
export class LinkProxy {
  /** `silent` keeps connections open but drops all data; `one-way` drops only data from the target. */
  private mode: 'passes' | 'silent' | 'one-way' = 'passes';

  private delayMs = 0;

  private readonly sockets = new Set<net.Socket>();

  private readonly target: PeerAddress;

  private readonly server = net.createServer((client) => this.connect(client));

  constructor(target: PeerAddress) {
    this.target = target;
  }

  /** Starts listening and returns the bound address; port 0 selects a free port. */
  async listen({ host, port }: PeerAddress): Promise<PeerAddress> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, host, resolve);
    });
    return { host, port: (this.server.address() as net.AddressInfo).port };
  }

  /** Stops listening and resets all connections. */
  close(): void {
    this.server.close();
    this.reset();
  }

  /** Resets all connections. */
  reset(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.sockets.clear();
  }

  /** Drops data in both directions, or only from the target, until `restore` resets connections. */
  dropTraffic(mode: 'silent' | 'one-way'): void {
    this.mode = mode;
  }

  /** Stops forwarding on the current connections permanently; new ones are not affected. */
  stall(): void {
    this.sockets.forEach((socket) => {
      socket.removeAllListeners('data');
      socket.pause();
    });
  }

  /** Delays all data by this many milliseconds. */
  delay(ms: number): void {
    this.delayMs = ms;
  }

  /** Stops dropping and delaying data; resets the connections if data may have been dropped. */
  restore(): void {
    if (this.mode !== 'passes') this.reset();
    this.mode = 'passes';
    this.delayMs = 0;
  }

  private connect(client: net.Socket): void {
    const upstream = net.connect(this.target);
    this.forward(client, upstream, () => this.mode !== 'silent');
    this.forward(upstream, client, () => this.mode === 'passes');
  }

  private forward(from: net.Socket, to: net.Socket, isPassing: () => boolean): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    // Events are forwarded one after another, so that delayed data stays in order.
    let lastForwarded = Promise.resolve();
    const forwardInOrder = (action: () => void) => {
      const { delayMs } = this;
      lastForwarded = lastForwarded
        .then(() => (delayMs > 0 ? clock.sleep(delayMs) : undefined))
        .then(action);
    };
    from.on('data', (bytes) => {
      if (!isPassing()) return;
      forwardInOrder(() => {
        if (!to.destroyed) to.write(bytes);
      });
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('end', () => forwardInOrder(() => to.end()));
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroySoon();
    });
  }
}
