import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { H3, toNodeHandler } from 'h3';
import type { PeerAddress } from '@marjorampin/types';

/** Base class of the stand-ins that emulate an external system as an HTTP server. */
export abstract class HttpStandin {
  private server: Server | undefined;

  /** Creates the listener that handles the requests. */
  protected abstract createListener(): RequestListener;

  /** Starts listening and returns the bound address; port 0 selects a free port. */
  async listen({ host, port }: PeerAddress): Promise<PeerAddress> {
    const server = createServer(this.createListener());
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    return { host, port: (server.address() as AddressInfo).port };
  }

  /** Stops listening and closes all connections at once. */
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

/** Base class of the stand-ins that handle their requests by route. */
export abstract class RoutedStandin extends HttpStandin {
  /** Adds the routes of the emulated system. */
  protected abstract addRoutes(app: H3): void;

  protected override createListener(): RequestListener {
    const app = new H3();
    this.addRoutes(app);
    return toNodeHandler(app);
  }
}
