import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { H3, toNodeHandler } from 'h3';
import type { PeerAddress } from '@marjorampin/types';

/** An outside system that this repository stands in for, as an HTTP server. */
export abstract class HttpStandin {
  private server: Server | undefined;

  /** Makes what answers the requests. */
  protected abstract createListener(): RequestListener;

  /** Starts to listen; port 0 takes a free one. */
  async listen({ host, port }: PeerAddress): Promise<PeerAddress> {
    const server = createServer(this.createListener());
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

/** A stand-in whose answers follow from the route alone. */
export abstract class RoutedStandin extends HttpStandin {
  /** Adds the routes of the system. */
  protected abstract addRoutes(app: H3): void;

  protected override createListener(): RequestListener {
    const app = new H3();
    this.addRoutes(app);
    return toNodeHandler(app);
  }
}
