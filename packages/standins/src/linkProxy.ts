import net from 'node:net';
import { type PeerAddress, SystemClock } from '@marjorampin/types';

const clock = new SystemClock();

/** Passes connections on, or does to them what networks do. */
export class LinkProxy {
  /** `silent` keeps connections open and passes nothing, `one-way` passes only what is sent. */
  private mode: 'passes' | 'silent' | 'one-way' = 'passes';

  private delayMs = 0;

  private readonly sockets = new Set<net.Socket>();

  private readonly target: PeerAddress;

  private readonly server = net.createServer((near) => this.join(near));

  constructor(target: PeerAddress) {
    this.target = target;
  }

  /** Starts to listen; port 0 takes a free one. */
  async listen({ host, port }: PeerAddress): Promise<PeerAddress> {
    await new Promise<void>((resolve) => {
      this.server.listen(port, host, resolve);
    });
    return { host, port: (this.server.address() as net.AddressInfo).port };
  }

  /** Stops at once. */
  close(): void {
    this.server.close();
    this.reset();
  }

  /** Resets every connection. */
  reset(): void {
    this.sockets.forEach((socket) => socket.resetAndDestroy());
    this.sockets.clear();
  }

  /** Silences connections in both directions or one; they stay silent after `heal`. */
  cut(mode: 'silent' | 'one-way'): void {
    this.mode = mode;
  }

  /** Silences the connections of this moment for good; new ones pass. */
  freeze(): void {
    this.sockets.forEach((socket) => {
      socket.removeAllListeners('data');
      socket.pause();
    });
  }

  /** Delays what passes. */
  slow(ms: number): void {
    this.delayMs = ms;
  }

  /** Passes everything again, on new connections where old ones lost bytes. */
  heal(): void {
    if (this.mode !== 'passes') this.reset();
    this.mode = 'passes';
    this.delayMs = 0;
  }

  private join(near: net.Socket): void {
    const far = net.connect(this.target);
    this.pass(near, far, () => this.mode !== 'silent');
    this.pass(far, near, () => this.mode === 'passes');
  }

  private pass(from: net.Socket, to: net.Socket, isOpen: () => boolean): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    // What comes later waits for what was delayed, so that nothing overtakes.
    let passed = Promise.resolve();
    const passLater = (act: () => void) => {
      const { delayMs } = this;
      passed = passed.then(() => (delayMs > 0 ? clock.sleep(delayMs) : undefined)).then(act);
    };
    from.on('data', (bytes) => {
      if (!isOpen()) return;
      passLater(() => {
        if (!to.destroyed) to.write(bytes);
      });
    });
    from.on('error', () => to.resetAndDestroy());
    from.on('end', () => passLater(() => to.end()));
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroySoon();
    });
  }
}
