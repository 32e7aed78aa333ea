import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { H3, toNodeHandler } from 'h3';
import type { PeerAddress } from '@marjorampin/types';

/** An outside system that this repository stands in for, as an HTTP server. */
export abstract class HttpStandin {
  private server: Server | undefined;

  /** Adds the routes of the system. */
  protected abstract addRoutes(app: H3): void;

  /** Starts to listen; port 0 takes a free one. */
  async listen({ host, port }: PeerAddress): Promise<PeerAddress> {
    const app = new H3();
    this.addRoutes(app);
    const server = createServer(toNodeHandler(app));
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return { host, port: (server.address() as AddressInfo).port };
  }

  /** Breaks all connections and stops listening. */
  async close(): Promise<void> {
    const { server } = this;
    if (!server) return;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    server.closeAllConnections();
    await closed;
  }
}
